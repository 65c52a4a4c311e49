// Targets live in a dense array, so that a choice among hundreds walks it in
// order. Pools are lists of slots, rebuilt when a target comes, goes or
// changes what it has loaded: that is rare beside choices.
//
// The load of a target is the last report plus this node's own dispatches
// and completions since it was taken. They are kept as a short queue of
// changes per target; each report drops the ones that it has seen. The queue
// is bounded: past max_changes the oldest are folded away, which only makes a
// load that nobody has reported for long a little less exact.

#include "fennelladder/routing/target_table.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::routing {

namespace {

constexpr std::size_t max_changes = 1'024;

} // namespace

target_rates rates_of(const target_speed& speed)
{
    target_rates it;
    it.step = to_seconds(speed.step);
    it.step_per_sequence = to_seconds(speed.step_per_sequence);
    it.prefill_per_token = to_seconds(speed.prefill_per_token);
    it.prefill_chunk = std::max(1U, speed.prefill_chunk);
    it.slots = std::max(1U, speed.slots);
    return it;
}

target_table::target_table(target_table_options options)
    : options_(std::move(options))
{
    refresh_mix();
}

target_slot target_table::upsert(const target_info& info, instant now)
{
    const auto known = by_id_.find(info.id);
    target_slot slot = 0;
    if (known != by_id_.end()) {
        slot = known->second;
    } else if (!free_.empty()) {
        slot = free_.back();
        free_.pop_back();
    } else {
        slot = static_cast<target_slot>(targets_.size());
        targets_.emplace_back();
    }
    target& it = targets_[slot];
    if (known == by_id_.end()) {
        it = target();
        it.present = true;
        it.shrunk_at = now;
        it.limit = options_.first_limit_share * info.speed.slots;
        by_id_[info.id] = slot;
    }
    const bool same_pools = it.info.loaded == info.loaded;
    it.info = info;
    it.network = options_.far;
    if (info.data_center == options_.own_data_center)
        it.network = duration(0);
    for (const network_delay& way : options_.delays) {
        if (way.data_center == info.data_center)
            it.network = way.one_way;
    }
    it.reserved_up_to = info.reserved_up_to;
    it.rates = rates_of(info.speed);
    it.rates.network = to_seconds(it.network);
    if (known == by_id_.end() || !same_pools)
        rebuild_pools();
    return slot;
}

std::optional<target_slot> target_table::remove(const target_id& id,
                                                instant now)
{
    const auto known = by_id_.find(id);
    if (known == by_id_.end())
        return std::nullopt;
    const target_slot slot = known->second;
    target& it = targets_[slot];
    if (it.own > 0) {
        leaving(id, now);
        it.removed = true;
        return std::nullopt;
    }
    free_slot(slot);
    return slot;
}

void target_table::leaving(const target_id& id, instant now)
{
    const auto known = by_id_.find(id);
    if (known == by_id_.end())
        return;
    target& it = targets_[known->second];
    if (!it.leaving)
        it.leaving_since = now;
    it.leaving = true;
}

void target_table::staying(const target_id& id, instant)
{
    const auto known = by_id_.find(id);
    if (known == by_id_.end())
        return;
    target& it = targets_[known->second];
    it.leaving = false;
    it.removed = false;
}

void target_table::report(target_slot slot, const load_report& load, instant)
{
    target& it = targets_[slot];
    if (it.reported && load.taken_at <= it.load_at)
        return;
    reported_ += load.running + load.waiting;
    reported_ -= it.report.running + it.report.waiting;
    refresh_mix();
    it.report = load;
    it.load = load.running + load.waiting;
    it.load_at = load.taken_at;
    it.reported = true;
    // A request is seen by the engine only after its way there.
    const instant seen = load.taken_at - it.network;
    while (!it.changes.empty() && it.changes.front().at <= seen) {
        it.changed -= it.changes.front().requests;
        it.changes.pop_front();
    }
    follow_report(it);
    it.backlog = static_cast<double>(load.waiting_prefill_tokens);
    it.backlog_at = load.taken_at;
    for (const own_change& change : it.changes)
        it.backlog += change.prefill_tokens;
}

void target_table::dispatched(target_slot slot, priority rank,
                              std::uint32_t prefill_tokens, instant now)
{
    target& it = targets_[slot];
    count_own(it, rank, 1);
    it.backlog = backlog_now(it, now) + prefill_tokens;
    it.backlog_at = now;
    add_change(it, {now, 1, prefill_tokens});
}

bool target_table::finished(target_slot slot, priority rank,
                            const attempt_result& result,
                            duration idle_first_token, instant now)
{
    target& it = targets_[slot];
    assert(it.own > 0);
    count_own(it, rank, -1);
    add_change(it, {now, -1, 0});
    judge_health(it, result, now);
    adapt_limit(it, result, idle_first_token, now);
    if (!it.removed || it.own > 0)
        return false;
    free_slot(slot);
    return true;
}

std::optional<target_slot> target_table::find(const target_id& id) const
{
    const auto known = by_id_.find(id);
    if (known == by_id_.end())
        return std::nullopt;
    return known->second;
}

target_view target_table::view(target_slot slot, instant now) const
{
    const target& it = targets_[slot];
    target_view seen;
    seen.info = &it.info;
    seen.usable = usable(slot, now);
    seen.leaving = it.leaving;
    seen.leaving_since = it.leaving_since;
    seen.own_in_flight = it.own;
    seen.in_flight = in_flight(slot, now);
    seen.limit = it.limit;
    return seen;
}

std::optional<pool_id> target_table::pool_of(const capability& needed)
{
    const auto known = pool_ids_.find(needed);
    if (known != pool_ids_.end())
        return known->second;
    std::vector<target_slot> found;
    for (const auto& [id, slot] : by_id_) {
        for (const capability& it : targets_[slot].info.loaded) {
            if (serves(it, needed)) {
                found.push_back(slot);
                break;
            }
        }
    }
    // Guards against callers that ask for made-up models: only what some
    // target has loaded gets a pool, so pools can't outgrow the targets'.
    if (found.empty() || pools_.size() >= options_.max_pools)
        return std::nullopt;
    std::ranges::sort(found);
    const pool_id pool(pools_.size());
    pools_.push_back(std::move(found));
    pool_ids_.emplace(needed, pool);
    return pool;
}

std::span<const target_slot> target_table::members(pool_id pool) const
{
    return pools_[pool.value()];
}

bool target_table::usable(target_slot slot, instant now) const
{
    const target& it = targets_[slot];
    if (!it.present || it.leaving || now < it.ejected_until)
        return false;
    return !it.probing || it.own == 0;
}

bool target_table::rank_has_room(const target& on, priority rank,
                                 double up_to_rank) const
{
    double room = on.limit;
    // The limit follows how lower ranks queue, which doesn't hold up rank 0.
    if (rank == 0)
        room = std::max(room, on.rates.slots);
    else if (rank > on.reserved_up_to)
        room *= options_.reserved_share;
    else
        room *= 1 - options_.headroom_share;
    return up_to_rank + 1 <= std::max(room, 1.0);
}

target_load target_table::load(target_slot slot, priority rank,
                               instant now) const
{
    const target& it = targets_[slot];
    const double share = share_up_to(it, rank);
    target_load seen;
    seen.usable = usable(slot, now);
    seen.in_flight = in_flight(slot, now);
    // This node knows its own mix; the others' is taken to be alike.
    const double others = std::max(0.0, seen.in_flight - it.own);
    seen.up_to_rank = it.own_up_to[rank] + others * share;
    seen.prefill = backlog_now(it, now) * share;
    seen.room = seen.usable && rank_has_room(it, rank, seen.up_to_rank);
    return seen;
}

double target_table::in_flight(target_slot slot, instant now) const
{
    const target& it = targets_[slot];
    // Ends come to the nodes one by one; what is sent follows from reports
    // that all have seen.
    double load = it.changed > 0 ? it.changed * others_factor_ : it.changed;
    if (it.reported) {
        // Guards against reports that fell silent: the last one fades away,
        // lest a target that was busy then is shunned for ever.
        const duration age = now - it.load_at;
        double weight = 1;
        if (age > options_.report_fade)
            weight = std::exp2(1 - to_seconds(age) /
                                       to_seconds(options_.report_fade));
        load += weight * (it.load);
    }
    return std::max<double>(load, it.own);
}

duration target_table::network(target_slot slot) const
{
    return targets_[slot].network;
}

const target_info& target_table::info(target_slot slot) const
{
    return targets_[slot].info;
}

std::uint32_t target_table::own_in_flight(target_slot slot) const
{
    return targets_[slot].own;
}

void target_table::free_slot(target_slot slot)
{
    const load_report& last = targets_[slot].report;
    reported_ -= last.running + last.waiting;
    by_id_.erase(targets_[slot].info.id);
    targets_[slot] = target();
    free_.push_back(slot);
    rebuild_pools();
}

void target_table::rebuild_pools()
{
    for (const auto& it : pool_ids_) {
        std::vector<target_slot>& members = pools_[it.second.value()];
        members.clear();
        for (target_slot slot = 0; slot < targets_.size(); ++slot) {
            const target& one = targets_[slot];
            const bool has = std::ranges::any_of(
                one.info.loaded, [&](const capability& loaded) {
                    return serves(loaded, it.first);
                });
            if (one.present && has)
                members.push_back(slot);
        }
    }
}

void target_table::judge_health(target& it, const attempt_result& result,
                                instant now)
{
    if (result.outcome == attempt_outcome::canceled)
        return;
    if (result.outcome == attempt_outcome::answered) {
        it.failures = 0;
        it.ejections = 0;
        it.probing = false;
        return;
    }
    ++it.failures;
    if (!it.probing && it.failures < options_.failures_to_eject)
        return;
    const int doublings = std::min(it.ejections, 16);
    const duration away = std::min(options_.first_ejection * (1 << doublings),
                                   options_.longest_ejection);
    it.ejected_until = now + away;
    it.probing = true;
    ++it.ejections;
}

void target_table::adapt_limit(target& it, const attempt_result& result,
                               duration idle_first_token, instant now)
{
    const bool reports = it.reported && now - it.load_at < options_.report_fade;
    if (reports || result.outcome != attempt_outcome::answered ||
        result.first_token <= duration(0))
        return;
    const double ratio =
        to_seconds(result.first_token) /
        std::max(to_seconds(idle_first_token), to_seconds(it.info.speed.step));
    if (ratio > options_.slow_ratio) {
        if (now - it.shrunk_at < options_.shrink_pause)
            return;
        it.shrunk_at = now;
        it.limit *= options_.shrink_factor;
    } else if (it.own + 1 >= it.limit / 2) {
        it.limit += options_.growth;
    }
    clamp_limit(it);
}

// A target that has more than it runs shows how many it runs at once: its
// slots, or fewer when its memory is full. That, and a few that wait for the
// next free place, is what it is sent.
void target_table::follow_report(target& it)
{
    const double running = it.report.running;
    if (it.report.waiting > 0) {
        const double useful = running * (1 + options_.queue_share);
        it.limit += options_.limit_weight * (useful - it.limit);
    } else if (running + 2 >= it.limit * (1 - options_.headroom_share)) {
        it.limit += options_.growth;
    }
    clamp_limit(it);
}

void target_table::clamp_limit(target& it) const
{
    const double highest = options_.highest_limit_share * it.info.speed.slots;
    it.limit = std::clamp(it.limit, options_.lowest_limit,
                          std::max(options_.lowest_limit, highest));
}

double target_table::backlog_now(const target& it, instant now)
{
    if (it.backlog <= 0)
        return 0;
    const double passed = to_seconds(now - it.backlog_at);
    const double per_token = std::max(it.rates.prefill_per_token, 1e-9);
    return std::max(0.0, it.backlog - passed / per_token);
}

// Other nodes choose by the same reports as this one, and so much alike: what
// it sent to a target since the report, they sent as well, in proportion.
void target_table::refresh_mix()
{
    const double own = 1.0 + own_up_to_.back();
    others_factor_ = std::clamp((1 + static_cast<double>(reported_)) / own, 1.0,
                                options_.most_others);
    for (priority rank = 0; rank < priority_levels; ++rank)
        share_up_to_[rank] = (1.0 + own_up_to_[rank]) / own;
}

// The mix on a target is taken from this node's requests there, filled up
// with a few of its mix on all targets, and with one that counts as urgent, so
// that a node with few of its own rather finds too little room than too much.
double target_table::share_up_to(const target& on, priority rank) const
{
    constexpr double filling = 2;
    return (on.own_up_to[rank] + filling * share_up_to_[rank]) /
           (on.own + filling);
}

void target_table::count_own(target& it, priority rank, int change)
{
    it.own += static_cast<std::uint32_t>(change);
    for (priority level = rank; level < priority_levels; ++level) {
        it.own_up_to[level] += static_cast<std::uint32_t>(change);
        own_up_to_[level] += static_cast<std::uint32_t>(change);
    }
    refresh_mix();
}

void target_table::add_change(target& it, const own_change& change)
{
    it.changes.push_back(change);
    it.changed += change.requests;
    if (it.changes.size() > max_changes) {
        it.changed -= it.changes.front().requests;
        it.changes.pop_front();
    }
}

} // namespace fennelladder::routing
