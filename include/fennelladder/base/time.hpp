// Points in time and the clock interface.
//
// Deciding functions take the present time as an argument of type `instant`;
// only the shells around them own a `clock`. An instant counts nanoseconds
// from an epoch that all clocks of one run share, so that it serves virtual
// time in tests and wall time in a node alike.
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

/// The time line of a run; not tied to any clock of the machine.
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

/// Whole milliseconds, as log lines carry them.
std::string milliseconds_text(duration length);

/// Source of the present time. Implementations are thread safe.
class clock
{
public:
    virtual ~clock() = default;
    virtual instant now() const = 0;
};

/// Wall time at start, advanced by the machine's time since boot: it never
/// jumps with the time of day, and counts the time that the machine was
/// suspended, so that what was known before is as old as it is. Thread safe.
class system_clock final : public clock
{
public:
    system_clock();
    instant now() const override;

private:
    duration started_;
    duration offset_;
};

/// A clock that tests set. Thread safe.
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
