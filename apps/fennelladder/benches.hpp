// Entry points of all benchmarks. Each is defined in bench_NAME.cpp and returns
// an exit code (see command.hpp). argv[0] is the benchmark's name.

#ifndef FENNELLADDER_APPS_BENCHES_HPP
#define FENNELLADDER_APPS_BENCHES_HPP

namespace fennelladder::app {

int run_bench_config(int argc, char** argv);
int run_bench_control(int argc, char** argv);
int run_bench_choose(int argc, char** argv);
int run_bench_routing(int argc, char** argv);
int run_bench_history(int argc, char** argv);
int run_bench_journal(int argc, char** argv);
int run_bench_budgets(int argc, char** argv);
int run_bench_path(int argc, char** argv);
int run_bench_requests(int argc, char** argv);
int run_bench_reserve(int argc, char** argv);

} // namespace fennelladder::app

#endif
