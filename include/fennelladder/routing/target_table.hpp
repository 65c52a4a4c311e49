// What one node knows of each target, and how it counts its own work there.
//
//     target_table table(options);
//     target_slot slot = table.upsert(info, now);
//     table.report(slot, load, now);
//     table.dispatched(slot, prefill_tokens, now);
//     table.finished(slot, result, now);
//     table.leaving(id, now); // host list or first-hand: whichever is first
//
// Caveats. Load reports are late, so the table corrects them by what this
// node sent and saw finish since they were taken; what other nodes sent since
// is not known to it. A target whose reports fall silent keeps its last load,
// which fades, and never less than this node's own requests in flight.
//
// Engines serve by priority, so a rank's room on a target is what requests of
// its own and higher ranks leave of the limit. Reports don't tell ranks apart;
// the table takes the mix of all to be that of this node's own requests
// there.
//
// A target is usable when it is present, not leaving, and not ejected. It is
// ejected after `failures_to_eject` failures in a row, for a time that
// doubles with each ejection in a row; then one request at a time may try it,
// and the first that succeeds brings it back.
//
// The concurrency limit of a target adapts. One that reports its load is sent
// what it was seen to run at once while more waited, and a little beyond; the
// limit grows while it is used up and nothing waits. One that doesn't report
// has additive increase and multiplicative decrease: its limit shrinks when
// first tokens come much later than an idle target's would.
// Not thread safe.

#ifndef FENNELLADDER_ROUTING_TARGET_TABLE_HPP
#define FENNELLADDER_ROUTING_TARGET_TABLE_HPP

#include "fennelladder/routing/types.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace fennelladder::routing {

/// One way of a message to a data center.
struct network_delay
{
    data_center_id data_center;
    duration one_way = duration(0);
};

/// How a target_table judges; durations are of this node's time line.
struct target_table_options
{
    data_center_id own_data_center;
    std::vector<network_delay> delays; ///< From here; what is missing is far.
    duration far = milliseconds(2);    ///< To a data center not in `delays`.

    duration report_fade = seconds(2); ///< Half-life of a silent load.

    /// A change of this node's since a report counts for all nodes', which
    /// choose alike, but for no more than this many.
    double most_others = 16;

    int failures_to_eject = 3;
    duration first_ejection = seconds(1);
    duration longest_ejection = seconds(30);

    double first_limit_share = 1.0; ///< Of a target's slots.
    double lowest_limit = 2;
    double highest_limit_share = 1.25; ///< Of a target's slots.
    double slow_ratio = 4; ///< First token: seen to idle, that shrinks.
    double shrink_factor = 0.9;
    duration shrink_pause = milliseconds(500); ///< At most one in this time.
    double growth = 0.5;
    double queue_share = 0.1;  ///< Sent beyond what a target runs at once.
    double limit_weight = 0.2; ///< Of the last report in the limit.

    /// Of a limit, kept free of ranks from 1 on.
    double headroom_share = 0.1;
    double reserved_share = 0.25; ///< What lower ranks get of a reserved one.
    std::size_t max_pools = 4'096;
};

/// What the table tells of a target.
struct target_view
{
    const target_info* info = nullptr;
    bool usable = false;
    bool leaving = false;
    instant leaving_since; ///< First evidence.
    std::uint32_t own_in_flight = 0;
    double in_flight = 0; ///< Estimate, all nodes' requests.
    double limit = 0;
};

/// A target's speed and distance in seconds, as numbers to reckon with.
struct target_rates
{
    double step = 0;
    double step_per_sequence = 0;
    double prefill_per_token = 0;
    double prefill_chunk = 1; ///< Tokens.
    double slots = 1;         ///< Sequences.
    double network = 0;       ///< One way.
};

/// The rates of a speed, without a network.
target_rates rates_of(const target_speed& speed);

/// What a choice needs to know of a target's load, for one rank.
struct target_load
{
    bool usable = false;
    bool room = false;     ///< Usable, and the rank has room.
    double in_flight = 0;  ///< Estimate, all nodes' requests.
    double up_to_rank = 0; ///< Those that engines serve no later.
    double prefill = 0;    ///< Uncached prompt tokens served no later.
};

class target_table
{
public:
    explicit target_table(target_table_options options);

    // What is known of targets.

    /// Adds a target, or replaces what was known of it from configuration.
    /// A target that was leaving stays so until it is removed.
    target_slot upsert(const target_info& info, instant now);

    /// Forgets a target once it has no own requests in flight; until then it
    /// is merely leaving. Returns the slot that became free, if one did.
    std::optional<target_slot> remove(const target_id& id, instant now);

    /// Evidence that a target is leaving, from whichever source. It gets no
    /// new work from this call on. Unknown targets are ignored.
    void leaving(const target_id& id, instant now);

    /// The target said by itself that it stays after all, or started anew.
    void staying(const target_id& id, instant now);

    /// Takes a load report in; older ones than the last are dropped.
    void report(target_slot slot, const load_report& load, instant now);

    // This node's own work.

    /// A request with `prefill_tokens` uncached ones goes there now.
    void dispatched(target_slot slot, priority rank,
                    std::uint32_t prefill_tokens, instant now);

    /// A dispatched request is over. `idle_first_token` is what an idle
    /// target would have taken for its first token. True if the target had
    /// been removed and its slot became free by this.
    bool finished(target_slot slot, priority rank, const attempt_result& result,
                  duration idle_first_token, instant now);

    // Questions.

    std::optional<target_slot> find(const target_id& id) const;
    target_view view(target_slot slot, instant now) const;

    /// The pool of a capability; nothing if no target ever had it loaded.
    std::optional<pool_id> pool_of(const capability& needed);

    /// Slots of the pool's targets, usable or not. Valid until the next
    /// upsert or remove.
    std::span<const target_slot> members(pool_id pool) const;

    /// True if the target may take new work of any kind.
    bool usable(target_slot slot, instant now) const;

    /// True if it is usable and `rank` has room there by the limit.
    bool has_room(target_slot slot, priority rank, instant now) const
    {
        return load(slot, rank, now).room;
    }

    /// Estimated requests in flight there, of all nodes.
    double in_flight(target_slot slot, instant now) const;

    /// All that a choice needs to know, at once. Precondition: rank is below
    /// priority_levels.
    target_load load(target_slot slot, priority rank, instant now) const;

    /// One way from here to the target.
    duration network(target_slot slot) const;

    const target_info& info(target_slot slot) const;

    const target_rates& rates(target_slot slot) const
    {
        return targets_[slot].rates;
    }

    /// Ranks up to this one have the target set aside for them, or all.
    priority reserved_up_to(target_slot slot) const
    {
        return targets_[slot].reserved_up_to;
    }

    std::uint32_t own_in_flight(target_slot slot) const;

    /// Slots in use or free: the bound of every slot given out.
    std::size_t slots() const { return targets_.size(); }

private:
    /// A change that the last report may not have seen.
    struct own_change
    {
        instant at;
        int requests;
        std::uint32_t prefill_tokens;
    };

    // Invariant: `own_up_to[r]` counts own requests of ranks up to r, so that
    // the last one counts all. `changes` holds what happened after the last
    // report was taken, oldest first, and `changed` is the sum of its requests.
    // `backlog` uncached prompt tokens waited at `backlog_at`; they drain at
    // the target's prefill speed.
    // What a choice reads comes first and lies together: a walk over hundreds
    // of targets is bound by the cache lines that it touches.
    struct target
    {
        bool present = false;
        bool leaving = false;
        bool reported = false;
        bool probing = false; ///< After an ejection: one request at a time.
        priority reserved_up_to = priority_levels;
        std::uint32_t own = 0;
        int changed = 0;
        instant ejected_until;
        double limit = 0;
        double backlog = 0;
        instant backlog_at;
        instant load_at;
        double load = 0; ///< Running and waiting, as reported.
        target_rates rates;
        std::array<std::uint32_t, priority_levels> own_up_to{};

        target_info info;
        load_report report;
        std::deque<own_change> changes;
        duration network{};
        bool removed = false; ///< Goes when nothing of ours is in flight.
        instant leaving_since;
        int failures = 0;
        int ejections = 0;
        instant shrunk_at;
    };

    void free_slot(target_slot slot);
    void rebuild_pools();
    void judge_health(target& it, const attempt_result& result, instant now);
    void follow_report(target& it);
    void clamp_limit(target& it) const;
    void adapt_limit(target& it, const attempt_result& result,
                     duration idle_first_token, instant now);
    void refresh_mix();
    double share_up_to(const target& on, priority rank) const;
    bool rank_has_room(const target& on, priority rank,
                       double up_to_rank) const;
    void count_own(target& it, priority rank, int change);
    static void add_change(target& it, const own_change& change);
    static double backlog_now(const target& it, instant now);

    target_table_options options_;
    std::vector<target> targets_;
    std::array<std::uint32_t, priority_levels> own_up_to_{};
    std::uint64_t reported_ = 0; ///< Requests in the last reports of all.
    // Derived from the two above by refresh_mix().
    double others_factor_ = 1;
    std::array<double, priority_levels> share_up_to_{};
    std::vector<target_slot> free_;
    std::unordered_map<target_id, target_slot> by_id_;
    std::map<capability, pool_id> pool_ids_;
    std::vector<std::vector<target_slot>> pools_;
};

} // namespace fennelladder::routing

#endif
