#include <LibPlatform/InstanceList.h>

#include <boost/json.hpp>

namespace Platform {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &entry, std::string_view name)
{
    const auto *value = entry.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

ListedInstance parseEntry(const json::object &entry)
{
    ListedInstance listed;
    listed.id = std::string(entry.at("id").as_string());
    listed.dataCentre = Core::DataCentreId(textOf(entry, "data_centre"));
    listed.role = textOf(entry, "role") == "entry" ? InstanceRole::Entry : InstanceRole::Upstream;
    listed.group = Core::UpstreamGroupId(textOf(entry, "group"));
    listed.address = Http::parseEndpoint(textOf(entry, "address")).value();
    if (const auto admin = textOf(entry, "admin"); !admin.empty())
        listed.admin = Http::parseEndpoint(admin).value();
    listed.state =
        textOf(entry, "state") == "leaving" ? InstanceState::Leaving : InstanceState::Live;
    if (const auto *incarnation = entry.if_contains("incarnation"))
        listed.incarnation = incarnation->to_number<std::uint64_t>();
    return listed;
}

} // namespace

Core::Result<InstanceList> parseInstanceList(std::string_view text)
{
    try {
        InstanceList list;
        const auto parsed = json::parse(json::string_view(text));
        for (const auto &entry : parsed.as_object().at("instances").as_array())
            list.instances.push_back(parseEntry(entry.as_object()));
        return list;
    } catch (const std::exception &fault) {
        return Core::Error(Core::ErrorKind::PlatformUnavailable,
                           std::string("the instance list is not valid: ") + fault.what());
    }
}

} // namespace Platform
