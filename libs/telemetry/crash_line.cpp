// A signal may come in the middle of anything, an allocation included. So the
// lines are made beforehand, and the handler only makes system calls that
// POSIX allows there.

#include "fennelladder/telemetry/crash_line.hpp"

#include "fennelladder/telemetry/event_catalog.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <array>
#include <csignal>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace fennelladder::telemetry {

namespace {

constexpr std::array ending_signals = {SIGABRT, SIGSEGV, SIGBUS, SIGFPE};

/// Written before the handler is installed, read by it. Never freed: a signal
/// may come while the process exits.
struct prepared_lines
{
    int descriptor = STDOUT_FILENO;
    std::array<std::string, ending_signals.size()> lines;
};

const prepared_lines* prepared = nullptr;

/// The default action has been put back (SA_RESETHAND), so that the signal,
/// raised again, ends the process once this returns.
void write_and_end(int number)
{
    for (std::size_t i = 0; i < ending_signals.size(); ++i) {
        if (ending_signals[i] != number)
            continue;
        const std::string& line = prepared->lines[i];
        pollfd asked{prepared->descriptor, POLLOUT, 0};
        // A pipe whose reader stands still would hold up the end.
        if (::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0)
            (void)!::write(prepared->descriptor, line.data(), line.size());
    }
    ::raise(number);
}

} // namespace

void install_crash_handler(int descriptor, const std::string& host)
{
    auto* const made = new prepared_lines{.descriptor = descriptor};
    const event_description& what = *find_event(event::node_failed);
    for (std::size_t i = 0; i < ending_signals.size(); ++i) {
        const std::array<log_field, 2> fields = {
            {{"host", host}, {"signal", std::to_string(ending_signals[i])}}};
        made->lines[i] = format_event(what, fields, true) + "\n";
    }
    prepared = made;
    struct sigaction action = {};
    action.sa_handler = write_and_end;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    for (const int number : ending_signals)
        ::sigaction(number, &action, nullptr);
}

} // namespace fennelladder::telemetry
