// Entry point: picks the subcommand.

#include "command.hpp"

#include <array>
#include <iostream>
#include <string_view>

namespace fennelladder::app {

namespace {

constexpr std::array<command, 0> commands{};

int print_help(std::ostream& out)
{
    out << "usage: fennelladder COMMAND [--help] [options]\n\n";
    for (const command& it : commands)
        out << "  " << it.name << "  " << it.summary << '\n';
    return exit_success;
}

int run(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "--help";
    if (name == "--version") {
        std::cout << "fennelladder " FENNELLADDER_VERSION "\n";
        return exit_success;
    }
    if (name == "--help" || name == "-h")
        return print_help(std::cout);
    for (const command& it : commands) {
        if (it.name == name)
            return it.run(argc - 1, argv + 1);
    }
    std::cerr << "fennelladder: no command '" << name << "'\n";
    print_help(std::cerr);
    return exit_bad_input;
}

} // namespace

} // namespace fennelladder::app

int main(int argc, char** argv)
{
    return fennelladder::app::run(argc, argv);
}
