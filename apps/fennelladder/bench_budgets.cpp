// `fennelladder bench budgets`: fleets in virtual time under partitions,
// outages and deaths, beside two baselines that see the same requests.
//
// A scenario is a list of faults at points in time. Requests come at random
// times (Poisson), each goes to a host of its caller's data center that is up,
// and is put to the escrow and to both baselines. The oracle of each knows
// what was left when one of them refused.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/budget/report.hpp"
#include "fennelladder/budget_rig/baselines.hpp"
#include "fennelladder/budget_rig/fleet_rig.hpp"
#include "fennelladder/budget_rig/workload.hpp"
#include "fennelladder/settings/settings.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fennelladder::app {

namespace {

using namespace budget_rig;
using json = nlohmann::ordered_json;

struct fleet_size
{
    std::string name;
    int nodes;
    int data_centers;
    int budgets;
    double rate;
};

class scenario_run;

struct scenario
{
    std::string name;
    duration length;
    std::function<void(scenario_run&)> faults;
};

struct bench_choices
{
    std::uint64_t seed = 1;
    budget::preference weight = budget::preference::false_refusal;
    int shards = 16;
    duration flush{};
};

// One scenario with one fleet: the rig, the baselines and their demand.
class scenario_run
{
public:
    scenario_run(const fleet_size& size, const scenario& plan,
                 const bench_choices& choices);

    fleet_rig rig;

    instant at(duration since) const { return start_ + since; }

    void run();
    json result() const;

    std::uint64_t requests() const { return rig.figures().requests; }
    std::uint64_t static_false() const
    {
        return split_.figures().false_refused;
    }

private:
    static rig_options options_for(const fleet_size& size,
                                   const bench_choices& choices);
    void top_up(int budget, tokens amount);
    void arrive();
    void send(const demand_item& item);
    double per_million(std::uint64_t count) const;
    json baseline_result(const baseline& it) const;

    fleet_size size_;
    scenario plan_;
    workload demand_;
    baseline split_;
    baseline writes_;
    instant start_;
    int topups_ = 0;
    std::uint64_t writes_before_ = 0;
    std::uint64_t book_bytes_before_ = 0;
    std::uint64_t message_bytes_before_ = 0;
};

// Time for the first joins, top-ups and stocks before requests come.
constexpr duration warm_up = seconds(20);

// One top-up of a quarter of what the budget began with, this often.
constexpr duration topup_gap = seconds(10);

rig_options scenario_run::options_for(const fleet_size& size,
                                      const bench_choices& choices)
{
    rig_options made;
    made.nodes = size.nodes;
    made.data_centers = size.data_centers;
    made.shards = choices.shards;
    made.flush_interval = choices.flush;
    made.seed = choices.seed;
    made.agent.refill = budget::policy_for(choices.weight);
    return made;
}

scenario_run::scenario_run(const fleet_size& size, const scenario& plan,
                           const bench_choices& choices)
    : rig(options_for(size, choices)), size_(size), plan_(plan),
      demand_({.budgets = size.budgets,
               .nodes = size.nodes,
               .data_centers = size.data_centers,
               .rate = size.rate,
               .length = plan.length},
              choices.seed + 1),
      split_(baseline::kind::static_split, size.nodes, size.budgets),
      writes_(baseline::kind::write_per_request, size.nodes, size.budgets)
{}

void scenario_run::top_up(int budget, tokens amount)
{
    rig.top_up(budget, amount, "topup-" + std::to_string(++topups_));
    split_.top_up(budget, amount);
    writes_.top_up(budget, amount);
}

void scenario_run::run()
{
    for (int n = 0; n < size_.budgets; ++n)
        top_up(n, demand_.prepaid(n));
    rig.run_for(warm_up);
    start_ = rig.now();
    writes_before_ = rig.books().writes();
    book_bytes_before_ = rig.books().bytes();
    message_bytes_before_ = rig.figures().message_bytes;
    plan_.faults(*this);
    for (duration it = topup_gap; it < plan_.length; it += topup_gap) {
        rig.events().at(at(it), [this] {
            const int budget = demand_.draw_budget();
            top_up(budget, tokens(demand_.prepaid(budget).count() / 4));
        });
    }
    arrive();
    rig.run_for(plan_.length + minutes(2));
}

void scenario_run::arrive()
{
    rig.events().after(demand_.gap(), [this] {
        if (rig.now() >= at(plan_.length))
            return;
        send(demand_.draw());
        arrive();
    });
}

void scenario_run::send(const demand_item& drawn)
{
    demand_item item = drawn;
    // A caller whose host is down takes the next one of its data center.
    for (int n = 0; n < size_.nodes && !rig.alive(item.node); ++n)
        item.node = (item.node + size_.data_centers) % size_.nodes;
    rig.request({.node = item.node,
                 .budget = item.budget,
                 .worst = item.worst,
                 .actual = item.actual,
                 .time = item.time,
                 .key = {}});
    for (baseline* it : {&split_, &writes_}) {
        const bool reached = rig.reaches_store(item.node);
        if (!it->admit(item.node, item.budget, item.worst, reached))
            continue;
        rig.events().after(item.time, [it, item] {
            it->finish(item.node, item.budget, item.worst, item.actual);
        });
    }
}

double scenario_run::per_million(std::uint64_t count) const
{
    const auto all = std::max<std::uint64_t>(1, rig.figures().requests);
    return 1e6 * static_cast<double>(count) / static_cast<double>(all);
}

json scenario_run::baseline_result(const baseline& it) const
{
    const baseline_figures& all = it.figures();
    const double seconds = to_seconds(plan_.length);
    return {{"refused", all.refused},
            {"false_refusals", all.false_refused},
            {"false_refusals_per_million", per_million(all.false_refused)},
            {"overspent_tokens", all.overspent.count()},
            {"platform_writes_per_second",
             static_cast<double>(all.writes) / seconds}};
}

json scenario_run::result() const
{
    const rig_figures& all = rig.figures();
    budget::budget_report report({.team = {}, .limit = 1});
    for (int n = 0; n < rig.books().shards(); ++n)
        report.add(rig.books().of(n));
    const budget::budget_sums& sums = report.total();
    const double seconds = to_seconds(plan_.length);
    const auto nodes = static_cast<double>(size_.nodes);
    const auto written =
        static_cast<double>(rig.books().writes() - writes_before_);
    // A record goes to the shard's owner and from there to the store.
    const auto bytes =
        static_cast<double>(all.message_bytes - message_bytes_before_ +
                            2 * (rig.books().bytes() - book_bytes_before_));
    const double waited = all.waited == 0 ? 0
                                          : 1e3 * all.waited_seconds /
                                                static_cast<double>(all.waited);
    json escrow = {
        {"refused", all.refused},
        {"false_refusals", all.false_refused},
        {"false_refusals_per_million", per_million(all.false_refused)},
        {"overspent_tokens", all.overspent.count()},
        {"double_billed", all.double_billed},
        {"platform_writes_per_second", written / seconds},
        {"bytes_per_node_second", bytes / seconds / nodes},
        {"waited_per_million", per_million(all.waited)},
        {"mean_wait_ms", waited},
        {"lost_with_their_node", all.lost},
        {"prepaid_tokens", sums.prepaid.count()},
        {"spent_tokens", sums.spent.count()},
        {"stranded_tokens", sums.stranded.count()},
        {"uncollected_tokens", sums.uncollected.count()}};
    return {{"scenario", plan_.name},
            {"fleet", size_.name},
            {"nodes", size_.nodes},
            {"budgets", size_.budgets},
            {"seconds", seconds},
            {"requests", all.requests},
            {"escrow", std::move(escrow)},
            {"static_split", baseline_result(split_)},
            {"write_per_request", baseline_result(writes_)}};
}

// ---- scenarios

// Cuts the last third of the data centers off from the store and the rest.
void cut(scenario_run& run, duration from, duration length)
{
    const int n = run.rig.options().data_centers;
    std::vector<std::vector<int>> sides(2);
    for (int dc = 0; dc < n; ++dc)
        sides[dc < n - (n + 1) / 3 ? 0 : 1].push_back(dc);
    run.rig.events().at(run.at(from),
                        [&run, sides] { run.rig.partition(sides, 0); });
    run.rig.events().at(run.at(from + length), [&run] { run.rig.heal(); });
}

void outage(scenario_run& run, duration from, duration length)
{
    run.rig.events().at(run.at(from), [&run] { run.rig.store_up(false); });
    run.rig.events().at(run.at(from + length),
                        [&run] { run.rig.store_up(true); });
}

void deaths(scenario_run& run, duration every, duration until)
{
    int n = 0;
    for (duration it = every; it < until; it += every) {
        const int node = (7 * ++n) % run.rig.options().nodes;
        run.rig.events().at(run.at(it),
                            [&run, node] { run.rig.kill(node, seconds(30)); });
    }
}

std::vector<scenario> small_scenarios()
{
    return {
        {"calm", minutes(10), [](scenario_run&) {}},
        {"partitions of 20 ms", minutes(10),
         [](scenario_run& run) {
             for (int n = 1; n < 100; ++n)
                 cut(run, seconds(6) * n, milliseconds(20));
         }},
        {"partitions of 10 s", minutes(10),
         [](scenario_run& run) {
             for (int n = 1; n < 20; ++n)
                 cut(run, seconds(30) * n, seconds(10));
         }},
        {"partition of 1 h", minutes(70),
         [](scenario_run& run) { cut(run, minutes(5), hours(1)); }},
        {"outage of 1 h", minutes(70),
         [](scenario_run& run) { outage(run, minutes(5), hours(1)); }},
        {"deaths", minutes(10),
         [](scenario_run& run) { deaths(run, seconds(45), minutes(10)); }},
        {"all together", minutes(70),
         [](scenario_run& run) {
             cut(run, minutes(5), minutes(30));
             outage(run, minutes(20), minutes(30));
             deaths(run, minutes(4), minutes(70));
             run.rig.lose_replies(50);
         }},
    };
}

std::vector<scenario> large_scenarios(duration length)
{
    return {
        {"partition, outage and deaths", length, [length](scenario_run& run) {
             cut(run, length / 6, length / 2);
             outage(run, length / 4, length / 8);
             deaths(run, length / 8, length);
         }}};
}

json run_one(const fleet_size& size, const scenario& plan,
             const bench_choices& choices)
{
    scenario_run run(size, plan, choices);
    run.run();
    return run.result();
}

void print_row(const json& it)
{
    const auto number = [&it](const char* design, const char* name) {
        return it[design][name].get<double>();
    };
    std::printf("%-30s %5d %9llu | %9.1f %9.1f %9.1f | %4.0f | %7.1f %8.1f | "
                "%8.0f %9.0f %7.0f\n",
                it["scenario"].get<std::string>().c_str(),
                it["nodes"].get<int>(),
                it["requests"].get<unsigned long long>(),
                number("escrow", "false_refusals_per_million"),
                number("static_split", "false_refusals_per_million"),
                number("write_per_request", "false_refusals_per_million"),
                number("escrow", "overspent_tokens"),
                number("escrow", "platform_writes_per_second"),
                number("write_per_request", "platform_writes_per_second"),
                number("escrow", "bytes_per_node_second"),
                number("escrow", "stranded_tokens"),
                number("escrow", "waited_per_million"));
    std::fflush(stdout);
}

void print_head()
{
    std::printf("%-30s %5s %9s | %29s | %4s | %16s | %8s %9s %7s\n", "", "", "",
                "false refusals per million", "over", "writes/s", "bytes/s", "",
                "waits");
    std::printf("%-30s %5s %9s | %9s %9s %9s | %4s | %7s %8s | %8s %9s %7s\n",
                "scenario", "nodes", "requests", "escrow", "split", "write/rq",
                "spent", "escrow", "write/rq", "per node", "stranded", "per M");
}

} // namespace

int run_bench_budgets(int argc, char** argv)
{
    settings::settings wanted("bench budgets",
                              "Budgets under faults, beside two baselines, in "
                              "virtual time.");
    wanted.choice("format", {"text", "json"}, "how to print the results");
    wanted.choice("fleet", {"both", "small", "large"},
                  "8 nodes, 340 nodes, or both");
    wanted.choice("scenario-weight", {"false_refusal", "overspend"},
                  "what the deployment weighs more");
    wanted.text("only", "", "run scenarios whose name contains this");
    wanted.number({.name = "seed", .fallback = 1, .help = "of the run"});
    wanted.number({.name = "shards",
                   .fallback = 16,
                   .low = 1,
                   .high = 4096,
                   .help = "of the journal"});
    wanted.milliseconds("flush", 500, "how long a shard's owner gathers");
    wanted.number({.name = "large-budgets",
                   .fallback = 35'000,
                   .low = 1,
                   .help = "budgets of the large fleet"});
    wanted.number({.name = "large-seconds",
                   .fallback = 300,
                   .low = 60,
                   .unit = "s",
                   .help = "length of the large fleet's run"});
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;

    bench_choices choices;
    choices.seed = static_cast<std::uint64_t>(wanted.number_of("seed"));
    choices.shards = static_cast<int>(wanted.number_of("shards"));
    choices.flush = wanted.duration_of("flush");
    if (wanted.text_of("scenario-weight") == "overspend")
        choices.weight = budget::preference::overspend;
    const bool as_json = wanted.text_of("format") == "json";
    const std::string& fleet = wanted.text_of("fleet");

    const fleet_size small{"small", 8, 3, 300, 100};
    const fleet_size large{"large", 340, 6,
                           static_cast<int>(wanted.number_of("large-budgets")),
                           4200};
    json all = json::array();
    bool held = true;
    const auto run_all = [&](const fleet_size& size,
                             const std::vector<scenario>& plans) {
        for (const scenario& it : plans) {
            if (it.name.find(wanted.text_of("only")) == std::string::npos)
                continue;
            all.push_back(run_one(size, it, choices));
            const json& escrow = all.back()["escrow"];
            held = held && escrow["overspent_tokens"] == 0 &&
                   escrow["double_billed"] == 0;
            if (!as_json)
                print_row(all.back());
        }
    };
    if (!as_json)
        print_head();
    if (fleet != "large")
        run_all(small, small_scenarios());
    if (fleet != "small")
        run_all(large,
                large_scenarios(seconds(wanted.number_of("large-seconds"))));
    if (as_json)
        std::cout << all.dump(2) << '\n';
    return held ? exit_success : exit_failure;
}

} // namespace fennelladder::app
