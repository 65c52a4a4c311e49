// Picks a subcommand by name, for the top level and for `bench`.

#ifndef FENNELLADDER_APPS_COMMAND_TABLE_HPP
#define FENNELLADDER_APPS_COMMAND_TABLE_HPP

#include "command.hpp"

#include <span>
#include <string_view>

namespace fennelladder::app {

/// Runs the command that argv[1] names; without one, or with --help, prints
/// the table. `program` is what stands before the name in messages.
int run_from_table(std::string_view program, std::span<const command> table,
                   int argc, char** argv);

} // namespace fennelladder::app

#endif
