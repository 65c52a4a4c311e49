// Types shared by all subcommands. Each subcommand is implemented in its own
// file, command_NAME.cpp.

#ifndef FENNELLADDER_APPS_COMMAND_HPP
#define FENNELLADDER_APPS_COMMAND_HPP

#include <string_view>

namespace fennelladder::app {

/// Exit codes shared by all subcommands.
enum exit_code : int
{
    exit_success = 0,
    exit_failure = 1,  ///< It ran, but failed or found a violation.
    exit_bad_input = 2 ///< Invalid flags or files; findings are printed.
};

/// A subcommand. `run` gets the subcommand's own name as argv[0] and returns
/// an exit code.
struct command
{
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, char** argv);
};

} // namespace fennelladder::app

#endif
