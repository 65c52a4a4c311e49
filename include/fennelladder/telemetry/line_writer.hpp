// Writes log lines to a descriptor without ever blocking, within a volume.
//
//     line_writer out(STDOUT_FILENO, options);
//     out.add(what, std::move(line), now);     // from the event's place
//     out.flush(now);                          // from a timer
//
// Each event has a budget of lines a second, larger for warnings and errors
// than for what goes well, so that a flood of one event can't push out the
// others, nor successes the failures. What exceeds it is counted, and one
// line a second says how many lines of which events were left out.
//
// The descriptor is asked before each write whether it takes one; a reader
// that stands still costs lines, which are counted too, and nothing else. A
// piece of PIPE_BUF bytes at most is written at once: a pipe that has room
// takes that much without blocking.
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
    /// Lines a second of one event. A node of today's fleets carries some
    /// ten requests a second, one of the planned ones a dozen.
    int info_lines_per_second = 60;
    int warning_lines_per_second = 120;
    std::size_t buffer_bytes = 262'144; ///< Waiting to be written.
};

class line_writer
{
public:
    line_writer(int descriptor, line_writer_options options);

    /// Takes a line without its end. Drops and counts it when its event's
    /// budget or the buffer is used up.
    void add(const event_description& what, const std::string& line,
             instant now);

    /// Writes what the descriptor takes now.
    void flush(instant now);

    /// Lines left out since the start.
    std::uint64_t dropped() const { return dropped_; }

private:
    struct budget
    {
        instant second;
        int used = 0;
    };

    bool consume_budget(const event_description& what, instant now);
    void report_dropped(instant now);

    const int descriptor_;
    const line_writer_options options_;
    std::string buffer_;
    std::map<int, budget> budgets_;
    std::map<int, std::uint64_t> dropped_by_event_; ///< Not yet reported.
    std::uint64_t dropped_ = 0;
    instant last_report_;
};

} // namespace fennelladder::telemetry

#endif
