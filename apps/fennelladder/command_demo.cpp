// `fennelladder demo`: runs both deployments in one process on loopback, with
// callers and injected faults, and checks the recorded history.

#include "command.hpp"
#include "commands.hpp"
#include "fennelladder/settings/settings.hpp"
#include "fennelladder/telemetry/log.hpp"
#include "fennelladder/trial/trial.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace fennelladder::app {

namespace {

settings::settings declare_flags()
{
    settings::settings flags(
        "demo", "Runs platform, targets, nodes and callers of both "
                "deployments in one process and checks the history.");
    flags.text(
        "faults", "none",
        "faults to inject, separated by commas: node-death, target-death, "
        "store-outage, partition, silent-connection, "
        "lost-store-reply, poison, restart; or none");
    flags.number({.name = "seed",
                  .fallback = 1,
                  .unit = "",
                  .help = "seed of callers, choices and faults"});
    flags.number({.name = "requests",
                  .fallback = 400,
                  .low = 20,
                  .high = 1'000'000,
                  .unit = "requests",
                  .help = "requests in each deployment"});
    flags.choice("format", {"text", "json"}, "format of the result");
    flags.text("history", "",
               "path prefix of the history files, one per deployment");
    flags.flag("verbose", "log the nodes' events to standard error");
    return flags;
}

bool parse_faults(const std::string& text, std::vector<trial::fault>& out)
{
    std::istringstream in(text);
    std::string name;
    bool valid = true;
    while (std::getline(in, name, ',')) {
        const auto it = trial::parse_fault(name);
        if (!it) {
            std::cerr << "--faults: " << it.error().message << '\n';
            valid = false;
        } else if (*it != trial::fault::none) {
            out.push_back(*it);
        }
    }
    return valid;
}

} // namespace

int run_demo(int argc, char** argv)
{
    settings::settings flags = declare_flags();
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    trial::trial_options options;
    if (!parse_faults(flags.text_of("faults"), options.faults))
        return exit_bad_input;
    options.seed = static_cast<std::uint64_t>(flags.number_of("seed"));
    options.requests = static_cast<int>(flags.number_of("requests"));
    telemetry::configure_log(
        {.min_severity = flags.flag_of("verbose")
                             ? telemetry::severity::debug
                             : telemetry::severity::error});
    const system_clock time;
    std::vector<trial::trial_result> results;
    for (const auto& plan :
         {trial::spoke_and_sprocket(), trial::chao_phraya()}) {
        if (flags.given("history")) {
            options.history = flags.text_of("history") + "." + plan.name;
            std::ofstream(options.history, std::ios::trunc);
        }
        results.push_back(trial::run_trial(plan, options, time));
    }
    const bool json = flags.text_of("format") == "json";
    std::cout << (json ? trial::to_json(results) + "\n"
                       : trial::to_text(results));
    for (const trial::trial_result& it : results) {
        if (!it.holds())
            return exit_failure;
    }
    return exit_success;
}

} // namespace fennelladder::app
