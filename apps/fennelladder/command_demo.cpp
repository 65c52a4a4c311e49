// `fennelladder demo`: both deployments in one process, on loopback, with
// callers, faults, and a verdict.

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

settings::settings declare()
{
    settings::settings wanted(
        "demo", "Runs platform, targets, nodes and callers of both "
                "deployments in one process, and judges the history.");
    wanted.text("faults", "none",
                "one or more, by comma, of node-death, target-death, "
                "store-outage, partition, silent-connection, "
                "lost-store-reply, poison, restart; or none");
    wanted.number({.name = "seed",
                   .fallback = 1,
                   .unit = "",
                   .help = "of callers, choices and faults"});
    wanted.number({.name = "requests",
                   .fallback = 400,
                   .low = 20,
                   .high = 1'000'000,
                   .unit = "requests",
                   .help = "in each deployment"});
    wanted.choice("format", {"text", "json"}, "of the result");
    wanted.text("history", "",
                "file for the history; the deployment's name is added");
    wanted.flag("verbose", "log the nodes' events to standard error");
    return wanted;
}

bool read_faults(const std::string& text, std::vector<trial::fault>& out)
{
    std::istringstream in(text);
    std::string name;
    bool good = true;
    while (std::getline(in, name, ',')) {
        const auto it = trial::parse_fault(name);
        if (!it) {
            std::cerr << "--faults: " << it.error().message << '\n';
            good = false;
        } else if (*it != trial::fault::none) {
            out.push_back(*it);
        }
    }
    return good;
}

} // namespace

int run_demo(int argc, char** argv)
{
    settings::settings wanted = declare();
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    trial::trial_options options;
    if (!read_faults(wanted.text_of("faults"), options.faults))
        return exit_bad_input;
    options.seed = static_cast<std::uint64_t>(wanted.number_of("seed"));
    options.requests = static_cast<int>(wanted.number_of("requests"));
    telemetry::configure_log(
        {.min_severity = wanted.flag_of("verbose")
                             ? telemetry::severity::debug
                             : telemetry::severity::error});
    const system_clock time;
    std::vector<trial::trial_result> results;
    for (const auto& plan :
         {trial::spoke_and_sprocket(), trial::chao_phraya()}) {
        if (wanted.given("history")) {
            options.history = wanted.text_of("history") + "." + plan.name;
            std::ofstream(options.history, std::ios::trunc);
        }
        results.push_back(trial::run_trial(plan, options, time));
    }
    const bool json = wanted.text_of("format") == "json";
    std::cout << (json ? trial::to_json(results) + "\n"
                       : trial::to_text(results));
    for (const trial::trial_result& it : results) {
        if (!it.holds())
            return exit_failure;
    }
    return exit_success;
}

} // namespace fennelladder::app
