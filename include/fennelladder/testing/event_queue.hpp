// Virtual time for tests and benches: things happen in order of their time,
// and time stands still in between.
//
//     event_queue queue;
//     queue.after(seconds(1), [&] { done = true; });
//     queue.run_until(queue.now() + seconds(2));
//
// Not thread safe. Events at the same instant run in the order in which they
// were added, so a run depends on its seeds alone.

#ifndef FENNELLADDER_TESTING_EVENT_QUEUE_HPP
#define FENNELLADDER_TESTING_EVENT_QUEUE_HPP

#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace fennelladder::testing {

class event_queue
{
public:
    explicit event_queue(instant start = instant(hours(1))) : now_(start) {}

    instant now() const { return now_; }

    void at(instant when, std::function<void()> what)
    {
        events_.emplace(std::pair(std::max(when, now_), ++added_),
                        std::move(what));
    }

    void after(duration wait, std::function<void()> what)
    {
        at(now_ + wait, std::move(what));
    }

    /// Runs what is due up to `end`, which becomes the present time.
    void run_until(instant end)
    {
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto node = events_.extract(events_.begin());
            now_ = node.key().first;
            node.mapped()();
        }
        now_ = end;
    }

private:
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t added_ = 0;
    instant now_;
};

} // namespace fennelladder::testing

#endif
