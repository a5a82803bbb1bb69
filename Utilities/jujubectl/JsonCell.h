#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace Jujubectl {

/// A field of a JSON object as the text of a table cell; empty where there is no such field.
std::string jsonCell(const boost::json::value &object, std::string_view name);

/// A list in a field of a JSON object; empty where there is no such list.
const boost::json::array &jsonRows(const boost::json::value &object, std::string_view name);

} // namespace Jujubectl
