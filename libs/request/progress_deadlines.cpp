// A deadline, and a short decision once it has passed. A probe that works
// proves the other end alive at a moment when the connection is overdue, so
// it's the connection that failed. That is believed a few times in a row
// only: an end that answers probes and never the connection is of no use.

#include "fennelladder/request/progress_deadlines.hpp"

#include <array>

namespace fennelladder::request {

namespace {

constexpr auto verdict_names =
    std::to_array<std::string_view>({"keep", "probe", "redial", "give_up"});

// In the order of connection_kind. The first token is due in 0.73 s at the
// 95th percentile, but a queued prompt may take longer; keep-alives of a
// target count, so its limits needn't cover the longest thought.
constexpr auto kind_limits = std::to_array<progress_limits>({
    {seconds(30), seconds(30), seconds(1), 0},
    {seconds(5), seconds(2), seconds(1), 2},
    {seconds(1), seconds(3), seconds(1), 2},
    {seconds(2), seconds(2), seconds(1), 1},
    {seconds(10), seconds(60), seconds(2), 5},
});

} // namespace

std::string_view to_string(silence_verdict value)
{
    return verdict_names.at(static_cast<std::size_t>(value));
}

progress_limits limits_of(connection_kind kind)
{
    return kind_limits.at(static_cast<std::size_t>(kind));
}

progress_deadlines::progress_deadlines(progress_limits limits, instant started)
    : limits_(limits), last_(started)
{}

void progress_deadlines::on_progress(instant now)
{
    last_ = now;
    any_progress_ = true;
    redials_ = 0;
    probing_since_.reset();
}

instant progress_deadlines::deadline() const
{
    return last_ + (any_progress_ ? limits_.next : limits_.first);
}

silence_verdict progress_deadlines::decide(instant now, probe_result probe)
{
    if (now < deadline())
        return silence_verdict::keep;
    if (probe == probe_result::refused)
        return silence_verdict::give_up;
    if (probe == probe_result::none) {
        // Counted from the first look after the deadline: a process that was
        // paused meanwhile must not give up what it never probed.
        if (!probing_since_)
            probing_since_ = now;
        return now - *probing_since_ < limits_.probe_wait
                   ? silence_verdict::probe
                   : silence_verdict::give_up;
    }
    probing_since_.reset();
    if (redials_ >= limits_.redials)
        return silence_verdict::give_up;
    ++redials_;
    last_ = now;
    any_progress_ = false;
    return silence_verdict::redial;
}

} // namespace fennelladder::request
