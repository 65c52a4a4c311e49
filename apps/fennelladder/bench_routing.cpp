// `fennelladder bench routing`: compares the router's routing policy with
// baselines, on one fleet in virtual time and with the same requests for each.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/bench/routing_fleet.hpp"
#include "fennelladder/bench/routing_policy.hpp"
#include "fennelladder/settings/settings.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <future>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <semaphore>

namespace fennelladder::app {

namespace {

using namespace bench;
using nlohmann::json;

// Loads in percent of the capacity; the lowest stands for an idle fleet, whose
// run is `idle_stretch` times as long.
constexpr int idle_load = 2;
constexpr int idle_stretch = 10;
constexpr int loads[] = {idle_load, 50, 80, 95, 120};

struct measurement
{
    std::string policy;
    int load = 0; ///< Percent of the capacity; 0: closed loop.
    fleet_outcome seen;
};

struct study
{
    double capacity = 0;
    std::vector<measurement> closed;
    std::vector<measurement> open;

    const fleet_outcome& at(const std::string& policy, int load) const
    {
        const auto it = std::ranges::find_if(open, [&](const auto& one) {
            return one.policy == policy && one.load == load;
        });
        return it->seen;
    }
};

json to_json(const time_summary& it)
{
    return {{"p50_ms", it.p50}, {"p95_ms", it.p95}, {"p99_ms", it.p99}};
}

json to_json(const kind_outcome& it)
{
    return {{"kind", it.name},
            {"requests", it.requests},
            {"answered", it.answered},
            {"late", it.late},
            {"shed", it.shed},
            {"shed_though_fit", it.shed_though_fit},
            {"first_token", to_json(it.first_token)},
            {"completion", to_json(it.completion)}};
}

json to_json(const measurement& it)
{
    json kinds = json::array();
    for (const kind_outcome& one : it.seen.kinds)
        kinds.push_back(to_json(one));
    return {{"policy", it.policy},
            {"load_percent", it.load},
            {"answers_per_second", it.seen.answers_per_second},
            {"in_time_per_second", it.seen.in_time_per_second},
            {"prefix_hit_share", it.seen.hit_share},
            {"engine_ms_per_answer", it.seen.engine_ms_per_answer},
            {"prefilled_tokens_per_answer", it.seen.prefilled_per_answer},
            {"preempted_by_nodes", it.seen.preempted_by_nodes},
            {"preempted_by_engines", it.seen.preempted_by_engines},
            {"all", to_json(it.seen.all)},
            {"urgent", to_json(it.seen.urgent)},
            {"kinds", std::move(kinds)}};
}

// Runs all simulations, at most `jobs` at a time. Results are in the order of
// `simulations`.
std::vector<measurement> run_all(const std::vector<fleet_options>& simulations,
                                 std::ptrdiff_t jobs)
{
    std::counting_semaphore<> free(jobs);
    std::vector<std::future<fleet_outcome>> running;
    running.reserve(simulations.size());
    for (const fleet_options& it : simulations) {
        running.push_back(std::async(std::launch::async, [&free, it] {
            free.acquire();
            fleet_outcome seen = simulate(it);
            free.release();
            return seen;
        }));
    }
    std::vector<measurement> all;
    for (std::size_t n = 0; n < simulations.size(); ++n)
        all.push_back({simulations[n].policy, 0, running[n].get()});
    return all;
}

// The capacity is the highest rate at which any baseline answers in a closed
// loop that keeps every slot busy. At 80% of it the best baseline is not
// overloaded, so the comparison is not with an overloaded fleet.
study measure(const fleet_options& base, std::ptrdiff_t jobs)
{
    std::vector<std::string> policies = baseline_names();
    policies.emplace_back(paper_policy);
    policies.emplace_back(product_policy);
    study result;
    std::vector<fleet_options> simulations;
    for (const std::string& policy : policies) {
        simulations.push_back(base);
        simulations.back().policy = policy;
        simulations.back().closed = base.firm->workers * base.engine.slots;
    }
    result.closed = run_all(simulations, jobs);
    for (const measurement& it : result.closed) {
        if (std::ranges::count(baseline_names(), it.policy) > 0)
            result.capacity =
                std::max(result.capacity, it.seen.answers_per_second);
    }
    simulations.clear();
    std::vector<int> load_of;
    for (const int load : loads) {
        for (const std::string& policy : policies) {
            simulations.push_back(base);
            simulations.back().policy = policy;
            simulations.back().rate = result.capacity * load / 100;
            // Longer, for enough requests for a p99 and for warm caches.
            if (load == idle_load) {
                simulations.back().warm_up = base.warm_up * idle_stretch / 3;
                simulations.back().length = base.length * idle_stretch;
            }
            load_of.push_back(load);
        }
    }
    result.open = run_all(simulations, jobs);
    for (std::size_t n = 0; n < result.open.size(); ++n)
        result.open[n].load = load_of[n];
    return result;
}

json evaluate_goals(const study& result)
{
    const fleet_outcome& over = result.at(product_policy, 120);
    const fleet_outcome& idle = result.at(product_policy, idle_load);
    const double urgent =
        over.urgent.first_token.p99 / idle.urgent.first_token.p99;
    double best = 0;
    std::string best_name;
    for (const std::string& it : baseline_names()) {
        const double p95 = result.at(it, 80).all.first_token.p95;
        if (best_name.empty() || p95 < best) {
            best = p95;
            best_name = it;
        }
    }
    const double product = result.at(product_policy, 80).all.first_token.p95;
    const double paper = result.at(paper_policy, 80).all.first_token.p95;
    return {{"p95_at_80_to_paper", product / paper},
            {"urgent_p99_at_120_to_idle", urgent},
            {"urgent_p99_at_120_to_idle_met", urgent <= 1.3},
            {"p95_at_80_best_baseline", best_name},
            {"p95_at_80_to_best_baseline", product / best},
            {"p95_at_80_to_best_baseline_met", product <= 0.75 * best},
            {"shed_though_fit_at_120", over.all.shed_though_fit},
            {"shed_though_fit_at_120_met", over.all.shed_though_fit == 0}};
}

void print_row(const measurement& it)
{
    std::printf("%4d%% %-24s %8.0f %8.0f %5.2f %7.2f", it.load,
                it.policy.c_str(), it.seen.answers_per_second,
                it.seen.in_time_per_second, it.seen.hit_share,
                it.seen.engine_ms_per_answer);
    const auto print_kind = [](const kind_outcome& of) {
        std::printf(" | %s %.0f/%.0f/%.0f s%llu l%llu f%llu", of.name.c_str(),
                    of.first_token.p50, of.first_token.p95, of.first_token.p99,
                    static_cast<unsigned long long>(of.shed),
                    static_cast<unsigned long long>(of.late),
                    static_cast<unsigned long long>(of.shed_though_fit));
    };
    print_kind(it.seen.all);
    print_kind(it.seen.urgent);
    for (const kind_outcome& of : it.seen.kinds)
        print_kind(of);
    std::printf("\n");
}

void print_text(const deployment& firm, const study& result,
                const json& goals_reached)
{
    std::printf("%s: capacity %.0f requests/s\n"
                "load  policy                  answers/s in-time/s  hits "
                "ms/ans | kind ttft p50/p95/p99 ms, s=shed l=late f=fitted\n",
                firm.name.c_str(), result.capacity);
    for (const measurement& it : result.closed)
        print_row(it);
    for (const measurement& it : result.open)
        print_row(it);
    std::printf("%s\n\n", goals_reached.dump(1).c_str());
}

} // namespace

int run_bench_routing(int argc, char** argv)
{
    settings::settings flags(
        "bench routing",
        "Time to first token and work per request, compared with baselines.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.text("deployment", "spoke_and_sprocket,chao_phraya",
               "names, separated by commas: spoke_and_sprocket, chao_phraya, "
               "two_years_on");
    flags.number({.name = "seconds",
                  .fallback = 30,
                  .low = 1,
                  .high = 3600,
                  .unit = "s",
                  .help = "measured virtual time, after the warm-up"});
    flags.number(
        {.name = "warm-up",
         .fallback = 30,
         .low = 0,
         .high = 3600,
         .unit = "s",
         .help = "virtual time before the measurement, to warm caches"});
    flags.number(
        {.name = "seed", .fallback = 1, .help = "seed of the random numbers"});
    flags.number({.name = "jobs",
                  .fallback = 2,
                  .low = 1,
                  .high = 256,
                  .help = "simulations that run at the same time"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    json report = json::array();
    std::string names = flags.text_of("deployment") + ",";
    for (std::size_t end = names.find(','); end != std::string::npos;
         end = names.find(',')) {
        const std::string name = names.substr(0, end);
        names.erase(0, end + 1);
        const deployment* firm = find_deployment(name);
        if (firm == nullptr) {
            std::cerr << "bench routing: unknown deployment '" << name << "'\n";
            return exit_bad_input;
        }
        fleet_options base;
        base.firm = firm;
        base.length = seconds(flags.number_of("seconds"));
        base.warm_up = seconds(flags.number_of("warm-up"));
        base.seed = static_cast<std::uint64_t>(flags.number_of("seed"));
        const study result = measure(base, flags.number_of("jobs"));
        const json goals_reached = evaluate_goals(result);
        if (flags.text_of("format") == "text") {
            print_text(*firm, result, goals_reached);
            continue;
        }
        json runs = json::array();
        for (const measurement& it : result.closed)
            runs.push_back(to_json(it));
        for (const measurement& it : result.open)
            runs.push_back(to_json(it));
        report.push_back({{"deployment", name},
                          {"workers", firm->workers},
                          {"step_ms", to_seconds(firm->step) * 1000},
                          {"nodes", firm->nodes},
                          {"capacity_per_second", result.capacity},
                          {"goals", goals_reached},
                          {"runs", std::move(runs)}});
    }
    if (flags.text_of("format") == "json")
        std::cout << report.dump(1) << '\n';
    return exit_success;
}

} // namespace fennelladder::app
