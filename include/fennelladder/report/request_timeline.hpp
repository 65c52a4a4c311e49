// Explains the outcome of one request from the log lines of many nodes.
//
//     request_timeline timeline("9c41d07be2a35f68");
//     for (const std::string& line : lines)
//         timeline.add(line);
//     std::cout << timeline.explain();
//
// Accepts the log lines of `fennelladder front` (docs/EVENTS.md) in any order,
// with any prefix before their JSON, and sorts them by the timestamps that the
// nodes wrote. The clocks of hosts may differ, so adjacent lines of different
// hosts may be out of order. Lines of other requests are discarded; of each
// kind of event that may be the cause, the last few thousand lines are kept.
//
// Not thread safe.

#ifndef FENNELLADDER_REPORT_REQUEST_TIMELINE_HPP
#define FENNELLADDER_REPORT_REQUEST_TIMELINE_HPP

#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::report {

/// One decoded log line.
struct log_line
{
    std::string time; ///< As written; its text sorts by time.
    instant at;
    std::string host;
    int event = 0;
    std::string name;
    std::map<std::string, std::string> fields;

    /// The value of `field`, or empty if there is no such field.
    std::string_view get(const std::string& field) const;
};

/// Decodes a log line, with any prefix before its JSON; no value if `text`
/// contains none.
std::optional<log_line> parse_log_line(std::string_view text);

/// The log lines of one request, and those that may explain its outcome.
class request_timeline
{
public:
    explicit request_timeline(std::string id) : id_(std::move(id)) {}

    /// Adds a line; false if it isn't a log line.
    bool add(std::string_view text);

    /// Whether any line belongs to the request.
    bool found() const { return !request_lines_.empty(); }

    /// The request's lines in order of time, and the cause of its outcome in a
    /// few sentences; says so if no line belongs to the request.
    std::string explain() const;

private:
    std::vector<log_line> sorted_lines() const;

    std::string id_;
    std::vector<log_line> request_lines_;
    std::map<int, std::deque<log_line>> context_; ///< By event number.
};

} // namespace fennelladder::report

#endif
