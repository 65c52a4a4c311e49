#include "fennelladder/telemetry/crash_line.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <cassert>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace fennelladder::telemetry;

namespace {

/// How a child process ended and what it wrote.
struct child_result
{
    int signal = 0; ///< 0 if it exited normally.
    std::string written;
};

void fill_pipe(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    const std::string bytes(4096, 'x');
    while (::write(descriptor, bytes.data(), bytes.size()) > 0) {
    }
    ::fcntl(descriptor, F_SETFL, 0);
}

/// Runs `action` in a forked child whose crash line goes to `descriptor`.
[[noreturn]] void run_child(int descriptor, const std::function<void()>& action)
{
    const rlimit no_core{0, 0};
    ::setrlimit(RLIMIT_CORE, &no_core);
    // Keeps the child's assertion message out of the test output.
    ::dup2(::open("/dev/null", O_WRONLY), STDERR_FILENO);
    install_crash_handler(descriptor, "n1");
    action();
    ::_exit(0);
}

child_result run_in_child(const std::function<void()>& action,
                          bool reader_stalled)
{
    std::array<int, 2> pipe_ends{};
    CHECK(::pipe(pipe_ends.data()) == 0);
    if (reader_stalled)
        fill_pipe(pipe_ends[1]);
    const pid_t child = ::fork();
    if (child == 0)
        run_child(pipe_ends[1], action);
    ::close(pipe_ends[1]);
    int status = 0;
    ::waitpid(child, &status, 0);
    child_result out;
    out.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    std::array<char, 4096> bytes{};
    for (ssize_t n = 0;
         (n = ::read(pipe_ends[0], bytes.data(), bytes.size())) > 0;)
        out.written.append(bytes.data(), static_cast<std::size_t>(n));
    ::close(pipe_ends[0]);
    return out;
}

std::string line_of(int number)
{
    return R"({"event":1007,"name":"node_failed","level":"error","host":"n1",)"
           R"("signal":")" +
           std::to_string(number) + "\"}\n";
}

} // namespace

TEST_GROUP(crash_line){};

// All connections of a node break at once, and its log ends without an error.
// Without a crash line, a failed assertion can't be distinguished from a
// power failure of the host.
TEST(crash_line, a_fatal_signal_is_logged)
{
    for (const int number : {SIGABRT, SIGSEGV, SIGBUS, SIGFPE}) {
        const child_result result =
            run_in_child([number] { ::raise(number); }, false);
        LONGS_EQUAL(number, result.signal);
        STRCMP_EQUAL(line_of(number).c_str(), result.written.c_str());
    }
}

TEST(crash_line, a_failed_assertion_is_logged)
{
    const child_result result =
        run_in_child([] { assert(::getpid() == 0); }, false);
    LONGS_EQUAL(SIGABRT, result.signal);
    STRCMP_EQUAL(line_of(SIGABRT).c_str(), result.written.c_str());
}

// The reader of the log has stalled when the process fails. The process must
// still terminate, so that it gets restarted.
TEST(crash_line, a_stalled_reader_does_not_delay_termination)
{
    const child_result result = run_in_child([] { std::abort(); }, true);
    LONGS_EQUAL(SIGABRT, result.signal);
}

TEST(crash_line, a_normal_exit_writes_nothing)
{
    const child_result result = run_in_child([] {}, false);
    LONGS_EQUAL(0, result.signal);
    STRCMP_EQUAL("", result.written.c_str());
}
