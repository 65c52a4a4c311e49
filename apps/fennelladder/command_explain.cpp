// `fennelladder explain REQUEST_ID FILE...`: prints a request's attempts and
// the cause of its outcome, as found in the logs of the nodes.

#include "command.hpp"
#include "commands.hpp"

#include "fennelladder/report/request_timeline.hpp"
#include "fennelladder/settings/settings.hpp"

#include <fstream>
#include <iostream>
#include <limits>
#include <span>
#include <string>

namespace fennelladder::app {

namespace {

int explain(const std::string& id, std::span<const std::string> paths)
{
    report::request_timeline course(id);
    for (const std::string& path : paths) {
        std::ifstream in(path);
        if (!in) {
            std::cerr << path << ": can't be read\n";
            return exit_bad_input;
        }
        std::size_t unparsed = 0;
        for (std::string line; std::getline(in, line);)
            unparsed += course.add(line) ? 0 : 1;
        if (unparsed > 0)
            std::cerr << path << ": " << unparsed
                      << " lines aren't log lines\n";
    }
    std::cout << course.explain();
    return course.found() ? exit_success : exit_failure;
}

} // namespace

int run_explain(int argc, char** argv)
{
    settings::settings flags(
        "explain", "Prints the lifecycle of a request and the cause of its "
                   "outcome, from the logs of all nodes.");
    flags.positional(
        "REQUEST_ID FILE...", 2, std::numeric_limits<std::size_t>::max(),
        "the request's id and the log files of `fennelladder front`");
    const auto parsed = flags.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const auto& all = flags.positionals();
    return explain(all[0], std::span(all).subspan(1));
}

} // namespace fennelladder::app
