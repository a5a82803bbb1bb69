#pragma once

#include <LibConfiguration/ConfigurationRecord.h>
#include <LibConfiguration/Examples.h>
#include <LibCore/Hash.h>

#include <string>

/// A small valid document, another one for each number.
inline std::string sampleDocument(unsigned number)
{
    return "# edit " + std::to_string(number) + '\n' + sourceFile("Examples/small-site.toml");
}

/// A document with an unknown field.
inline std::string invalidDocument(unsigned number)
{
    return sampleDocument(number) + "no_such_field = 1\n";
}

/// A publication of the document in place of the base.
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
