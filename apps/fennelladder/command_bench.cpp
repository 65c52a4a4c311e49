// `fennelladder bench NAME`: measurements.

#include "benches.hpp"
#include "command_table.hpp"
#include "commands.hpp"

#include <array>

namespace fennelladder::app {

namespace {

// One line each, sorted by name.
constexpr auto benches = std::to_array<command>({
    {"config", "cost of the configuration by size and fleet", run_bench_config},
    {"control", "what control costs a node, and how quick it is",
     run_bench_control},
    {"budgets", "budgets under faults beside two baselines", run_bench_budgets},
    {"reserve", "cost of reserve and settle in memory", run_bench_reserve},
    {"choose", "one choice among many targets", run_bench_choose},
    {"routing", "time to first token beside baselines", run_bench_routing},
    {"history", "what recording and checking a history cost",
     run_bench_history},
    {"journal", "calls, bytes and time of the journal", run_bench_journal},
    {"path", "what the way through a node adds, beside direct calls",
     run_bench_path},
    {"requests", "time and memory of a request beside its I/O",
     run_bench_requests},
});

} // namespace

int run_bench(int argc, char** argv)
{
    return run_from_table("fennelladder bench", benches, argc, argv);
}

} // namespace fennelladder::app
