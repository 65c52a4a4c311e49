#include "fennelladder/base/random.hpp"
#include "fennelladder/telemetry/burn_report.hpp"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <nlohmann/json.hpp>
#include <set>

using namespace fennelladder;
using namespace fennelladder::telemetry;

namespace {

const instant start = from_nanoseconds(0) + hours(1'000);

service_level_objective make_objective(const std::string& name,
                                       const std::string& kind, double target)
{
    return {name,   caller_kind(kind), latency_measure::total, seconds(1),
            target, hours(24 * 28)};
}

request_sample make_sample(const std::string& team, const std::string& kind,
                           duration total)
{
    request_sample sample;
    sample.team = team_id(team);
    sample.kind = caller_kind(kind);
    sample.total = total;
    return sample;
}

} // namespace

TEST_GROUP(service_level){};

TEST(service_level, the_worst_cause_wins)
{
    auto objective = make_objective("o", "k", 0.99);
    auto it = make_sample("t", "k", seconds(1));
    CHECK(classify(objective, it) == burn_cause::good);
    it.total += duration(1);
    CHECK(classify(objective, it) == burn_cause::slow);
    objective.measure = latency_measure::first_byte;
    it.first_byte = seconds(2);
    CHECK(classify(objective, it) == burn_cause::slow);
    objective.measure = latency_measure::inter_token;
    CHECK(classify(objective, it) == burn_cause::good);
    it.end = request_end::refused;
    CHECK(classify(objective, it) == burn_cause::refused);
    it.end = request_end::missing;
    CHECK(classify(objective, it) == burn_cause::missing);
    it.doubled = true;
    CHECK(classify(objective, it) == burn_cause::doubled);
}

// Compares the ring with a list of all events: a window may lack up to one cell
// at its old end and never counts events older than the window.
TEST(service_level, a_window_is_exact_except_for_its_oldest_cell)
{
    random_source random(4);
    const duration length = minutes(6);
    window_ring ring(length, 6);
    std::deque<instant> all;
    instant now = start;
    for (int n = 0; n < 20'000; ++n) {
        now += duration(std::int64_t(random.exponential(2e9)));
        if (random.chance(0.001))
            now += duration(std::int64_t(random.below(1'000)) * 1'000'000'000);
        all.push_back(now);
        ring.add(burn_cause::slow, now);
        std::uint64_t low = 0;
        std::uint64_t high = 0;
        while (!all.empty() && all.front() <= now - length)
            all.pop_front();
        for (const instant it : all) {
            ++high;
            low += it > now - length + minutes(1);
        }
        const auto sum = ring.sum(now).bad();
        CHECK(sum >= low && sum <= high);
    }
    CHECK(ring.sum(now + length).total() == 0);
}

// A target fails and only dispatchers' requests become slow: their objective
// pages, that of inspectors stays quiet. An hour after recovery the short
// window has no bad requests left, so the page clears, while the long windows
// still raise a ticket and the budget stays exceeded.
TEST(service_level, a_burst_pages_and_clears)
{
    service_level_meter meter({make_objective("dispatch", "dispatcher", 0.999),
                               make_objective("inspect", "inspector", 0.95)},
                              {});
    instant now = start;
    const auto run = [&](duration length, double bad) {
        random_source random(6);
        for (const instant until = now + length; now < until;
             now += milliseconds(500)) {
            const bool slow = random.chance(bad);
            meter.add(make_sample("harbour", "dispatcher",
                                  slow ? seconds(3) : milliseconds(100)),
                      now);
            meter.add(make_sample("station", "inspector", milliseconds(100)),
                      now);
        }
        return make_report(meter.snapshot(now), {});
    };
    auto report = run(hours(7), 0);
    CHECK(report.objectives[0].state == burn_state::quiet);
    DOUBLES_EQUAL(1, report.objectives[0].left, 0);
    report = run(minutes(10), 0.5);
    STRCMP_EQUAL("dispatch", report.objectives[0].objective.name.c_str());
    CHECK(report.objectives[0].state == burn_state::page);
    CHECK(report.objectives[0].left < 0);
    CHECK(report.objectives[1].state == burn_state::quiet);
    CHECK(report.kinds[0].kind == caller_kind("dispatcher"));
    STRCMP_EQUAL("dispatch", report.kinds[0].objective.c_str());
    CHECK_EQUAL(2, int(report.kinds.size()));
    STRCMP_EQUAL("harbour", report.teams[0].team.c_str());
    DOUBLES_EQUAL(1, report.teams[0].share, 0);
    report = run(hours(1), 0);
    const auto& row = report.objectives[0];
    DOUBLES_EQUAL(0, row.rates[std::size_t(burn_window::minutes_5)], 0);
    CHECK(row.state == burn_state::ticket);
    CHECK(row.left < 0);
}

TEST(service_level, burn_rate_and_budget_left)
{
    const struct
    {
        std::uint64_t good;
        std::uint64_t slow;
        double target;
        double rate;
        double left;
    } cases[] = {{0, 0, 0.99, 0, 1},    {100, 0, 0.99, 0, 1},
                 {99, 1, 0.99, 1, 0},   {995, 5, 0.99, 0.5, 0.5},
                 {0, 7, 0.95, 20, -19}, {1, 1, 1, 500'000, -499'999}};
    for (const auto& it : cases) {
        const burn_counts counts{{it.good, it.slow, 0, 0, 0}};
        DOUBLES_EQUAL(it.rate, burn_rate(counts, it.target), 1e-6 * it.rate);
        DOUBLES_EQUAL(it.left, budget_left(counts, it.target), 1e-3);
    }
}

// Thousands of teams must not exhaust a node's memory or bloat its /metrics
// page: teams beyond the limit are counted together, and a snapshot has only
// those with the most bad requests.
TEST(service_level, number_of_teams_is_bounded)
{
    service_level_meter meter(
        {make_objective("o", "k", 0.99)},
        {.max_team_series = 100, .max_snapshot_teams = 5});
    for (int n = 0; n < 1'000; ++n) {
        for (int times = 0; times <= n % 100; ++times)
            meter.add(make_sample("t" + std::to_string(n), "k", seconds(2)),
                      start);
    }
    const auto snapshot = meter.snapshot(start);
    std::set<std::string> teams;
    for (const auto& [key, counts] : snapshot.counts)
        teams.insert(key.team);
    CHECK_EQUAL(6, int(teams.size())); // Five teams, and "" for all of them.
    CHECK(teams.contains("t99"));
    CHECK(teams.contains(std::string(other_teams)));
    CHECK_EQUAL(10 * 5'050,
                int(snapshot.of("o", "", burn_window::whole).bad()));
}

// The report merges the /metrics pages of many nodes. A page also has other
// series, which are skipped, and a truncated page must be rejected.
TEST(service_level, metrics_pages_are_merged)
{
    burn_snapshot sum;
    for (int node = 0; node < 3; ++node) {
        service_level_meter meter({make_objective("o", "k", 0.999)}, {});
        for (int n = 0; n <= node; ++n)
            meter.add(make_sample("t", "k", seconds(5)), start);
        const auto snapshot = meter.snapshot(start);
        const std::string page = "# HELP x\nother_total{a=\"b\"} 3\n" +
                                 to_prometheus(snapshot) + "more 1\n";
        const auto parsed = parse_prometheus(page);
        CHECK(parsed.has_value());
        CHECK(parsed->objectives == snapshot.objectives);
        CHECK(parsed->of("o", "t", burn_window::hour_1) ==
              snapshot.of("o", "t", burn_window::hour_1));
        sum.merge(*parsed);
        const auto text = to_prometheus(snapshot);
        CHECK(!parse_prometheus(text.substr(0, text.size() - 4)));
    }
    CHECK_EQUAL(6, int(sum.of("o", "", burn_window::hours_6).bad()));
    CHECK_EQUAL(6, int(sum.of("o", "t", burn_window::whole).bad()));
}

TEST(service_level, renderers_agree)
{
    service_level_meter meter({make_objective("o<1>", "k", 0.99)}, {});
    auto sample = make_sample("t&co", "k", seconds(1));
    meter.add(sample, start);
    sample.end = request_end::missing;
    meter.add(sample, start);
    const auto report = make_report(meter.snapshot(start), {});
    const auto json = nlohmann::json::parse(to_json(report));
    const auto& window = json["objectives"][0]["windows"]["5m"];
    CHECK_EQUAL(2, window["requests"].get<int>());
    CHECK_EQUAL(1, window["missing"].get<int>());
    DOUBLES_EQUAL(50, window["burn_rate"].get<double>(), 1e-6);
    STRCMP_EQUAL("page",
                 json["objectives"][0]["state"].get<std::string>().c_str());
    const std::string table = to_table(report);
    for (const char* it : {"o<1>", "t&co", "50.00", "page", "-4900.00%"})
        CHECK_TEXT(table.find(it) != std::string::npos, table.c_str());
    const std::string page = to_html(report);
    for (const char* it : {"<svg", "<rect", "o&lt;1&gt;", "t&amp;co"})
        CHECK_TEXT(page.find(it) != std::string::npos, it);
    CHECK(page.find("src=") == std::string::npos);
    CHECK(page.find("href=") == std::string::npos);
}
