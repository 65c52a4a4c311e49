// Virtual time: what happens next, in order of time and then of posting.
//
//     queue.at(now + seconds(1), [&](instant at) { ... });
//     queue.run_until(end);

#ifndef FENNELLADDER_BUDGET_RIG_EVENT_QUEUE_HPP
#define FENNELLADDER_BUDGET_RIG_EVENT_QUEUE_HPP

#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace fennelladder::budget_rig {

/// Not thread safe.
class event_queue
{
public:
    using event = std::function<void()>;

    instant now() const { return now_; }

    /// Posts an event; one in the past happens next.
    void at(instant when, event what)
    {
        entries_.push({std::max(when, now_), ++posted_, std::move(what)});
    }

    void after(duration wait, event what) { at(now_ + wait, std::move(what)); }

    /// Runs all events up to `end`, and stops there.
    void run_until(instant end)
    {
        while (!entries_.empty() && entries_.top().when <= end) {
            // top() is const, but the entry is removed at once.
            auto next = std::move(const_cast<entry&>(entries_.top()));
            entries_.pop();
            now_ = next.when;
            next.what();
        }
        now_ = end;
    }

private:
    struct entry
    {
        instant when;
        std::uint64_t order;
        event what;

        bool operator<(const entry& other) const
        {
            return std::pair(other.when, other.order) < std::pair(when, order);
        }
    };

    std::priority_queue<entry> entries_;
    instant now_;
    std::uint64_t posted_ = 0;
};

} // namespace fennelladder::budget_rig

#endif
