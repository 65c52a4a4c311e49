// Entry points of all subcommands. Each is defined in command_NAME.cpp and
// returns an exit code (see command.hpp). argv[0] is the subcommand's name.

#ifndef FENNELLADDER_APPS_COMMANDS_HPP
#define FENNELLADDER_APPS_COMMANDS_HPP

namespace fennelladder::app {

int run_apply(int argc, char** argv);
int run_bench(int argc, char** argv);
int run_front(int argc, char** argv);
int run_demo(int argc, char** argv);
int run_serve(int argc, char** argv);
int run_standin(int argc, char** argv);
int run_explain(int argc, char** argv);
int run_report(int argc, char** argv);
int run_status(int argc, char** argv);
int run_topup(int argc, char** argv);
int run_validate(int argc, char** argv);
int run_check_history(int argc, char** argv);

} // namespace fennelladder::app

#endif
