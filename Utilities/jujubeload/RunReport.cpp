#include <boost/json.hpp>
#include <jujubeload/RunReport.h>

#include <iomanip>
#include <sstream>

namespace Load {

namespace json = boost::json;

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr double Median = 0.5;
constexpr double Percentile95 = 0.95;
constexpr double Percentile99 = 0.99;

double perSecond(std::uint64_t count, std::chrono::duration<double> elapsed)
{
    return elapsed.count() > 0 ? static_cast<double>(count) / elapsed.count() : 0;
}

double quantileMs(const LatencySeries &series, double share)
{
    return Milliseconds(series.quantile(share)).count();
}

json::object quantiles(const LatencySeries &series)
{
    json::object object;
    object["count"] = series.count();
    object["p50"] = quantileMs(series, Median);
    object["p95"] = quantileMs(series, Percentile95);
    object["p99"] = quantileMs(series, Percentile99);
    return object;
}

void writeRow(std::ostream &out, const char *name, const LatencySeries &series)
{
    out << std::left << std::setw(24) << name << std::right << " p50 " << quantileMs(series, Median)
        << " ms, p95 " << quantileMs(series, Percentile95) << " ms, p99 "
        << quantileMs(series, Percentile99) << " ms\n";
}

/// Formats the digest as text, because JSON numbers cannot represent all 64 bits exactly.
std::string digestText(std::uint64_t digest)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << digest;
    return out.str();
}

} // namespace

std::string formatText(const RunReport &report)
{
    const auto &totals = report.totals;
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    out << "answered " << totals.answered << " in " << report.elapsed.count()
        << " s: " << perSecond(totals.answered, report.elapsed) << " requests/s, "
        << perSecond(totals.usage.completionTokens, report.elapsed) << " tokens/s\n";
    writeRow(out, "time to first token", totals.firstToken);
    writeRow(out, "time between tokens", totals.betweenTokens);
    writeRow(out, "time to whole answer", totals.whole);
    out << "cached share of prompt tokens " << totals.cachedShare() << '\n';
    out << "different prompts " << report.prompts << ", digest of the answers "
        << digestText(report.answersDigest) << '\n';
    for (const auto &[kind, count] : totals.errors)
        out << "error " << kind << ": " << count << '\n';
    return out.str();
}

std::string formatJson(const RunReport &report)
{
    const auto &totals = report.totals;
    json::object errors;
    for (const auto &[kind, count] : totals.errors)
        errors[kind] = count;
    json::object object;
    object["answered"] = totals.answered;
    object["seconds"] = report.elapsed.count();
    object["requests_per_second"] = perSecond(totals.answered, report.elapsed);
    object["tokens_per_second"] = perSecond(totals.usage.completionTokens, report.elapsed);
    object["first_token_ms"] = quantiles(totals.firstToken);
    object["between_tokens_ms"] = quantiles(totals.betweenTokens);
    object["whole_answer_ms"] = quantiles(totals.whole);
    object["prompt_tokens"] = totals.usage.promptTokens;
    object["cached_tokens"] = totals.usage.cachedTokens;
    object["cached_share"] = totals.cachedShare();
    object["prompts"] = report.prompts;
    object["answers_digest"] = digestText(report.answersDigest);
    object["errors"] = std::move(errors);
    return json::serialize(object);
}

} // namespace Load
