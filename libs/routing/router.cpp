// One mutex guards the scheduler: a decision takes microseconds, a request
// lives for milliseconds at least. Each waiting thread has a condition
// variable of its own, so that a grant wakes the one it is for.
//
// Of all waiting threads one is "ticking": it wakes up by time and polls, the
// others sleep until they are told. When it leaves, it passes the duty on. If
// all woke up by time, hundreds of threads would each poll twenty times a
// second.

#include "fennelladder/routing/router.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::routing {

router::router(const scheduler_options& options, const clock& time,
               std::uint64_t seed, preempt_callback on_preempt)
    : clock_(time), on_preempt_(std::move(on_preempt)), scheduler_(options),
      random_(seed)
{}

router::~router()
{
    assert(waiters_.empty());
}

admission router::admit(route_request request,
                        const std::function<void(ticket_id)>& known)
{
    std::unique_lock lock(mutex_);
    if (closed_)
        return {.state = admission_state::canceled};
    scheduler_actions todo;
    const ticket_id ticket =
        scheduler_.submit(std::move(request), clock_.now(), random_, todo);
    waiter self;
    waiters_.emplace(ticket, &self);
    tell_waiters(todo);
    if (!self.decided && known) {
        lock.unlock();
        known(ticket);
        lock.lock();
    }
    settle(lock, todo);
    return wait(lock, ticket, self);
}

void router::finished(ticket_id ticket, const attempt_result& result)
{
    std::unique_lock lock(mutex_);
    preempting_.erase(ticket);
    scheduler_actions todo;
    scheduler_.finished(ticket, result, clock_.now(), random_, todo);
    tell_waiters(todo);
    settle(lock, todo);
}

admission router::preempted(ticket_id ticket, std::uint32_t produced)
{
    std::unique_lock lock(mutex_);
    preempting_.erase(ticket);
    waiter self;
    waiters_.emplace(ticket, &self);
    scheduler_actions todo;
    scheduler_.preempted(ticket, produced, clock_.now(), random_, todo);
    tell_waiters(todo);
    if (closed_ && !self.decided && scheduler_.cancel(ticket))
        decide({.state = admission_state::canceled, .ticket = ticket});
    settle(lock, todo);
    return wait(lock, ticket, self);
}

bool router::preempt_requested(ticket_id ticket) const
{
    const std::lock_guard lock(mutex_);
    return preempting_.contains(ticket);
}

void router::cancel(ticket_id ticket)
{
    const std::lock_guard lock(mutex_);
    if (scheduler_.cancel(ticket))
        decide({.state = admission_state::canceled, .ticket = ticket});
}

void router::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
    for (const auto& [ticket, it] : waiters_) {
        if (scheduler_.cancel(ticket))
            decide({.state = admission_state::canceled, .ticket = ticket});
    }
}

void router::upsert_target(const target_info& info)
{
    std::unique_lock lock(mutex_);
    scheduler_.upsert_target(info, clock_.now());
    scheduler_actions todo;
    scheduler_.poll(clock_.now(), random_, todo);
    tell_waiters(todo);
    settle(lock, todo);
}

void router::remove_target(const target_id& id)
{
    const std::lock_guard lock(mutex_);
    scheduler_.remove_target(id, clock_.now());
}

void router::target_leaving(const target_id& id)
{
    const std::lock_guard lock(mutex_);
    scheduler_.target_leaving(id, clock_.now());
}

void router::target_staying(const target_id& id)
{
    const std::lock_guard lock(mutex_);
    scheduler_.target_staying(id, clock_.now());
}

void router::load_reported(const target_id& id, const load_report& load)
{
    std::unique_lock lock(mutex_);
    scheduler_.load_reported(id, load, clock_.now());
    if (waiters_.empty())
        return;
    scheduler_actions todo;
    scheduler_.poll(clock_.now(), random_, todo);
    tell_waiters(todo);
    settle(lock, todo);
}

void router::cache_changed(const target_id& id, const cache_event& event)
{
    const std::lock_guard lock(mutex_);
    scheduler_.cache_changed(id, event);
}

std::optional<target_view> router::target(const target_id& id) const
{
    const std::lock_guard lock(mutex_);
    return scheduler_.target(id, clock_.now());
}

scheduler_counts router::counts() const
{
    const std::lock_guard lock(mutex_);
    return scheduler_.counts();
}

admission router::wait(std::unique_lock<std::mutex>& lock, ticket_id ticket,
                       waiter& self)
{
    while (!self.decided) {
        pause(lock, self);
        if (self.decided)
            break;
        scheduler_actions todo;
        scheduler_.poll(clock_.now(), random_, todo);
        tell_waiters(todo);
        settle(lock, todo);
    }
    waiters_.erase(ticket);
    if (ticking_ == &self)
        ticking_ = nullptr;
    if (ticking_ == nullptr && !waiters_.empty())
        waiters_.begin()->second->wake.notify_one();
    return *self.decided;
}

void router::pause(std::unique_lock<std::mutex>& lock, waiter& self)
{
    if (ticking_ != nullptr && ticking_ != &self) {
        self.wake.wait(lock);
        return;
    }
    ticking_ = &self;
    const instant now = clock_.now();
    const auto due = scheduler_.next_wake(now);
    constexpr duration shortest = microseconds(100);
    self.wake.wait_for(lock, due ? std::max(*due - now, shortest)
                                 : duration(milliseconds(50)));
}

void router::tell_waiters(const scheduler_actions& todo)
{
    for (const grant& it : todo.granted)
        decide({.state = admission_state::granted,
                .ticket = it.ticket,
                .target = it.target,
                .expected = it.expected});
    for (const shed_notice& it : todo.shed)
        decide({.state = admission_state::shed,
                .ticket = it.ticket,
                .reason = it.reason,
                .retry_after = it.retry_after});
    preempting_.insert(todo.preempted.begin(), todo.preempted.end());
}

void router::settle(std::unique_lock<std::mutex>& lock,
                    const scheduler_actions& todo)
{
    if (todo.preempted.empty() || !on_preempt_)
        return;
    lock.unlock();
    for (const ticket_id it : todo.preempted)
        on_preempt_(it);
    lock.lock();
}

void router::decide(const admission& decided)
{
    const auto known = waiters_.find(decided.ticket);
    assert(known != waiters_.end());
    known->second->decided = decided;
    known->second->wake.notify_one();
}

} // namespace fennelladder::routing
