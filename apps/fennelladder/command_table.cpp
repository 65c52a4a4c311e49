#include "command_table.hpp"

#include <algorithm>
#include <iostream>
#include <string>

namespace fennelladder::app {

namespace {

constexpr std::size_t summary_column = 18;

void print_table(std::ostream& out, std::string_view program,
                 std::span<const command> table)
{
    out << "usage: " << program << " COMMAND [--help] [options]\n\n";
    for (const command& it : table) {
        std::string line = "  " + std::string(it.name);
        line.resize(std::max(line.size() + 2, summary_column), ' ');
        out << line << it.summary << '\n';
    }
}

} // namespace

int run_from_table(std::string_view program, std::span<const command> table,
                   int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "--help";
    if (name == "--help" || name == "-h") {
        print_table(std::cout, program, table);
        return exit_success;
    }
    const auto it = std::ranges::find(table, name, &command::name);
    if (it != table.end())
        return it->run(argc - 1, argv + 1);
    std::cerr << program << ": unknown command '" << name << "'\n";
    print_table(std::cerr, program, table);
    return exit_bad_input;
}

} // namespace fennelladder::app
