// `fennelladder bench reserve`: time of reserve and settle in the allotment
// table, with many budgets, on one thread and on several.

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

struct reserve_timing
{
    int threads = 0;
    double nanoseconds = 0; ///< Per reserve and settle on each thread.
    double per_second = 0;  ///< Sum over all threads.
};

std::vector<budget_id> make_budgets(std::int64_t count)
{
    std::vector<budget_id> budgets;
    budgets.reserve(static_cast<std::size_t>(count));
    for (std::int64_t n = 0; n < count; ++n)
        budgets.emplace_back("budget-" + std::to_string(n));
    return budgets;
}

// Reserves and settles in budgets drawn at random. Threads with different seeds
// use different orders.
void reserve_and_settle(budget::allotment_table& table,
                        const std::vector<budget_id>& budgets,
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

reserve_timing measure(budget::allotment_table& table,
                       const std::vector<budget_id>& budgets, int threads,
                       std::int64_t rounds)
{
    const auto started = std::chrono::steady_clock::now();
    std::vector<std::thread> all;
    all.reserve(static_cast<std::size_t>(threads));
    for (int n = 0; n < threads; ++n) {
        all.emplace_back([&table, &budgets, n, rounds] {
            reserve_and_settle(table, budgets,
                               static_cast<std::uint64_t>(n) + 1, rounds);
        });
    }
    for (std::thread& it : all)
        it.join();
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - started;
    const auto done = static_cast<double>(rounds);
    return {threads, 1e9 * elapsed.count() / done,
            done * threads / elapsed.count()};
}

} // namespace

int run_bench_reserve(int argc, char** argv)
{
    settings::settings flags("bench reserve",
                             "Cost of reserve and settle in memory.");
    flags.choice("format", {"text", "json"}, "format of the results");
    flags.number({.name = "budgets",
                  .fallback = 350'000,
                  .low = 1,
                  .help = "budgets with an allotment at the node"});
    flags.number({.name = "rounds",
                  .fallback = 2'000'000,
                  .low = 1,
                  .help = "pairs of reserve and settle per thread"});
    flags.number({.name = "threads",
                  .fallback = 12,
                  .low = 1,
                  .high = 256,
                  .help = "threads of the second measurement"});
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;

    const auto budgets = make_budgets(flags.number_of("budgets"));
    budget::allotment_table table;
    for (const budget_id& it : budgets) {
        table.credit_grant(it, tokens(1'000'000'000), from_nanoseconds(1));
        table.raise_ceiling(it, tokens(1'000'000'000));
    }
    nlohmann::ordered_json all = nlohmann::ordered_json::array();
    const auto rounds = flags.number_of("rounds");
    for (const int threads :
         {1, static_cast<int>(flags.number_of("threads"))}) {
        const reserve_timing it = measure(table, budgets, threads, rounds);
        all.push_back({{"threads", it.threads},
                       {"budgets", budgets.size()},
                       {"ns_per_reserve_and_settle", it.nanoseconds},
                       {"per_second", it.per_second}});
        if (flags.text_of("format") == "text")
            std::printf("%3d threads: %7.1f ns each, %.1f million a second\n",
                        it.threads, it.nanoseconds, it.per_second / 1e6);
    }
    if (flags.text_of("format") == "json")
        std::cout << all.dump(2) << '\n';
    return exit_success;
}

} // namespace fennelladder::app
