// `fennelladder bench reserve`: what admission costs in the table: reserve and
// settle, on one thread and on several, over many budgets.

#include "benches.hpp"
#include "command.hpp"

#include "fennelladder/base/random.hpp"
#include "fennelladder/budget/allotment_table.hpp"
#include "fennelladder/settings/settings.hpp"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace fennelladder::app {

namespace {

struct reserve_figures
{
    int threads = 0;
    double nanoseconds = 0; ///< Per reserve and settle, on each thread.
    double per_second = 0;  ///< Of all threads.
};

std::vector<budget_id> make_budgets(std::int64_t count)
{
    std::vector<budget_id> made;
    made.reserve(static_cast<std::size_t>(count));
    for (std::int64_t n = 0; n < count; ++n)
        made.emplace_back("budget-" + std::to_string(n));
    return made;
}

// Each thread goes through budgets in an order of its own.
void work(budget::allotment_table& table, const std::vector<budget_id>& budgets,
          std::uint64_t seed, std::int64_t rounds)
{
    random_source random(seed);
    const instant now = from_nanoseconds(1);
    for (std::int64_t n = 0; n < rounds; ++n) {
        const auto& budget = budgets[random.below(budgets.size())];
        auto held = table.reserve(budget, tokens(900), now);
        if (held)
            table.settle(std::move(*held), tokens(1));
    }
}

reserve_figures measure(budget::allotment_table& table,
                        const std::vector<budget_id>& budgets, int threads,
                        std::int64_t rounds)
{
    const auto started = std::chrono::steady_clock::now();
    std::vector<std::thread> all;
    all.reserve(static_cast<std::size_t>(threads));
    for (int n = 0; n < threads; ++n) {
        all.emplace_back([&table, &budgets, n, rounds] {
            work(table, budgets, static_cast<std::uint64_t>(n) + 1, rounds);
        });
    }
    for (std::thread& it : all)
        it.join();
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - started;
    const auto done = static_cast<double>(rounds);
    return {threads, 1e9 * took.count() / done, done * threads / took.count()};
}

} // namespace

int run_bench_reserve(int argc, char** argv)
{
    settings::settings wanted("bench reserve",
                              "Cost of reserve and settle in memory.");
    wanted.choice("format", {"text", "json"}, "how to print the results");
    wanted.number({.name = "budgets",
                   .fallback = 350'000,
                   .low = 1,
                   .help = "with an allotment at the node"});
    wanted.number({.name = "rounds",
                   .fallback = 2'000'000,
                   .low = 1,
                   .help = "reserve and settle, per thread"});
    wanted.number({.name = "threads",
                   .fallback = 12,
                   .low = 1,
                   .high = 256,
                   .help = "of the second measurement"});
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;

    const auto budgets = make_budgets(wanted.number_of("budgets"));
    budget::allotment_table table;
    for (const budget_id& it : budgets) {
        table.credit_grant(it, tokens(1'000'000'000), from_nanoseconds(1));
        table.raise_ceiling(it, tokens(1'000'000'000));
    }
    nlohmann::ordered_json all = nlohmann::ordered_json::array();
    const auto rounds = wanted.number_of("rounds");
    for (const int threads :
         {1, static_cast<int>(wanted.number_of("threads"))}) {
        const reserve_figures it = measure(table, budgets, threads, rounds);
        all.push_back({{"threads", it.threads},
                       {"budgets", budgets.size()},
                       {"ns_per_reserve_and_settle", it.nanoseconds},
                       {"per_second", it.per_second}});
        if (wanted.text_of("format") == "text")
            std::printf("%3d threads: %7.1f ns each, %.1f million a second\n",
                        it.threads, it.nanoseconds, it.per_second / 1e6);
    }
    if (wanted.text_of("format") == "json")
        std::cout << all.dump(2) << '\n';
    return exit_success;
}

} // namespace fennelladder::app
