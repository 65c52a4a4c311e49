// Points in time and the clock interface.
//
// Functions that make decisions take the current time as an argument of type
// `instant`; only the code that drives them has a `clock`. An instant counts
// nanoseconds from an epoch that all clocks of one run share, so that it can
// hold virtual time in tests as well as wall time in a node.
//
//     instant now = clock.now();
//     bool late = now > deadline;

#ifndef FENNELLADDER_BASE_TIME_HPP
#define FENNELLADDER_BASE_TIME_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace fennelladder {

using duration = std::chrono::nanoseconds;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Clock type of `instant`, as std::chrono::time_point requires one. It has no
/// now(): the time comes from a `clock` object, which tests can set.
struct timeline
{
    using duration = std::chrono::nanoseconds;
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using time_point = std::chrono::time_point<timeline>;
    static constexpr bool is_steady = true;
};

using instant = timeline::time_point;

/// Nanoseconds since the epoch of the run's clock.
constexpr std::int64_t to_nanoseconds(instant at)
{
    return at.time_since_epoch().count();
}

/// The instant `count` nanoseconds after the epoch.
constexpr instant from_nanoseconds(std::int64_t count)
{
    return instant(duration(count));
}

/// A duration as a floating-point number of seconds.
constexpr double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// `count` seconds as a duration; rounds towards zero.
constexpr duration from_seconds(double count)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(count));
}

/// Whole milliseconds as decimal text, the format used in log lines.
std::string milliseconds_text(duration length);

/// Source of the current time. Implementations are thread safe.
class clock
{
public:
    virtual ~clock() = default;
    virtual instant now() const = 0;
};

/// Wall time at construction, advanced by the machine's time since boot. It
/// doesn't jump when the time of day is set. It includes the time that the
/// machine was suspended, so that data from before has its real age. Thread
/// safe.
class system_clock final : public clock
{
public:
    system_clock();
    instant now() const override;

private:
    duration boot_time_at_start_;
    duration wall_time_at_start_;
};

/// A clock that is set explicitly, for tests. Thread safe.
class manual_clock final : public clock
{
public:
    explicit manual_clock(instant start = instant()) : now_(start) {}

    instant now() const override { return now_.load(); }

    void advance(duration length) { now_ = now_.load() + length; }

    void set(instant at) { now_ = at; }

private:
    std::atomic<instant> now_;
};

} // namespace fennelladder

#endif
