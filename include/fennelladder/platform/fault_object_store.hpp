// An object store that fails on purpose, around any other.
//
//     memory_object_store inner;
//     fault_object_store store(inner, seed);
//     store.set({.lost_reply = 0.1});     // one write in ten, in effect
//     store.set({.outage = true});        // everything is unavailable
//     store.set({});                      // well again
//
// Draws depend on the seed and on the order of calls alone.

#ifndef FENNELLADDER_PLATFORM_FAULT_OBJECT_STORE_HPP
#define FENNELLADDER_PLATFORM_FAULT_OBJECT_STORE_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <atomic>
#include <functional>
#include <mutex>

namespace fennelladder::platform {

/// What goes wrong; the default is nothing. Shares are of 1.
struct store_faults
{
    /// Every call fails with `unavailable`, nothing happens.
    bool outage = false;
    /// Share of calls that fail with `unavailable`, nothing happens.
    double refused = 0;
    /// Share of writes that take effect and fail with `ambiguous`.
    double lost_reply = 0;
    /// Share of writes that fail with `ambiguous` without any effect.
    double lost_request = 0;
    /// Every call first waits this long.
    duration delay = duration(0);
    /// Watches wait out their time and tell of no change.
    bool silent_watches = false;
};

/// How many calls met a fault, and how many there were.
struct store_fault_counts
{
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost_replies = 0;
    std::uint64_t lost_requests = 0;
    std::uint64_t silent_watches = 0;
};

/// Thread safe.
class fault_object_store final : public object_store
{
public:
    /// How delays are waited out; a test with virtual time passes its own.
    using sleeper = std::function<void(duration)>;

    /// Precondition: `inner` outlives this.
    fault_object_store(object_store& inner, std::uint64_t seed,
                       sleeper sleep = {});

    /// Takes effect with the next call.
    void set(store_faults faults);
    store_faults faults() const;
    store_fault_counts counts() const;

    result<stored_object> get(const object_key& key) override;
    result<object_version> put(const object_key& key, std::string_view value,
                               write_condition condition) override;
    status erase(const object_key& key, write_condition condition) override;
    result<object_page> list(std::string_view prefix, const object_key& after,
                             std::size_t limit) override;
    result<change_page> watch(std::string_view prefix, std::uint64_t revision,
                              duration wait) override;

private:
    enum class fate : std::uint8_t
    {
        well,
        refused,
        reply_lost,
        request_lost
    };

    fate begin(bool writes);
    fate draw(bool writes);

    template <class T, class F>
    T write(F call);

    object_store& inner_;
    sleeper sleep_;

    // The fields below are guarded by mutex_, which is never held during a
    // call of inner_.
    mutable std::mutex mutex_;
    random_source random_;
    store_faults faults_;
    store_fault_counts counts_;
};

} // namespace fennelladder::platform

#endif
