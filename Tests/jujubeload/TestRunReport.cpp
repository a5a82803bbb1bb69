#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <jujubeload/RunReport.h>

using namespace std::chrono_literals;

TEST_CASE("Quantiles are within two percent of the observed times")
{
    Load::LatencySeries series;
    CHECK(series.quantile(0.5).count() == 0);
    for (int n = 1; n <= 1000; ++n)
        series.observe(n * 1ms);
    CHECK(series.count() == 1000);
    CHECK(series.quantile(0.50).count() == Approx(0.500).epsilon(0.02));
    CHECK(series.quantile(0.95).count() == Approx(0.950).epsilon(0.02));
    CHECK(series.quantile(0.99).count() == Approx(0.990).epsilon(0.02));
}

TEST_CASE("A report counts correct answers, and errors by kind")
{
    Load::RunRecord record;
    Load::RequestOutcome right;
    right.firstToken = 10ms;
    right.whole = 40ms;
    right.gaps = {10ms, 20ms};
    right.usage.promptTokens = 100;
    right.usage.cachedTokens = 75;
    right.usage.completionTokens = 3;
    Load::RequestOutcome wrong;
    wrong.error = "incomplete-answer";
    wrong.usage.promptTokens = 900;
    record.note(right);
    record.note(right);
    record.note(wrong);

    Load::RunReport report;
    report.totals = record.totals();
    report.elapsed = 2s;
    CHECK_FALSE(report.isClean());
    const auto parsed = boost::json::parse(Load::formatJson(report)).as_object();
    CHECK(parsed.at("answered").to_number<int>() == 2);
    CHECK(parsed.at("requests_per_second").to_number<double>() == Approx(1.0));
    CHECK(parsed.at("tokens_per_second").to_number<double>() == Approx(3.0));
    CHECK(parsed.at("cached_share").to_number<double>() == Approx(0.75));
    CHECK(parsed.at("first_token_ms").at("p99").to_number<double>() == Approx(10).epsilon(0.02));
    CHECK(parsed.at("between_tokens_ms").at("count").to_number<int>() == 4);
    CHECK(parsed.at("between_tokens_ms").at("p99").to_number<double>() == Approx(20).epsilon(0.02));
    CHECK(parsed.at("errors").at("incomplete-answer").to_number<int>() == 1);
    CHECK(Load::formatText(report).find("error incomplete-answer: 1") != std::string::npos);
}
