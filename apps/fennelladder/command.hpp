// The subcommands of the one binary, one file each (command_NAME.cpp).

#ifndef FENNELLADDER_APPS_COMMAND_HPP
#define FENNELLADDER_APPS_COMMAND_HPP

#include <string_view>

namespace fennelladder::app {

/// Exit codes shared by all subcommands.
enum exit_code : int
{
    exit_success = 0,
    exit_failure = 1,  ///< It ran, and what it was to show does not hold.
    exit_bad_input = 2 ///< Bad settings or files; all findings are printed.
};

/// A subcommand: argv[0] is its own name.
struct command
{
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, char** argv);
};

} // namespace fennelladder::app

#endif
