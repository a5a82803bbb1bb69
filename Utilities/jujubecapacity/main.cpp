#include "Roles.h"

#include <LibCore/EventLog.h>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

/// Measures the growth rates of the capacity page with library objects in one process, and prints
/// the tables.
int main(int argc, char **argv)
{
    const std::map<std::string, std::function<std::vector<Table>(Extent)>> roles {
        {"membership", measureMembership},
        {"sharing", measureSharing},
        {"claims", measureClaims},
        {"cache-index", measureCacheIndex},
        {"configuration", measureConfiguration},
        {"peer-link", measurePeerLink},
        {"appends", measureAppends},
        {"usage", measureUsage},
        {"admission-report", measureAdmissionReports},
    };
    CLI::App app("Measures what each role of an entry instance costs as the fleet grows");
    std::vector<std::string> chosen;
    bool quick = false;
    app.add_option("--role", chosen, "Roles to measure; all when none is named")
        ->envname("JUJUBE_CAPACITY_ROLE")
        ->check(CLI::IsMember(roles));
    app.add_flag("--quick", quick, "Only the smaller sizes")->envname("JUJUBE_CAPACITY_QUICK");
    CLI11_PARSE(app, argc, argv);
    Core::configureEventLog(Core::LogFormat::Text, Core::EventLevel::Error);
    for (const auto &[name, measure] : roles) {
        const bool wanted =
            chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end();
        if (!wanted)
            continue;
        for (const auto &table : measure(quick ? Extent::Quick : Extent::Full))
            table.print();
    }
    return 0;
}
