// Dispatches to a subcommand by name, at the top level and for the commands
// that have subcommands of their own (`bench`, `report`, `standin`).

#ifndef FENNELLADDER_APPS_COMMAND_TABLE_HPP
#define FENNELLADDER_APPS_COMMAND_TABLE_HPP

#include "command.hpp"

#include <span>
#include <string_view>

namespace fennelladder::app {

/// Runs the command named by argv[1] and returns its exit code. Prints the
/// table if argv[1] is missing, --help or -h. `program` precedes the command's
/// name in messages.
int run_from_table(std::string_view program, std::span<const command> table,
                   int argc, char** argv);

} // namespace fennelladder::app

#endif
