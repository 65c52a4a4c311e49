// A signal may arrive at any point, also inside an allocation. The lines are
// therefore formatted in advance, and the handler only makes system calls that
// POSIX lists as async-signal-safe.

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

constexpr std::array fatal_signals = {SIGABRT, SIGSEGV, SIGBUS, SIGFPE};

/// Filled in before the handler is installed. Never freed, since a signal may
/// arrive while the process exits.
struct prepared_lines
{
    int descriptor = STDOUT_FILENO;
    std::array<std::string, fatal_signals.size()> lines;
};

const prepared_lines* prepared = nullptr;

/// Signal handler. SA_RESETHAND has restored the default action, so the signal
/// raised here terminates the process once the handler returns.
void handle_fatal_signal(int number)
{
    for (std::size_t i = 0; i < fatal_signals.size(); ++i) {
        if (fatal_signals[i] != number)
            continue;
        const std::string& line = prepared->lines[i];
        pollfd request{prepared->descriptor, POLLOUT, 0};
        // A write to a pipe whose reader has stalled would block termination.
        if (::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0)
            (void)!::write(prepared->descriptor, line.data(), line.size());
    }
    ::raise(number);
}

} // namespace

void install_crash_handler(int descriptor, const std::string& host)
{
    auto* const new_lines = new prepared_lines{.descriptor = descriptor};
    const event_description& what = *find_event(event::node_failed);
    for (std::size_t i = 0; i < fatal_signals.size(); ++i) {
        const std::array<log_field, 2> fields = {
            {{"host", host}, {"signal", std::to_string(fatal_signals[i])}}};
        new_lines->lines[i] = format_event(what, fields, true) + "\n";
    }
    prepared = new_lines;
    struct sigaction action = {};
    action.sa_handler = handle_fatal_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    for (const int number : fatal_signals)
        ::sigaction(number, &action, nullptr);
}

} // namespace fennelladder::telemetry
