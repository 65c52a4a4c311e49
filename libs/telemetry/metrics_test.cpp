#include "fennelladder/telemetry/metrics.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace fennelladder::telemetry;

TEST_GROUP(metrics){};

TEST(metrics, labels_distinguish_series)
{
    metrics registry;
    registry.counter_of("a_total", {{"kind", "x\"y"}}).add(3);
    registry.counter_of("a_total", {{"kind", "z"}}).add();
    registry.counter_of("a_total", {{"kind", "z"}}).add();
    registry.gauge_of("b").set(-4);
    STRCMP_EQUAL("# TYPE a_total counter\n"
                 "a_total{kind=\"x\\\"y\"} 3\n"
                 "a_total{kind=\"z\"} 2\n"
                 "# TYPE b gauge\n"
                 "b -4\n",
                 registry.to_prometheus().c_str());
}

TEST(metrics, quantile_estimates_are_close)
{
    summary values;
    for (int n = 1; n <= 10'000; ++n)
        values.observe((n * 7919) % 10'000);
    LONGS_EQUAL(10'000, values.count());
    DOUBLES_EQUAL(5'000, values.quantile(0.5), 200);
    DOUBLES_EQUAL(9'500, values.quantile(0.95), 200);
}

// A caller that causes a new label value with every request must not exhaust
// the node's memory: series beyond the bound share one overflow series.
TEST(metrics, number_of_series_is_bounded)
{
    metrics registry;
    for (std::size_t n = 0; n < metrics::max_series + 10; ++n)
        registry.counter_of("c", {{"n", std::to_string(n)}}).add();
    LONGS_EQUAL(10, registry.counter_of("c", {{"n", "new"}}).value());
}
