#pragma once

#include <LibConfiguration/ConfigurationRecord.h>
#include <LibConfiguration/Examples.h>
#include <LibCore/Hash.h>

#include <string>

/// Returns a small valid document that differs for each number.
inline std::string sampleDocument(unsigned number)
{
    return "# edit " + std::to_string(number) + '\n' + sourceFile("Examples/small-site.toml");
}

/// Returns a document with an unknown field.
inline std::string invalidDocument(unsigned number)
{
    return sampleDocument(number) + "no_such_field = 1\n";
}

/// Returns a publication that replaces the base with the document.
inline Configuration::Publication samplePublication(Configuration::Generation replaces,
                                                    const std::string &base,
                                                    const std::string &document,
                                                    const std::string &id)
{
    return {.replaces = replaces,
            .publicationId = id,
            .publisher = "operator-" + id,
            .digest = Core::sha256Hex(document),
            .change = Configuration::Splice::between(base, document)};
}
