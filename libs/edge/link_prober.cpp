#include "fennelladder/edge/link_prober.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using telemetry::log_event;
namespace event = telemetry::event;

bool contains(const std::vector<service_id>& all, const service_id& it)
{
    return std::ranges::find(all, it) != all.end();
}

} // namespace

void link_prober::start()
{
    spawn_lasting(
        tables_.io, [this] { return run(); }, "links");
}

awaitable<void> link_prober::run()
{
    asio::steady_timer timer(tables_.io);
    for (;;) {
        report_changes();
        if (const auto target =
                tables_.registry.reach().next_probe(tables_.now()))
            spawn(tables_.io, probe(*target), "link probe");
        co_await sleep_on(timer, tick_period);
    }
}

awaitable<void> link_prober::probe(catalog::target_process target)
{
    const auto entry = tables_.registry.entry_of(target.id);
    if (!entry || entry->process() != target)
        co_return;
    const connection_ptr made = tables_.pool.make({target, entry->address});
    const instant started = tables_.now();
    const status opened =
        co_await tables_.pool.open(made, tables_.connect_timeout());
    const instant now = tables_.now();
    dispatch::reach_table& reach = tables_.registry.reach();
    if (!opened) {
        tables_.note_dial_failed(target, started);
        co_return;
    }
    reach.note_connected(target, now);
    tables_.pool.release(made, std::nullopt, now);
}

void link_prober::report_changes()
{
    if (tables_.failures_show_nothing())
        return;
    const dispatch::reach_table& reach = tables_.registry.reach();
    std::vector<service_id> impaired = reach.impaired_services();
    if (impaired == impaired_)
        return;
    const std::string lost = std::to_string(reach.lost_count());
    for (const service_id& it : impaired)
        if (!contains(impaired_, it))
            log_event(event::service_cut_off,
                      {{"service", it.str()}, {"lost", lost}});
    for (const service_id& it : impaired_)
        if (!contains(impaired, it))
            log_event(event::service_reached,
                      {{"service", it.str()}, {"lost", lost}});
    impaired_ = std::move(impaired);
    tables_.broadcast_update();
}

} // namespace fennelladder::edge
