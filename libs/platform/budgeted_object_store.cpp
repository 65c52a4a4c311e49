// Waiting threads sleep until the bucket may let them through and then try
// again; who comes first gets the call. A lower class can't starve a higher
// one, since it needs a fuller bucket.

#include "fennelladder/platform/budgeted_object_store.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <thread>

namespace fennelladder::platform {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

constexpr duration over_rate_log_interval = seconds(10);

void sleep_now(duration length)
{
    std::this_thread::sleep_for(length);
}

// No answer, or one that turned the call away.
bool answered(const error* failure)
{
    return failure == nullptr || (failure->code != error_code::unavailable &&
                                  failure->code != error_code::ambiguous);
}

void log_state(platform_state state, duration latency)
{
    constexpr int events[] = {event::platform_well, event::platform_slow,
                              event::platform_out};
    log_event(events[static_cast<std::size_t>(state)],
              {{"latency_ms", std::to_string(to_seconds(latency) * 1e3)}});
}

} // namespace

call_gate::call_gate(const clock& time, call_gate_options options,
                     sleeper sleep)
    : time_(time), longest_wait_(options.longest_wait),
      sleep_(sleep ? std::move(sleep) : sleeper(sleep_now)),
      reads_(options.reads, time.now()), writes_(options.writes, time.now()),
      health_(options.health)
{}

call_budget& call_gate::budget(call_kind kind)
{
    return kind == call_kind::read ? reads_ : writes_;
}

bool call_gate::try_enter(call_kind kind, call_class which, bool waited,
                          instant& ready_at)
{
    const std::lock_guard lock(mutex_);
    // Read under the lock: the budget takes no time that runs backwards.
    const instant now = time_.now();
    ready_at = budget(kind).ready_at(which, now);
    if (!budget(kind).try_take(which, now))
        return false;
    ++(kind == call_kind::read ? counts_.reads : counts_.writes);
    counts_.waited += waited ? 1 : 0;
    return true;
}

status call_gate::enter(call_kind kind, call_class which)
{
    const instant until = time_.now() + longest_wait_;
    instant ready_at;
    bool waited = false;
    while (!try_enter(kind, which, waited, ready_at)) {
        if (ready_at > until)
            return turn_away(kind, which);
        waited = true;
        sleep_(ready_at - time_.now());
    }
    return {};
}

status call_gate::turn_away(call_kind kind, call_class which)
{
    bool tell = false;
    {
        const std::lock_guard lock(mutex_);
        const instant now = time_.now();
        tell = counts_.turned_away == 0 ||
               now - told_over_rate_ >= over_rate_log_interval;
        told_over_rate_ = tell ? now : told_over_rate_;
        ++counts_.turned_away;
    }
    if (tell)
        log_event(event::platform_calls_over_rate,
                  {{"kind", kind == call_kind::read ? "read" : "write"},
                   {"class", std::string(to_string(which))}});
    return fail(error_code::unavailable,
                "over the node's rate of platform calls");
}

void call_gate::leave(call_kind kind, const error* failure, instant started)
{
    std::optional<platform_state> changed;
    duration latency{};
    {
        const std::lock_guard lock(mutex_);
        const instant now = time_.now();
        if (failure != nullptr && failure->code == error_code::unavailable) {
            ++counts_.refused;
            budget(kind).on_refused(now);
        }
        changed = health_.on_call(answered(failure), now - started, now);
        latency = health_.latency();
    }
    if (changed)
        log_state(*changed, latency);
}

platform_state call_gate::health() const
{
    const std::lock_guard lock(mutex_);
    return health_.state();
}

duration call_gate::latency() const
{
    const std::lock_guard lock(mutex_);
    return health_.latency();
}

call_gate_counts call_gate::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

template <class T, class F>
T budgeted_object_store::pass(call_kind kind, F call, bool timed)
{
    if (auto entered = gate_.enter(kind, class_); !entered)
        return tl::unexpected(entered.error());
    const instant started = gate_.now();
    T done = call();
    gate_.leave(kind, done ? nullptr : &done.error(),
                timed ? started : gate_.now());
    return done;
}

result<stored_object> budgeted_object_store::get(const object_key& key)
{
    return pass<result<stored_object>>(call_kind::read,
                                       [&] { return inner_.get(key); });
}

result<object_version> budgeted_object_store::put(const object_key& key,
                                                  std::string_view value,
                                                  write_condition condition)
{
    return pass<result<object_version>>(
        call_kind::write, [&] { return inner_.put(key, value, condition); });
}

status budgeted_object_store::erase(const object_key& key,
                                    write_condition condition)
{
    return pass<status>(call_kind::write,
                        [&] { return inner_.erase(key, condition); });
}

result<object_page> budgeted_object_store::list(std::string_view prefix,
                                                const object_key& after,
                                                std::size_t limit)
{
    return pass<result<object_page>>(
        call_kind::read, [&] { return inner_.list(prefix, after, limit); });
}

result<change_page> budgeted_object_store::watch(std::string_view prefix,
                                                 std::uint64_t revision,
                                                 duration wait)
{
    return pass<result<change_page>>(
        call_kind::read, [&] { return inner_.watch(prefix, revision, wait); },
        false);
}

} // namespace fennelladder::platform
