#include "fennelladder/edge/target_prober.hpp"

#include "fennelladder/telemetry/log.hpp"

namespace fennelladder::edge {

namespace {

/// A process that dies closes its connections before its listener in any
/// order; by now both are closed.
constexpr duration settling = milliseconds(30);
constexpr duration probe_limit = milliseconds(400);

/// A target that starts again within a moment answers the dial with its new
/// process. The death shows when the entry of that comes: targets write theirs
/// at their start, and it is passed on within two seconds.
constexpr duration restart_news = seconds(5);
constexpr duration restart_check = milliseconds(200);

} // namespace

void target_prober::on_broken_answer(const catalog::target_process& target,
                                     dispatch::request_mark mark)
{
    const bool under_way = suspects_.contains(target);
    suspects_[target].push_back(mark);
    if (!under_way)
        spawn(tables_.io, probe(target));
}

void target_prober::on_unfinished_request(const catalog::target_process& target,
                                          dispatch::request_mark mark)
{
    if (started_again(target))
        blame(target, {mark});
}

void target_prober::blame(const catalog::target_process& target,
                          const suspect_list& suspects)
{
    bool news = false;
    for (const dispatch::request_mark mark : suspects)
        news |= tables_.poison.note_death(mark, target, tables_.now());
    telemetry::log_event(telemetry::event::target_died,
                         {{"target", target.id.str()},
                          {"start", std::to_string(target.start.value())},
                          {"suspects", std::to_string(suspects.size())}});
    if (news)
        tables_.broadcast_update();
}

bool target_prober::started_again(const catalog::target_process& target) const
{
    const auto entry = tables_.registry.entry_of(target.id);
    return entry && catalog::is_said(target.start) &&
           entry->start > target.start;
}

/// Whether the process can't be reached. Nothing is known of one whose entry
/// is gone.
awaitable<bool> target_prober::is_unreachable(catalog::target_process target)
{
    const auto entry = tables_.registry.entry_of(target.id);
    if (!entry || entry->process() != target)
        co_return false;
    const target_endpoint to{target, entry->address};
    tables_.pool.drop_idle(to);
    connection_ptr made = tables_.pool.make(to);
    const status opened = co_await tables_.pool.open(made, probe_limit);
    if (!opened)
        co_return true;
    tables_.pool.give_back(made, std::nullopt, tables_.now());
    co_return false;
}

awaitable<void> target_prober::probe(catalog::target_process target)
{
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer, settling);
    const bool unreachable = co_await is_unreachable(target);
    // Whether the target lived as a later answer breaks takes a dial of its
    // own.
    const suspect_list suspects = std::move(suspects_[target]);
    suspects_.erase(target);
    if (unreachable)
        tables_.registry.learned(target, dispatch::target_evidence::unreachable,
                                 tables_.now());
    const instant until = tables_.now() + restart_news;
    bool died = unreachable || started_again(target);
    while (!died && tables_.now() < until) {
        co_await sleep_on(timer, restart_check);
        died = started_again(target);
    }
    if (died)
        blame(target, suspects);
}

} // namespace fennelladder::edge
