#pragma once

#include <LibConfiguration/DocumentContents.h>
#include <LibConfiguration/Fault.h>

#include <string_view>
#include <vector>

namespace Configuration {

/// The result of parsing a document. The contents are valid only when there are no faults.
struct ParsedDocument
{
    DocumentContents contents;
    /// Sorted by line and column.
    std::vector<Fault> faults;
    /// False when the document uses a format that is newer than this program.
    bool formatKnown = true;
};

/// Parses and validates a document. The result depends only on the bytes.
ParsedDocument parseDocument(std::string_view text);

} // namespace Configuration
