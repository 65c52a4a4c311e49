#include "fennelladder/edge/target_prober.hpp"

#include "fennelladder/edge/relay.hpp"
#include "fennelladder/telemetry/log.hpp"

namespace fennelladder::edge {

namespace {

/// Delay before the probe. A dying process closes its connections and its
/// listener in any order; after this delay both are closed.
constexpr duration probe_delay = milliseconds(30);
constexpr duration probe_timeout = milliseconds(400);

/// How long to wait for a peer that reaches the target's service: two
/// heartbeats in a small fleet.
constexpr duration peer_report_time = milliseconds(500);
constexpr duration peer_check_period = milliseconds(50);

/// How long to watch for a restart. The new process of a target that restarts
/// at once accepts the probe's connection. The death then shows in the list:
/// targets write their entry when they start, and nodes have it within two
/// seconds.
constexpr duration restart_watch_time = seconds(5);
constexpr duration restart_check_period = milliseconds(200);

/// How long a run that was given up may have caused its target's death: a
/// target goes on for a while until it notices.
constexpr duration given_up_memory = seconds(3);

constexpr duration verdict_check_period = milliseconds(5);

} // namespace

void target_prober::on_broken_answer(const catalog::target_process& target,
                                     broken_run run)
{
    const bool under_way = runs_.contains(target);
    runs_[target].push_back(std::move(run));
    if (!under_way)
        spawn(tables_.io,
              undo_on_failure(probe(target),
                              [this, target] { runs_.erase(target); }),
              "target probe");
}

void target_prober::on_unfinished_request(const catalog::target_process& target,
                                          const broken_run& run)
{
    if (has_restarted(target)) {
        record_death(target, {run});
        return;
    }
    const instant now = tables_.now();
    std::erase_if(given_up_, [&](const auto& it) {
        return now - it.second.back().ended > given_up_memory;
    });
    given_up_[target].push_back(run);
}

target_prober::run_list
target_prober::take_given_up(const catalog::target_process& target)
{
    const auto found = given_up_.find(target);
    if (found == given_up_.end())
        return {};
    run_list out = std::move(found->second);
    given_up_.erase(found);
    const instant now = tables_.now();
    std::erase_if(out, [&](const broken_run& it) {
        return now - it.ended > given_up_memory;
    });
    return out;
}

void target_prober::on_reported_death(const catalog::target_process& target)
{
    const bool has_runs = given_up_.contains(target);
    if (has_runs)
        record_death(target, {});
}

awaitable<void> target_prober::settled(catalog::target_process target,
                                       instant until)
{
    asio::steady_timer timer(tables_.io);
    while (runs_.contains(target) && tables_.now() < until)
        co_await sleep_on(timer, verdict_check_period);
}

void target_prober::record_death(const catalog::target_process& target,
                                 const run_list& runs)
{
    telemetry::log_event(telemetry::event::target_died,
                         {{"target", target.id.str()},
                          {"start", std::to_string(target.start.value())},
                          {"suspects", std::to_string(runs.size())}});
    for (const broken_run& it : runs)
        exchange_.note_death(it.marks, {target, it.place, it.ended,
                                        it.ended - it.sent, it.leased});
    const instant died = runs.empty() ? tables_.now() : runs.front().ended;
    for (const broken_run& it : take_given_up(target))
        exchange_.note_death(
            it.marks, {target, it.place, died, died - it.sent, it.leased});
}

bool target_prober::has_restarted(const catalog::target_process& target) const
{
    const auto entry = tables_.registry.entry_of(target.id);
    return entry && catalog::is_known(target.start) &&
           entry->start > target.start;
}

/// Whether the process can't be connected to. False if its entry is gone, since
/// its address is then unknown, or if the host's own link is full.
awaitable<bool> target_prober::is_unreachable(catalog::target_process target)
{
    const auto entry = tables_.registry.entry_of(target.id);
    if (!entry || entry->process() != target)
        co_return false;
    const target_endpoint to{target, entry->address};
    tables_.pool.close_idle(to);
    connection_ptr made = tables_.pool.make(to);
    const instant started = tables_.now();
    const status opened = co_await tables_.pool.open(made, probe_timeout);
    dispatch::reach_table& reach = tables_.registry.reach();
    if (!opened) {
        tables_.note_dial_failed(target, started);
        co_return !tables_.link_is_full();
    }
    reach.note_connected(target, tables_.now());
    tables_.pool.release(made, std::nullopt, tables_.now());
    co_return false;
}

/// Whether a peer can connect to the process: then this node's link to it is
/// lost. Precondition: this node can't connect to it.
awaitable<bool>
target_prober::is_reached_by_peer(catalog::target_process target)
{
    const dispatch::reach_table& reach = tables_.registry.reach();
    asio::steady_timer timer(tables_.io);
    const instant end = tables_.now() + peer_report_time;
    while (reach.is_reported(target) && tables_.now() < end) {
        if (reach.relays(target, tables_.now()).empty()) {
            co_await sleep_on(timer, peer_check_period);
            continue;
        }
        const connection_ptr made = tables_.pool.make_relayed({target, ""});
        const std::string no_request;
        const std::function<bool()> goes_on = [] { return false; };
        const relay_outcome got =
            co_await connect_relayed(tables_, made, no_request, goes_on);
        made->close();
        co_return got.result == mesh::relay_result::connected;
    }
    co_return false;
}

awaitable<void> target_prober::probe(catalog::target_process target)
{
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer, probe_delay);
    bool unreachable = co_await is_unreachable(target);
    if (unreachable) {
        const bool reached = co_await is_reached_by_peer(target);
        unreachable = !reached;
    }
    // Responses that break off from now on need a probe of their own.
    const run_list runs = std::move(runs_[target]);
    if (unreachable)
        record_death(target, runs);
    runs_.erase(target);
    if (unreachable)
        tables_.registry.note_evidence(
            target, dispatch::target_evidence::unreachable, tables_.now());
    const instant watch_end = tables_.now() + restart_watch_time;
    bool restarted = has_restarted(target);
    while (!unreachable && !restarted && tables_.now() < watch_end) {
        co_await sleep_on(timer, restart_check_period);
        restarted = has_restarted(target);
    }
    if (!unreachable && restarted)
        record_death(target, runs);
}

} // namespace fennelladder::edge
