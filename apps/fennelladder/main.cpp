// Entry point: picks the subcommand.

#include "command_table.hpp"
#include "commands.hpp"

#include <array>
#include <iostream>
#include <string_view>

namespace fennelladder::app {

namespace {

// One line each, sorted by name.
constexpr auto commands = std::to_array<command>({
    {"apply", "bring a manifest into force", run_apply},
    {"front", "run one node on the users' platform", run_front},
    {"serve", "run one node", run_serve},
    {"demo", "both deployments in one process, with faults", run_demo},
    {"bench", "measurements, each beside its baselines", run_bench},
    {"standin", "platform, engine or service for trying out", run_standin},
    {"explain", "what became of a request, by the nodes' logs", run_explain},
    {"report", "reports for operators", run_report},
    {"status", "how nodes, targets, budgets and platform are", run_status},
    {"topup", "prepay tokens of a budget, once by id", run_topup},
    {"validate", "check a manifest, report all findings", run_validate},
    {"check-history", "judges the record of a run", run_check_history},
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
