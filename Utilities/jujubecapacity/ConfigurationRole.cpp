#include "Measure.h"
#include "Roles.h"

#include <LibConfiguration/ConfigurationRecord.h>
#include <LibConfiguration/Document.h>
#include <LibCore/Hash.h>

#include <sstream>

namespace {

constexpr std::size_t Models = 19;

/// Returns a document with 19 models and the given number of teams, each with a contract for one of
/// the groups.
std::string documentText(std::size_t teams, std::size_t changed)
{
    std::ostringstream out;
    out << "format = 1\n[[priority_class]]\nid = \"interactive\"\nrank = 0\n"
           "target_first_token_ms = 810\n";
    for (std::size_t n = 0; n < Models; ++n)
        out << "[[upstream_group]]\nid = \"group-" << n
            << "\"\nkind = \"engine\"\nslots_per_worker = 8\n[[model]]\nid = \"model-" << n
            << "\"\nweights_version = \"1\"\nupstream_group = \"group-" << n << "\"\n";
    for (std::size_t n = 0; n < teams; ++n) {
        const auto key = n == changed ? "another key" : "key " + std::to_string(n);
        out << "[[team]]\nid = \"team-" << n << "\"\nkey_hashes = [\"" << Core::sha256Hex(key)
            << "\"]\n[[contract]]\nteam = \"team-" << n << "\"\nupstream_group = \"group-"
            << n % Models << "\"\nowned_share = 0.0001\nmay_borrow = true\n"
            << "default_class = \"interactive\"\nallowed_classes = [\"interactive\"]\n";
    }
    return out.str();
}

std::vector<std::string> measureDocument(std::size_t teams)
{
    const auto text = documentText(teams, teams);
    const auto heapBefore = heapBytes();
    const auto before = processorTime();
    const auto document = Configuration::Document::parse(text).value();
    const auto seconds = (processorTime() - before).count();
    const auto heap = heapBytes() - heapBefore;
    Configuration::Publication publication;
    publication.publicationId = "publication";
    publication.digest = Core::sha256Hex(text);
    publication.change = Configuration::Splice::between(text, documentText(teams, teams / 2));
    const auto record = Configuration::encodeRecord("production", publication);
    return {std::to_string(teams), formatNumber(static_cast<double>(text.size()) / 1024),
            formatNumber(static_cast<double>(record.size())), formatNumber(seconds * 1e3),
            formatNumber(heap / 1024 / 1024)};
}

} // namespace

std::vector<Table> measureConfiguration(Extent extent)
{
    Table table {"Configuration reader",
                 {"teams", "document KiB", "log bytes of a change of one team",
                  "processor ms to check a document", "heap MiB of a document in force"},
                 {}};
    table.rows.push_back(measureDocument(100));
    table.rows.push_back(measureDocument(1'000));
    if (extent == Extent::Full)
        table.rows.push_back(measureDocument(10'000));
    return {table};
}
