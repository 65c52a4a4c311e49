// `fennelladder check-history FILE`: checks a recorded history against the
// rules of docs/HISTORY.md.

#include "command.hpp"
#include "commands.hpp"
#include "fennelladder/history/checker.hpp"
#include "fennelladder/settings/settings.hpp"

#include <iostream>
#include <sstream>

namespace fennelladder::app {

namespace {

settings::settings declare_flags()
{
    settings::settings flags("check-history",
                             "Checks the recorded history of a run against the "
                             "rules of docs/HISTORY.md. Exit code 0: all hold, "
                             "1: violations, 2: the file is invalid.");
    flags.positional("FILE", 1, 1, "the history, as JSON lines");
    flags.number({.name = "leaving-seconds",
                  .fallback = 5,
                  .low = 0,
                  .high = 86'400,
                  .unit = "s",
                  .help = "how long a leaving target may still get requests"});
    flags.number(
        {.name = "config-seconds",
         .fallback = 13,
         .low = 0,
         .high = 86'400,
         .unit = "s",
         .help = "time within which a configuration must be in force"});
    flags.text("urgent-kinds", "",
               "caller kinds, from most to least urgent, separated by commas");
    flags.choice("format", {"text", "json"}, "format of the report");
    return flags;
}

history::check_options options_of(const settings::settings& flags)
{
    history::check_options options;
    options.leaving_grace = seconds(flags.number_of("leaving-seconds"));
    options.config_grace = seconds(flags.number_of("config-seconds"));
    std::istringstream kinds(flags.text_of("urgent-kinds"));
    for (std::string kind; std::getline(kinds, kind, ',');) {
        if (!kind.empty())
            options.urgent_kinds.emplace_back(kind);
    }
    return options;
}

} // namespace

int run_check_history(int argc, char** argv)
{
    settings::settings flags = declare_flags();
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const std::string& path = flags.positionals().front();
    const auto report = history::check_file(path, options_of(flags));
    if (flags.text_of("format") == "json")
        std::cout << history::to_json(report) << '\n';
    else
        std::cout << history::to_text(report,
                                      history::read_named_lines(path, report));
    if (!report.bad.empty())
        return exit_bad_input;
    return report.holds() ? exit_success : exit_failure;
}

} // namespace fennelladder::app
