#include <LibConfiguration/Document.h>

#include <boost/json.hpp>
#include <jujubectl/ConfigCheck.h>
#include <jujubectl/InputFile.h>

namespace Jujubectl {

namespace json = boost::json;

namespace {

json::array describe(const std::vector<Configuration::Fault> &faults)
{
    json::array rows;
    for (const auto &it : faults)
        rows.push_back(json::object {
            {"line", it.line}, {"column", it.column}, {"path", it.path}, {"message", it.message}});
    return rows;
}

} // namespace

boost::asio::awaitable<ExitCode> configCheck(Context &context)
{
    const auto report = Configuration::Document::check(readInput(context.settings.file));
    if (context.settings.json)
        context.out << json::object {{"valid", report.document != nullptr},
                                     {"faults", describe(report.faults)}}
                    << '\n';
    else if (report.document)
        context.out << context.settings.file << ": valid\n";
    else
        context.err << describeFaults(report.faults) << '\n';
    co_return report.document ? ExitCode::Success : ExitCode::DocumentInvalid;
}

} // namespace Jujubectl
