// `fennelladder bench budgets`: runs fleets in virtual time under partitions,
// outages and node failures, and compares their budgets with two baselines that
// get the same requests.
//
// A scenario is a list of faults at points in time. Requests arrive at random
// times (Poisson). Each goes to a running host in its caller's data
// center and is presented to the escrow and to both baselines. An oracle for
// each of them knows how many tokens were left when it refused a request, which
// tells false refusals from right ones.

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

struct bench_parameters
{
    std::uint64_t seed = 1;
    budget::preference weight = budget::preference::false_refusal;
    int shards = 16;
    duration flush{};
};

// Runs one scenario with one fleet: the rig, the baselines and the workload.
class scenario_run
{
public:
    scenario_run(const fleet_size& size, const scenario& plan,
                 const bench_parameters& parameters);

    fleet_rig rig;

    instant at(duration since) const { return start_ + since; }

    void run();
    json result() const;

    std::uint64_t requests() const { return rig.figures().requests; }
    std::uint64_t static_false() const
    {
        return static_split_.figures().false_refused;
    }

private:
    static rig_options options_for(const fleet_size& size,
                                   const bench_parameters& parameters);
    void top_up(int budget, tokens amount);
    void schedule_arrivals();
    void send(const demand_item& item);
    double per_million(std::uint64_t count) const;
    json baseline_result(const baseline& it) const;

    fleet_size size_;
    scenario scenario_;
    workload workload_;
    baseline static_split_;
    baseline write_per_request_;
    instant start_;
    int topups_ = 0;
    std::uint64_t writes_at_start_ = 0;
    std::uint64_t book_bytes_at_start_ = 0;
    std::uint64_t message_bytes_at_start_ = 0;
};

// Time for the first joins, top-ups and stocks before requests arrive.
constexpr duration warm_up = seconds(20);

// Interval of top-ups. Each adds a quarter of a budget's initial tokens.
constexpr duration topup_interval = seconds(10);

rig_options scenario_run::options_for(const fleet_size& size,
                                      const bench_parameters& parameters)
{
    rig_options made;
    made.nodes = size.nodes;
    made.data_centers = size.data_centers;
    made.shards = parameters.shards;
    made.flush_interval = parameters.flush;
    made.seed = parameters.seed;
    made.agent.refill = budget::policy_for(parameters.weight);
    return made;
}

scenario_run::scenario_run(const fleet_size& size, const scenario& plan,
                           const bench_parameters& parameters)
    : rig(options_for(size, parameters)), size_(size), scenario_(plan),
      workload_({.budgets = size.budgets,
                 .nodes = size.nodes,
                 .data_centers = size.data_centers,
                 .rate = size.rate,
                 .length = plan.length},
                parameters.seed + 1),
      static_split_(baseline::kind::static_split, size.nodes, size.budgets),
      write_per_request_(baseline::kind::write_per_request, size.nodes,
                         size.budgets)
{}

void scenario_run::top_up(int budget, tokens amount)
{
    rig.top_up(budget, amount, "topup-" + std::to_string(++topups_));
    static_split_.top_up(budget, amount);
    write_per_request_.top_up(budget, amount);
}

void scenario_run::run()
{
    for (int n = 0; n < size_.budgets; ++n)
        top_up(n, workload_.prepaid(n));
    rig.run_for(warm_up);
    start_ = rig.now();
    writes_at_start_ = rig.books().writes();
    book_bytes_at_start_ = rig.books().bytes();
    message_bytes_at_start_ = rig.figures().message_bytes;
    scenario_.faults(*this);
    for (duration it = topup_interval; it < scenario_.length;
         it += topup_interval) {
        rig.events().at(at(it), [this] {
            const int budget = workload_.draw_budget();
            top_up(budget, tokens(workload_.prepaid(budget).count() / 4));
        });
    }
    schedule_arrivals();
    rig.run_for(scenario_.length + minutes(2));
}

void scenario_run::schedule_arrivals()
{
    rig.events().after(workload_.gap(), [this] {
        if (rig.now() >= at(scenario_.length))
            return;
        send(workload_.draw());
        schedule_arrivals();
    });
}

void scenario_run::send(const demand_item& drawn)
{
    demand_item item = drawn;
    // If the host is down, the caller uses the next one in its data center.
    for (int n = 0; n < size_.nodes && !rig.alive(item.node); ++n)
        item.node = (item.node + size_.data_centers) % size_.nodes;
    rig.request({.node = item.node,
                 .budget = item.budget,
                 .worst = item.worst,
                 .actual = item.actual,
                 .time = item.time,
                 .key = {}});
    for (baseline* it : {&static_split_, &write_per_request_}) {
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
    const double seconds = to_seconds(scenario_.length);
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
    const double seconds = to_seconds(scenario_.length);
    const auto nodes = static_cast<double>(size_.nodes);
    const auto written =
        static_cast<double>(rig.books().writes() - writes_at_start_);
    // Counted twice, since a record is sent to the shard's owner and from there
    // to the store.
    const auto bytes =
        static_cast<double>(all.message_bytes - message_bytes_at_start_ +
                            2 * (rig.books().bytes() - book_bytes_at_start_));
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
    return {{"scenario", scenario_.name},
            {"fleet", size_.name},
            {"nodes", size_.nodes},
            {"budgets", size_.budgets},
            {"seconds", seconds},
            {"requests", all.requests},
            {"escrow", std::move(escrow)},
            {"static_split", baseline_result(static_split_)},
            {"write_per_request", baseline_result(write_per_request_)}};
}

// ---- Scenarios

// Partitions the last third of the data centers from the store and the others.
void partition_data_centers(scenario_run& run, duration from, duration length)
{
    const int n = run.rig.options().data_centers;
    std::vector<std::vector<int>> sides(2);
    for (int dc = 0; dc < n; ++dc)
        sides[dc < n - (n + 1) / 3 ? 0 : 1].push_back(dc);
    run.rig.events().at(run.at(from),
                        [&run, sides] { run.rig.partition(sides, 0); });
    run.rig.events().at(run.at(from + length), [&run] { run.rig.heal(); });
}

void interrupt_store(scenario_run& run, duration from, duration length)
{
    run.rig.events().at(run.at(from), [&run] { run.rig.store_up(false); });
    run.rig.events().at(run.at(from + length),
                        [&run] { run.rig.store_up(true); });
}

void kill_nodes(scenario_run& run, duration every, duration until)
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
                 partition_data_centers(run, seconds(6) * n, milliseconds(20));
         }},
        {"partitions of 10 s", minutes(10),
         [](scenario_run& run) {
             for (int n = 1; n < 20; ++n)
                 partition_data_centers(run, seconds(30) * n, seconds(10));
         }},
        {"partition of 1 h", minutes(70),
         [](scenario_run& run) {
             partition_data_centers(run, minutes(5), hours(1));
         }},
        {"outage of 1 h", minutes(70),
         [](scenario_run& run) { interrupt_store(run, minutes(5), hours(1)); }},
        {"deaths", minutes(10),
         [](scenario_run& run) { kill_nodes(run, seconds(45), minutes(10)); }},
        {"all together", minutes(70),
         [](scenario_run& run) {
             partition_data_centers(run, minutes(5), minutes(30));
             interrupt_store(run, minutes(20), minutes(30));
             kill_nodes(run, minutes(4), minutes(70));
             run.rig.lose_replies(50);
         }},
    };
}

std::vector<scenario> large_scenarios(duration length)
{
    return {
        {"partition, outage and deaths", length, [length](scenario_run& run) {
             partition_data_centers(run, length / 6, length / 2);
             interrupt_store(run, length / 4, length / 8);
             kill_nodes(run, length / 8, length);
         }}};
}

json run_one(const fleet_size& size, const scenario& plan,
             const bench_parameters& parameters)
{
    scenario_run run(size, plan, parameters);
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

void print_header()
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
    settings::settings flags("bench budgets",
                             "Budgets under faults, compared with two "
                             "baselines, in virtual time.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.choice("fleet", {"both", "small", "large"},
                 "small: 8 nodes, large: 340 nodes");
    flags.choice("scenario-weight", {"false_refusal", "overspend"},
                 "the error that the deployment prefers to avoid");
    flags.text("only", "", "run only scenarios whose names contain this text");
    flags.number(
        {.name = "seed", .fallback = 1, .help = "seed of the random numbers"});
    flags.number({.name = "shards",
                  .fallback = 16,
                  .low = 1,
                  .high = 4096,
                  .help = "shards of the journal"});
    flags.milliseconds("flush", 500,
                       "how long a shard's owner batches records");
    flags.number({.name = "large-budgets",
                  .fallback = 35'000,
                  .low = 1,
                  .help = "budgets of the large fleet"});
    flags.number({.name = "large-seconds",
                  .fallback = 300,
                  .low = 60,
                  .unit = "s",
                  .help = "virtual time of the large fleet's run"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;

    bench_parameters parameters;
    parameters.seed = static_cast<std::uint64_t>(flags.number_of("seed"));
    parameters.shards = static_cast<int>(flags.number_of("shards"));
    parameters.flush = flags.duration_of("flush");
    if (flags.text_of("scenario-weight") == "overspend")
        parameters.weight = budget::preference::overspend;
    const bool as_json = flags.text_of("format") == "json";
    const std::string& fleet = flags.text_of("fleet");

    const fleet_size small{"small", 8, 3, 300, 100};
    const fleet_size large{"large", 340, 6,
                           static_cast<int>(flags.number_of("large-budgets")),
                           4200};
    json all = json::array();
    bool budgets_hold = true;
    const auto run_all = [&](const fleet_size& size,
                             const std::vector<scenario>& plans) {
        for (const scenario& it : plans) {
            if (it.name.find(flags.text_of("only")) == std::string::npos)
                continue;
            all.push_back(run_one(size, it, parameters));
            const json& escrow = all.back()["escrow"];
            budgets_hold = budgets_hold && escrow["overspent_tokens"] == 0 &&
                           escrow["double_billed"] == 0;
            if (!as_json)
                print_row(all.back());
        }
    };
    if (!as_json)
        print_header();
    if (fleet != "large")
        run_all(small, small_scenarios());
    if (fleet != "small")
        run_all(large,
                large_scenarios(seconds(flags.number_of("large-seconds"))));
    if (as_json)
        std::cout << all.dump(2) << '\n';
    return budgets_hold ? exit_success : exit_failure;
}

} // namespace fennelladder::app
