// `fennelladder bench NAME`: benchmarks.

#include "benches.hpp"
#include "command_table.hpp"
#include "commands.hpp"

#include <array>

namespace fennelladder::app {

namespace {

// --help lists the benchmarks in this order.
constexpr auto benches = std::to_array<command>({
    {"config", "cost of the configuration by its size and the fleet's",
     run_bench_config},
    {"control", "cost and latency of the control plane per node",
     run_bench_control},
    {"budgets", "budgets under faults, compared with two baselines",
     run_bench_budgets},
    {"reserve", "cost of reserve and settle in memory", run_bench_reserve},
    {"choose", "latency of one choice among many targets", run_bench_choose},
    {"routing", "time to first token, compared with baselines",
     run_bench_routing},
    {"history", "cost of recording and checking a history", run_bench_history},
    {"journal", "platform calls, bytes and latency of the journal",
     run_bench_journal},
    {"path", "latency added by a node, compared with direct calls",
     run_bench_path},
    {"requests", "time and memory per request, without its I/O",
     run_bench_requests},
});

} // namespace

int run_bench(int argc, char** argv)
{
    return run_from_table("fennelladder bench", benches, argc, argv);
}

} // namespace fennelladder::app
