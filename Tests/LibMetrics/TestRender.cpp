#include <LibMetrics/Counter.h>
#include <LibMetrics/DurationHistogram.h>
#include <LibMetrics/Gauge.h>
#include <LibMetrics/RatioHistogram.h>
#include <LibMetrics/Registry.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

TEST_CASE("families render in the Prometheus text format")
{
    Metrics::Counter refused("refused_total", "Refusals.", "kind");
    refused.add(2, {"a\"b", "urgent"}, "overloaded");
    Metrics::DurationHistogram wait("wait_seconds", "Waits.");
    wait.observe(1us, {"t", "c"});
    wait.observe(2s, {"t", "c"});
    wait.observe(10'000s, {"t", "c"});
    Metrics::RatioHistogram hits("hit_ratio", "Hits.");
    hits.observe(1.0, {"t", "c"});
    Metrics::Registry registry;
    registry.add(refused);
    registry.add(wait);
    registry.add(hits);
    const auto text = registry.render();
    CHECK(text.find(R"(refused_total{team="a\"b",class="urgent",kind="overloaded"} 2)")
          != std::string::npos);
    CHECK(text.find("# TYPE wait_seconds histogram") != std::string::npos);
    CHECK(text.find(R"(wait_seconds_bucket{team="t",class="c",le="0.0001"} 1)")
          != std::string::npos);
    CHECK(text.find(R"(wait_seconds_bucket{team="t",class="c",le="1000"} 2)") != std::string::npos);
    CHECK(text.find(R"(wait_seconds_bucket{team="t",class="c",le="+Inf"} 3)") != std::string::npos);
    CHECK(text.find(R"(hit_ratio_bucket{team="t",class="c",le="1"} 1)") != std::string::npos);
    CHECK(text.find(R"(hit_ratio_count{team="t",class="c"} 1)") != std::string::npos);
}

TEST_CASE("a quantile is the upper bound of its bucket")
{
    Metrics::DurationHistogram wait("w", "W.");
    for (int n = 0; n < 99; ++n)
        wait.observe(1ms, {"t", "c"});
    wait.observe(100s, {"t", "c"});
    CHECK(wait.quantile(0.5).count() >= 0.001);
    CHECK(wait.quantile(0.5).count() < 0.002);
    CHECK(wait.quantile(1.0).count() >= 100);
}

TEST_CASE("a gauge reads its values when it is rendered")
{
    double age = 1.5;
    const Metrics::Gauge gauge("age_seconds", "Age.", "log", [&age] {
        return std::vector<Metrics::Gauge::Sample> {{"operator", age}, {"journal", 2}};
    });
    age = 0.25;
    CHECK(gauge.render()
          == "# HELP age_seconds Age.\n# TYPE age_seconds gauge\n"
             "age_seconds{log=\"operator\"} 0.25\nage_seconds{log=\"journal\"} 2\n");
    const Metrics::Gauge plain("version", "Version.", "", [] {
        return std::vector<Metrics::Gauge::Sample> {{"", 33}};
    });
    CHECK(plain.render() == "# HELP version Version.\n# TYPE version gauge\nversion 33\n");
}
