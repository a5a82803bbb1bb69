#include <boost/json.hpp>
#include <jujubectl/JsonCell.h>

namespace Jujubectl {

namespace json = boost::json;

namespace {

const json::value *field(const json::value &object, std::string_view name)
{
    return object.is_object() ? object.get_object().if_contains(name) : nullptr;
}

} // namespace

std::string jsonCell(const json::value &object, std::string_view name)
{
    const auto *value = field(object, name);
    if (!value)
        return {};
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

const json::array &jsonRows(const json::value &object, std::string_view name)
{
    static const json::array none;
    const auto *value = field(object, name);
    return value && value->is_array() ? value->get_array() : none;
}

} // namespace Jujubectl
