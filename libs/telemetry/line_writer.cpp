#include "fennelladder/telemetry/line_writer.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace fennelladder::telemetry {

namespace {

constexpr duration report_period = seconds(1);

bool is_writable(int descriptor)
{
    pollfd request{descriptor, POLLOUT, 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

line_writer::line_writer(int descriptor, line_writer_options options)
    : descriptor_(descriptor), options_(options)
{}

bool line_writer::consume_budget(const event_description& what, instant now)
{
    rate_budget& it = budgets_[what.number];
    if (now - it.period_start >= seconds(1)) {
        it.period_start = now;
        it.used = 0;
    }
    const int limit = what.level >= severity::warning
                          ? options_.warning_lines_per_second
                          : options_.info_lines_per_second;
    if (it.used >= limit)
        return false;
    ++it.used;
    return true;
}

void line_writer::add(const event_description& what, const std::string& line,
                      instant now)
{
    const bool fits = buffer_.size() + line.size() + 1 <= options_.buffer_bytes;
    if (!fits || !consume_budget(what, now)) {
        ++dropped_by_event_[what.number];
        ++dropped_;
        return;
    }
    buffer_ += line;
    buffer_ += '\n';
}

void line_writer::report_dropped(instant now)
{
    if (dropped_by_event_.empty() || now - last_report_ < report_period)
        return;
    const event_description& what = *find_event(event::log_lines_dropped);
    std::string line = R"({"event":)" + std::to_string(what.number) +
                       R"(,"name":")" + std::string(what.name) + '"';
    for (const auto& [number, count] : dropped_by_event_)
        line += ",\"" + std::to_string(number) + "\":" + std::to_string(count);
    line += "}";
    if (buffer_.size() + line.size() + 1 > options_.buffer_bytes)
        return;
    buffer_ += line + '\n';
    dropped_by_event_.clear();
    last_report_ = now;
}

void line_writer::flush(instant now)
{
    report_dropped(now);
    std::size_t done = 0;
    while (done < buffer_.size() && is_writable(descriptor_)) {
        const std::size_t chunk =
            std::min<std::size_t>(buffer_.size() - done, PIPE_BUF);
        const ssize_t n = ::write(descriptor_, buffer_.data() + done, chunk);
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, done);
}

} // namespace fennelladder::telemetry
