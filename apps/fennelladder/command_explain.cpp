// `fennelladder explain REQUEST_ID FILE...`: what became of a request, and why.

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
        std::size_t strange = 0;
        for (std::string line; std::getline(in, line);)
            strange += course.add(line) ? 0 : 1;
        if (strange > 0)
            std::cerr << path << ": " << strange << " lines are no log's\n";
    }
    std::cout << course.explain();
    return course.found() ? exit_success : exit_failure;
}

} // namespace

int run_explain(int argc, char** argv)
{
    settings::settings wanted(
        "explain", "Prints the course of a request by the logs of all nodes, "
                   "and the cause of its end.");
    wanted.positional("REQUEST_ID FILE...", 2,
                      std::numeric_limits<std::size_t>::max(),
                      "the request's id, and logs of `fennelladder front`");
    const auto parsed = wanted.parse(argc, argv);
    if (parsed.stop)
        return parsed.exit_code;
    const auto& all = wanted.positionals();
    return explain(all[0], std::span(all).subspan(1));
}

} // namespace fennelladder::app
