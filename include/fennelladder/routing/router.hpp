// The scheduler for a node's threads.
//
//     router routes(options, clock, seed, [&](ticket_id it) { stop(it); });
//     admission got = routes.admit(request);       // blocks while it waits
//     if (got.state == admission_state::granted) {
//         ... send to got.target, relay the answer ...
//         routes.finished(got.ticket, result);
//     }
//
// A worker thread that carries a request calls admit() and is blocked until
// the request is granted a target, shed or canceled. No housekeeping thread is
// needed: whoever waits wakes up in time to have overdue requests shed.
//
// Preemption. When the request of `ticket` has to make way, on_preempt(ticket)
// is called, from any thread that called into the router and without a lock
// held: it has to make the worker that relays this stream stop, and must not
// block; it may come even before that worker's admit() has returned. The
// worker then calls preempted() instead of finished(), and is
// blocked again until its stream may be resumed. A worker may also ask
// preempt_requested() between two chunks.
//
// Thread safe. Lock order: the router's mutex is a leaf: nothing else is
// locked and no callback is called while it is held, so a router may be used
// under any other lock; but admit() and preempted() block, and are to be
// called with no lock held.

#ifndef FENNELLADDER_ROUTING_ROUTER_HPP
#define FENNELLADDER_ROUTING_ROUTER_HPP

#include "fennelladder/routing/scheduler.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace fennelladder::routing {

enum class admission_state : std::uint8_t
{
    granted,
    shed,
    canceled
};

/// How a request's wait for a target ended.
struct admission
{
    admission_state state = admission_state::shed;
    ticket_id ticket;
    target_id target;       ///< When granted.
    prediction expected;    ///< When granted.
    shed_reason reason{};   ///< When shed: it never ran.
    duration retry_after{}; ///< When shed.
};

class router
{
public:
    using preempt_callback = std::function<void(ticket_id)>;

    /// Precondition: `time` outlives the router.
    router(const scheduler_options& options, const clock& time,
           std::uint64_t seed, preempt_callback on_preempt = {});
    ~router();

    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Waits for a target. `known`, if given, is told the ticket before the
    /// wait begins, so that another thread can cancel it; it is called
    /// without a lock held.
    admission admit(route_request request,
                    const std::function<void(ticket_id)>& known = {});

    /// The granted request is over on its target; see scheduler::finished.
    void finished(ticket_id ticket, const attempt_result& result);

    /// The granted request was stopped for a more urgent one; waits until it
    /// may be resumed or is shed. The ticket stays the same.
    admission preempted(ticket_id ticket, std::uint32_t produced);

    /// True if the request of the ticket is to make way.
    bool preempt_requested(ticket_id ticket) const;

    /// The caller of a waiting request left: its admit() returns `canceled`.
    void cancel(ticket_id ticket);

    /// Cancels all that waits, now and from now on, for a stopping node.
    void close();

    // What is known of targets; see scheduler.

    void upsert_target(const target_info& info);
    void remove_target(const target_id& id);
    void target_leaving(const target_id& id);
    void target_staying(const target_id& id);
    void load_reported(const target_id& id, const load_report& load);
    void cache_changed(const target_id& id, const cache_event& event);

    std::optional<target_view> target(const target_id& id) const;
    scheduler_counts counts() const;

private:
    struct waiter
    {
        std::condition_variable wake;
        std::optional<admission> decided;
    };

    admission wait(std::unique_lock<std::mutex>& lock, ticket_id ticket,
                   waiter& self);
    void pause(std::unique_lock<std::mutex>& lock, waiter& self);
    void tell_waiters(const scheduler_actions& todo);
    void settle(std::unique_lock<std::mutex>& lock,
                const scheduler_actions& todo);
    void decide(const admission& decided);

    const clock& clock_;
    preempt_callback on_preempt_;

    // All below is guarded by mutex_. Invariant: waiters_ holds exactly the
    // tickets whose thread is inside wait() or about to enter it.
    mutable std::mutex mutex_;
    scheduler scheduler_;
    random_source random_;
    std::unordered_map<ticket_id, waiter*> waiters_;
    std::unordered_set<ticket_id> preempting_;
    waiter* ticking_ = nullptr; ///< The one that wakes up by time.
    bool closed_ = false;
};

} // namespace fennelladder::routing

#endif
