#include "fennelladder/edge/target_prober.hpp"

#include "fennelladder/telemetry/log.hpp"

namespace fennelladder::edge {

namespace {

/// A process that dies closes its connections before its listener in any
/// order; by now both are closed.
constexpr duration settling = milliseconds(30);
constexpr duration probe_limit = milliseconds(400);

} // namespace

void target_prober::broke(const target_id& target, dispatch::request_mark mark)
{
    const bool under_way = suspects_.contains(target);
    suspects_[target].push_back(mark);
    if (!under_way)
        spawn(tables_.io, probe(target));
}

void target_prober::blame(const target_id& target)
{
    bool news = false;
    for (const dispatch::request_mark mark : suspects_[target])
        news |= tables_.poison.note_death(mark, target, tables_.now());
    telemetry::log_event(
        telemetry::event::target_died,
        {{"target", target.str()},
         {"suspects", std::to_string(suspects_[target].size())}});
    if (news)
        tables_.spread_news();
}

awaitable<void> target_prober::probe(target_id target)
{
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer, settling);
    const auto address = tables_.book.address_of(target);
    bool alive = true;
    if (address) {
        tables_.pool.drop_idle(target);
        connection_ptr made = tables_.pool.make(target);
        const status opened =
            co_await tables_.pool.open(made, *address, probe_limit);
        alive = opened.has_value();
        if (alive)
            tables_.pool.give_back(made, std::nullopt, tables_.now());
    }
    if (!alive) {
        tables_.book.learned(target, dispatch::target_evidence::unreachable,
                             tables_.now());
        blame(target);
    }
    suspects_.erase(target);
}

} // namespace fennelladder::edge
