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

/// How a process ended that did something, and what it wrote.
struct ending
{
    int signal = 0; ///< 0: it ended by itself.
    std::string written;
};

void fill(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    const std::string some(4096, 'x');
    while (::write(descriptor, some.data(), some.size()) > 0) {
    }
    ::fcntl(descriptor, F_SETFL, 0);
}

/// The child of a fork: writes its crash line into `descriptor`.
[[noreturn]] void do_and_exit(int descriptor, const std::function<void()>& what)
{
    const rlimit no_core{0, 0};
    ::setrlimit(RLIMIT_CORE, &no_core);
    // What a failed assertion says belongs to the child.
    ::dup2(::open("/dev/null", O_WRONLY), STDERR_FILENO);
    install_crash_handler(descriptor, "n1");
    what();
    ::_exit(0);
}

ending end_of(const std::function<void()>& what, bool reader_stands_still)
{
    std::array<int, 2> ends{};
    CHECK(::pipe(ends.data()) == 0);
    if (reader_stands_still)
        fill(ends[1]);
    const pid_t child = ::fork();
    if (child == 0)
        do_and_exit(ends[1], what);
    ::close(ends[1]);
    int how = 0;
    ::waitpid(child, &how, 0);
    ending out;
    out.signal = WIFSIGNALED(how) ? WTERMSIG(how) : 0;
    std::array<char, 4096> some{};
    for (ssize_t n = 0; (n = ::read(ends[0], some.data(), some.size())) > 0;)
        out.written.append(some.data(), static_cast<std::size_t>(n));
    ::close(ends[0]);
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

// Story: all volunteers at a node lose their connections at one moment. Its
// log ends in the middle of what went well, so that nobody can tell whether an
// assertion ended the process or the host lost its power.
TEST(crash_line, a_process_that_a_signal_ends_says_so)
{
    for (const int number : {SIGABRT, SIGSEGV, SIGBUS, SIGFPE}) {
        const ending got = end_of([number] { ::raise(number); }, false);
        LONGS_EQUAL(number, got.signal);
        STRCMP_EQUAL(line_of(number).c_str(), got.written.c_str());
    }
}

TEST(crash_line, a_failed_assertion_says_so)
{
    const ending got = end_of([] { assert(::getpid() == 0); }, false);
    LONGS_EQUAL(SIGABRT, got.signal);
    STRCMP_EQUAL(line_of(SIGABRT).c_str(), got.written.c_str());
}

// Story: whoever reads the log stands still as the process fails. It must end
// all the same, so that it is started anew.
TEST(crash_line, a_reader_that_stands_still_does_not_hold_up_the_end)
{
    const ending got = end_of([] { std::abort(); }, true);
    LONGS_EQUAL(SIGABRT, got.signal);
}

TEST(crash_line, nothing_is_written_by_a_process_that_ends_by_itself)
{
    const ending got = end_of([] {}, false);
    LONGS_EQUAL(0, got.signal);
    STRCMP_EQUAL("", got.written.c_str());
}
