// Writes log lines to a descriptor without blocking and at a limited rate.
//
//     line_writer out(STDOUT_FILENO, options);
//     out.add(what, std::move(line), now);     // where the event occurs
//     out.flush(now);                          // from a timer
//
// Each event has its own limit of lines per second, higher for warnings and
// errors than for other events, so that a flood of one event can't displace
// other events, nor successes the failures. Lines over the limit are dropped
// and counted; at most once a second, a log_lines_dropped line says how many
// lines of which events were dropped.
//
// The descriptor is polled before each write. If its reader stalls, lines are
// dropped and counted, but the caller isn't blocked. Each write is at most
// PIPE_BUF bytes, which a pipe that polls as writable takes without blocking.
//
// Not thread safe.

#ifndef FENNELLADDER_TELEMETRY_LINE_WRITER_HPP
#define FENNELLADDER_TELEMETRY_LINE_WRITER_HPP

#include "fennelladder/base/time.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fennelladder::telemetry {

struct line_writer_options
{
    /// Limits for each event. A node of present fleets handles about ten
    /// requests a second, a node of planned fleets about a dozen.
    int info_lines_per_second = 60;     ///< Also for debug events.
    int warning_lines_per_second = 120; ///< Also for errors.
    std::size_t buffer_bytes = 262'144; ///< Limit of unwritten lines.
};

class line_writer
{
public:
    line_writer(int descriptor, line_writer_options options);

    /// Queues `line`, which has no newline at its end. Drops and counts it if
    /// its event has reached its limit or the buffer is full.
    void add(const event_description& what, const std::string& line,
             instant now);

    /// Writes as many queued bytes as the descriptor takes without blocking.
    void flush(instant now);

    /// Number of lines dropped since construction.
    std::uint64_t dropped() const { return dropped_; }

private:
    struct rate_budget
    {
        instant period_start; ///< Start of the second that `used` counts.
        int used = 0;
    };

    bool consume_budget(const event_description& what, instant now);
    void report_dropped(instant now);

    const int descriptor_;
    const line_writer_options options_;
    std::string buffer_;
    std::map<int, rate_budget> budgets_;
    std::map<int, std::uint64_t> dropped_by_event_; ///< Not yet reported.
    std::uint64_t dropped_ = 0;
    instant last_report_;
};

} // namespace fennelladder::telemetry

#endif
