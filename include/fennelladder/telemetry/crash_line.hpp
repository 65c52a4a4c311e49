// Writes a final log line when a signal terminates the process.
//
//     install_crash_handler(STDOUT_FILENO, host);   // at start
//
// A failed assertion or an invalid memory access terminates the process at once
// and cuts every request in flight. Without a line in the log this can't be
// distinguished from a power failure of the host.

#ifndef FENNELLADDER_TELEMETRY_CRASH_LINE_HPP
#define FENNELLADDER_TELEMETRY_CRASH_LINE_HPP

#include <string>

namespace fennelladder::telemetry {

/// Installs a handler for SIGABRT, SIGSEGV, SIGBUS and SIGFPE that writes one
/// JSON line to `descriptor`: event 1007 node_failed with `host` and the signal
/// number. The signal then terminates the process by its default action, with a
/// core file where core files are enabled.
///
/// Nothing is written after a stack overflow, since the handler has no stack to
/// run on. Lines buffered in a line_writer are lost.
///
/// Precondition: `descriptor` stays open. If its reader has stalled, the line
/// is lost, but termination isn't delayed. Not thread safe; call it once, at
/// start.
void install_crash_handler(int descriptor, const std::string& host);

} // namespace fennelladder::telemetry

#endif
