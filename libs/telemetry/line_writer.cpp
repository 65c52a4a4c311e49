#include "fennelladder/telemetry/line_writer.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace fennelladder::telemetry {

namespace {

constexpr duration report_period = seconds(1);

bool takes_a_piece(int descriptor)
{
    pollfd asked{descriptor, POLLOUT, 0};
    return ::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

} // namespace

line_writer::line_writer(int descriptor, line_writer_options options)
    : descriptor_(descriptor), options_(options)
{}

bool line_writer::take_budget(const event_description& what, instant now)
{
    budget& it = budgets_[what.number];
    if (now - it.second >= seconds(1)) {
        it.second = now;
        it.used = 0;
    }
    const int most = what.level >= severity::warning
                         ? options_.lines_of_failure
                         : options_.lines_of_success;
    if (it.used >= most)
        return false;
    ++it.used;
    return true;
}

void line_writer::add(const event_description& what, const std::string& line,
                      instant now)
{
    const bool fits =
        waiting_.size() + line.size() + 1 <= options_.buffer_bytes;
    if (!fits || !take_budget(what, now)) {
        ++left_out_[what.number];
        ++dropped_;
        return;
    }
    waiting_ += line;
    waiting_ += '\n';
}

void line_writer::report_dropped(instant now)
{
    if (left_out_.empty() || now - reported_ < report_period)
        return;
    const event_description& what = *find_event(event::log_lines_dropped);
    std::string line = R"({"event":)" + std::to_string(what.number) +
                       R"(,"name":")" + std::string(what.name) + '"';
    for (const auto& [number, count] : left_out_)
        line += ",\"" + std::to_string(number) + "\":" + std::to_string(count);
    line += "}";
    if (waiting_.size() + line.size() + 1 > options_.buffer_bytes)
        return;
    waiting_ += line + '\n';
    left_out_.clear();
    reported_ = now;
}

void line_writer::flush(instant now)
{
    report_dropped(now);
    std::size_t done = 0;
    while (done < waiting_.size() && takes_a_piece(descriptor_)) {
        const std::size_t piece =
            std::min<std::size_t>(waiting_.size() - done, PIPE_BUF);
        const ssize_t n = ::write(descriptor_, waiting_.data() + done, piece);
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    waiting_.erase(0, done);
}

} // namespace fennelladder::telemetry
