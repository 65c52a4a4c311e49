// `fennelladder check-history FILE`: judges a history (docs/HISTORY.md).

#include "command.hpp"
#include "commands.hpp"
#include "fennelladder/history/checker.hpp"
#include "fennelladder/settings/settings.hpp"

#include <iostream>
#include <sstream>

namespace fennelladder::app {

namespace {

settings::settings declare_settings()
{
    settings::settings wanted("check-history",
                              "Judges the record of a run by the rules of "
                              "docs/HISTORY.md. Exit code 0: all hold, 1: "
                              "violations, 2: the file is bad.");
    wanted.positional("FILE", 1, 1, "history, JSON lines");
    wanted.number({.name = "leaving-seconds",
                   .fallback = 5,
                   .low = 0,
                   .high = 86'400,
                   .unit = "s",
                   .help = "how long a leaving target may get work"});
    wanted.number({.name = "config-seconds",
                   .fallback = 13,
                   .low = 0,
                   .high = 86'400,
                   .unit = "s",
                   .help = "by when a configuration must be in force"});
    wanted.text("urgent-kinds", "",
                "kinds of caller from the most to the least urgent, by comma");
    wanted.choice("format", {"text", "json"}, "form of the report");
    return wanted;
}

history::check_options options_of(const settings::settings& wanted)
{
    history::check_options options;
    options.leaving_grace = seconds(wanted.number_of("leaving-seconds"));
    options.config_grace = seconds(wanted.number_of("config-seconds"));
    std::istringstream kinds(wanted.text_of("urgent-kinds"));
    for (std::string kind; std::getline(kinds, kind, ',');) {
        if (!kind.empty())
            options.urgent_kinds.emplace_back(kind);
    }
    return options;
}

} // namespace

int run_check_history(int argc, char** argv)
{
    settings::settings wanted = declare_settings();
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const std::string& path = wanted.positionals().front();
    const auto report = history::check_file(path, options_of(wanted));
    if (wanted.text_of("format") == "json")
        std::cout << history::to_json(report) << '\n';
    else
        std::cout << history::to_text(report,
                                      history::read_named_lines(path, report));
    if (!report.bad.empty())
        return exit_bad_input;
    return report.holds() ? exit_success : exit_failure;
}

} // namespace fennelladder::app
