// What became of one request, and why, by the log lines of many nodes.
//
//     request_timeline course("9c41d07be2a35f68");
//     for (const std::string& line : lines)
//         course.add(line);
//     std::cout << course.explain();
//
// Takes the lines of `fennelladder front` (docs/EVENTS.md) in any order, with
// whatever stands before their JSON, and orders them by the time that each
// node wrote; the clocks of hosts may differ, so neighbours of different hosts
// may be swapped. Of other requests nothing is kept, and of each kind of event
// that may have been the cause the latest few thousand.
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

/// One line of a log, decoded.
struct log_line
{
    std::string time; ///< As written; sorts as text.
    instant at;
    std::string host;
    int event = 0;
    std::string name;
    std::map<std::string, std::string> fields;

    /// Empty if there is no such field.
    std::string_view get(const std::string& field) const;
};

/// No value if there is no line of a log in it.
std::optional<log_line> parse_log_line(std::string_view text);

class request_timeline
{
public:
    explicit request_timeline(std::string id) : id_(std::move(id)) {}

    /// Takes a line in; false if it isn't one of a log.
    bool add(std::string_view text);

    /// Whether any line tells of the request.
    bool found() const { return !own_.empty(); }

    /// The request's lines in order, and the cause in a sentence or two.
    std::string explain() const;

private:
    std::vector<log_line> ordered() const;

    std::string id_;
    std::vector<log_line> own_;
    std::map<int, std::deque<log_line>> around_; ///< By event.
};

} // namespace fennelladder::report

#endif
