// An object store whose calls stay within a node's share of the rates.
//
// One gate per node, one view per class of call:
//
//     call_gate gate(clock, {.reads = {...}, .writes = {...}});
//     budgeted_object_store commits(platform, gate, call_class::safety);
//     budgeted_object_store reports(platform, gate, call_class::telemetry);
//
// A call that is over the rate waits, for at most the gate's longest wait, and
// then fails with `unavailable`: nothing was asked of the platform.
//
// The gate also sees how calls end, and so how the platform is doing; it logs
// when that changes.

#ifndef FENNELLADDER_PLATFORM_BUDGETED_OBJECT_STORE_HPP
#define FENNELLADDER_PLATFORM_BUDGETED_OBJECT_STORE_HPP

#include "fennelladder/platform/call_budget.hpp"
#include "fennelladder/platform/object_store.hpp"
#include "fennelladder/platform/platform_health.hpp"

#include <functional>
#include <mutex>

namespace fennelladder::platform {

/// Which of the platform's two rates a call counts against.
enum class call_kind : std::uint8_t
{
    read, ///< get, list, watch, host list.
    write ///< put, erase.
};

struct call_gate_options
{
    call_budget_options reads{.rate = 200, .burst = 200};
    call_budget_options writes{.rate = 50, .burst = 50};
    duration longest_wait = seconds(2);
    platform_health_options health;
};

/// Calls since the start.
struct call_gate_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t waited = 0;      ///< Of these, let through after a wait.
    std::uint64_t turned_away = 0; ///< Waited in vain; not among the above.
    std::uint64_t refused = 0;     ///< By the platform itself.
};

/// Thread safe. Threads that wait hold no lock.
class call_gate
{
public:
    /// How waits are waited out; a test with virtual time passes its own.
    using sleeper = std::function<void(duration)>;

    /// Precondition: `time` outlives this.
    call_gate(const clock& time, call_gate_options options, sleeper sleep = {});

    /// Waits for a call. Fails with `unavailable` after the longest wait.
    status enter(call_kind kind, call_class which);

    /// Tells what came of a call that began at `started`; nullptr: it was
    /// answered. One that the platform turned away slows the node down.
    /// The time of a watch says nothing of the platform's speed: give its
    /// end as its start.
    void leave(call_kind kind, const error* failure, instant started);

    platform_state health() const;
    duration latency() const; ///< Smoothed.

    call_gate_counts counts() const;

    /// The present time, by the gate's clock.
    instant now() const { return time_.now(); }

private:
    call_budget& budget(call_kind kind);
    status turn_away(call_kind kind, call_class which);
    bool try_enter(call_kind kind, call_class which, bool waited,
                   instant& ready_at);

    const clock& time_;
    const duration longest_wait_;
    const sleeper sleep_;
    mutable std::mutex mutex_; // Guards the fields below.
    call_budget reads_;
    call_budget writes_;
    call_gate_counts counts_;
    platform_health health_;
    instant told_over_rate_;
};

/// Thread safe.
class budgeted_object_store final : public object_store
{
public:
    /// Precondition: `inner` and `gate` outlive this.
    budgeted_object_store(object_store& inner, call_gate& gate,
                          call_class which)
        : inner_(inner), gate_(gate), class_(which)
    {}

    result<stored_object> get(const object_key& key) override;
    result<object_version> put(const object_key& key, std::string_view value,
                               write_condition condition) override;
    status erase(const object_key& key, write_condition condition) override;
    result<object_page> list(std::string_view prefix, const object_key& after,
                             std::size_t limit) override;
    result<change_page> watch(std::string_view prefix, std::uint64_t revision,
                              duration wait) override;

private:
    template <class T, class F>
    T pass(call_kind kind, F call, bool timed = true);

    object_store& inner_;
    call_gate& gate_;
    const call_class class_;
};

} // namespace fennelladder::platform

#endif
