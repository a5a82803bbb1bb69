#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace Jujubectl {

/// Returns a field of a JSON object as the text of a table cell; empty if there is no such field.
std::string jsonCell(const boost::json::value &object, std::string_view name);

/// Returns the list in a field of a JSON object; empty if there is no such list.
const boost::json::array &jsonRows(const boost::json::value &object, std::string_view name);

} // namespace Jujubectl
