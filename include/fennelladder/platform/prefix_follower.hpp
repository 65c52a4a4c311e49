// A thread that follows the objects under a prefix; see watch_plan.hpp for
// why it doesn't trust its watch.
//
//     prefix_follower follower(store, clock, {.prefix = "config/"},
//                              [&](const object_change& it) { take(it); });
//
// Caveats. Each object is told of at least once per version that was seen;
// versions in between may be skipped. After the store was unreachable, the
// follower catches up by listing.

#ifndef FENNELLADDER_PLATFORM_PREFIX_FOLLOWER_HPP
#define FENNELLADDER_PLATFORM_PREFIX_FOLLOWER_HPP

#include "fennelladder/platform/watch_plan.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace fennelladder::platform {

struct prefix_follower_options
{
    std::string prefix;
    watch_plan_options plan;
    std::uint64_t seed = 1;        ///< Of the jitter; differ between nodes.
    std::size_t page_size = 1'000; ///< Objects per call of list.
};

/// Thread safe.
class prefix_follower
{
public:
    /// Called on the follower's thread, one change at a time.
    using receiver = std::function<void(const object_change&)>;

    /// Starts at once. Precondition: `store` and `time` outlive this.
    prefix_follower(object_store& store, const clock& time,
                    prefix_follower_options options, receiver on_change);

    /// Waits for the call under way, which may be a watch.
    ~prefix_follower();
    prefix_follower(const prefix_follower&) = delete;
    prefix_follower& operator=(const prefix_follower&) = delete;

    /// Lists anew soon, instead of at its time; for one who has reason to
    /// think that something changed.
    void wake();

    /// Age of the last listing or watch that succeeded.
    duration staleness() const;

private:
    void run();
    void list();
    void watch(const watch_step& step);
    void pause(duration length);
    void tell(const std::vector<object_change>& changes);
    void on_success();

    object_store& store_;
    const clock& time_;
    const prefix_follower_options options_;
    const receiver on_change_;
    watch_plan plan_;      // Of the thread.
    object_mirror mirror_; // Of the thread.
    std::atomic<instant> last_success_;
    std::mutex mutex_; // Guards the flags below.
    std::condition_variable changed_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace fennelladder::platform

#endif
