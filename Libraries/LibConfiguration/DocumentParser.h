#pragma once

#include <LibConfiguration/DocumentContents.h>
#include <LibConfiguration/Fault.h>

#include <string_view>
#include <vector>

namespace Configuration {

/// What the parser found. The contents count only when there are no faults.
struct ParsedDocument
{
    DocumentContents contents;
    /// By line and column.
    std::vector<Fault> faults;
    /// False when the document is of a format that this program is too old to judge.
    bool formatKnown = true;
};

/// Parses and validates a document. The verdict depends on nothing but the bytes.
ParsedDocument parseDocument(std::string_view text);

} // namespace Configuration
