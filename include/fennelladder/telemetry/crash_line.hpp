// The last line in the log of a process that a signal ends.
//
//     install_crash_handler(STDOUT_FILENO, host);   // at start
//
// An assertion, or memory that isn't there, ends the process at once, which
// cuts every request under way; without a line in the log that looks like a
// power cut.

#ifndef FENNELLADDER_TELEMETRY_CRASH_LINE_HPP
#define FENNELLADDER_TELEMETRY_CRASH_LINE_HPP

#include <string>

namespace fennelladder::telemetry {

/// From now on, when SIGABRT, SIGSEGV, SIGBUS or SIGFPE ends the
/// process, it writes one JSON line to `descriptor` first: event 1007
/// node_failed with `host` and the signal's number. The signal then ends the
/// process as it would have, with a core file where those are kept.
///
/// A stack that has overflowed leaves no room to write it. Lines that wait in
/// a line_writer are lost.
///
/// Precondition: `descriptor` stays open. A reader of it that stands still
/// loses the line and doesn't hold up the end. Not thread safe; call it at
/// start, once.
void install_crash_handler(int descriptor, const std::string& host);

} // namespace fennelladder::telemetry

#endif
