// Entry point of the binary: dispatches to a subcommand.

#include "command_table.hpp"
#include "commands.hpp"

#include <array>
#include <iostream>
#include <string_view>

namespace fennelladder::app {

namespace {

// --help lists the commands in this order.
constexpr auto commands = std::to_array<command>({
    {"apply", "make a manifest the accepted configuration", run_apply},
    {"front", "run one node on the users' platform", run_front},
    {"serve", "run one node", run_serve},
    {"demo", "run both deployments in one process, with faults", run_demo},
    {"bench", "benchmarks, compared with their baselines", run_bench},
    {"standin", "run a simulated platform, engine or service", run_standin},
    {"explain", "explain a request's outcome from the nodes' logs",
     run_explain},
    {"report", "print reports for operators", run_report},
    {"status", "show the state of nodes, targets, budgets and platform",
     run_status},
    {"topup", "prepay tokens of a budget, idempotent by id", run_topup},
    {"validate", "check a manifest and report all findings", run_validate},
    {"check-history", "check the recorded history of a run", run_check_history},
});

} // namespace

} // namespace fennelladder::app

int main(int argc, char** argv)
{
    using namespace fennelladder::app;
    if (argc > 1 && std::string_view(argv[1]) == "--version") {
        std::cout << "fennelladder " FENNELLADDER_VERSION "\n";
        return exit_success;
    }
    return run_from_table("fennelladder", commands, argc, argv);
}
