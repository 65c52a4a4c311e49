// How to follow the objects under a prefix without trusting a watch.
//
// A watch can go silent for good: it then tells of no change, and nothing
// shows that it is broken. So a follower also lists anew from time to time,
// which bounds how long a change can stay unseen. This file decides; who
// follows makes the calls (prefix_follower.hpp has a thread that does).
//
//     watch_plan plan({}, random);
//     while (running) {
//         watch_step step = plan.next(now);
//         if (step.what == watch_step::kind::list)
//             auto page = store.list(...);   // plan.on_listed(revision, now)
//         ...
//     }
//
//     object_mirror mirror;
//     for (const object_change& it : mirror.replace(listed))
//         apply(it);
//
// Bound: while the store answers, a change is seen at the latest
// relist_interval * 3/2 + watch_wait after it was made, however silent the
// watches are.

#ifndef FENNELLADDER_PLATFORM_WATCH_PLAN_HPP
#define FENNELLADDER_PLATFORM_WATCH_PLAN_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace fennelladder::platform {

struct watch_plan_options
{
    /// Mean time between two listings; jittered by half of it.
    duration relist_interval = seconds(6);
    /// Longest wait of one watch.
    duration watch_wait = seconds(3);
    /// Waits after failures: doubled from the first to the last, jittered.
    duration first_backoff = milliseconds(50);
    duration last_backoff = seconds(5);
};

/// What to do next.
struct watch_step
{
    enum class kind : std::uint8_t
    {
        list,  ///< List the whole prefix.
        watch, ///< Watch from `revision`, for `wait`.
        pause  ///< Do nothing for `wait`.
    };

    kind what = kind::list;
    std::uint64_t revision = 0;
    duration wait = duration(0);
};

/// Not thread safe.
class watch_plan
{
public:
    watch_plan(watch_plan_options options, random_source random)
        : options_(options), random_(random)
    {}

    watch_step next(instant now);

    /// A listing was taken in whole; `revision` is that of its first page.
    void on_listed(std::uint64_t revision, instant now);

    /// A watch ended with this page; the caller applies it unless `reset`.
    void on_watched(const change_page& page);

    /// A call failed.
    void on_failed(instant now);

private:
    watch_plan_options options_;
    random_source random_;
    bool listed_ = false; // revision_ may be watched from.
    std::uint64_t revision_ = 0;
    instant relist_at_;
    instant pause_until_;
    int failures_ = 0; // In a row.
};

/// The objects under a prefix as last seen. Versions never go back: a change
/// that was overtaken is dropped. Not thread safe.
class object_mirror
{
public:
    /// Takes in a whole listing. Returns what changed against before, as a
    /// watch would have told.
    std::vector<object_change> replace(std::vector<stored_object> listed);

    /// Takes in what a watch told. Returns those of its changes that are new.
    std::vector<object_change> apply(const std::vector<object_change>& changes);

    const std::map<object_key, object_version>& versions() const
    {
        return versions_;
    }

private:
    bool take(const object_change& change);

    std::map<object_key, object_version> versions_;
};

} // namespace fennelladder::platform

#endif
