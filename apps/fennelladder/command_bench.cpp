// `fennelladder bench NAME`: measurements.

#include "benches.hpp"
#include "command_table.hpp"
#include "commands.hpp"

#include <array>

namespace fennelladder::app {

namespace {

// One line each, sorted by name.
constexpr std::array<command, 0> benches{};

} // namespace

int run_bench(int argc, char** argv)
{
    return run_from_table("fennelladder bench", benches, argc, argv);
}

} // namespace fennelladder::app
