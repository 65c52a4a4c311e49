// Brings engines to what the configuration says, and keeps them there.
//
//     order_issuer issuer(store, engines, clock, incarnation, options);
//     issuer.step({plans, needs, preferred});   // about once a second
//     for (const issuer_event& it : issuer.take_events())
//         log(it);
//
// Engines are divided into groups by the hash of their names, and each group
// has a lease object in the platform. Whoever holds the lease is the group's
// issuer. The version of the lease object is the fencing number of its
// orders: it grows with each renewal and each change of hands, so an order of
// an earlier holder always carries a lower one.
//
// Which node tries for which lease is a matter of rank among the nodes that
// seem alive (issuer_input::preferred): a hint that saves calls.
//
// Caveats. A holder that is paused goes on believing it holds the lease, and
// the one order it was about to give may arrive late. Engines that check
// fencing numbers refuse it. Engines that don't may carry it out; the present
// holder sees that at its next read-back and corrects it (event 1807).
// With the platform down no lease can be taken or renewed, so no orders are
// given; engines keep what they have.

#ifndef FENNELLADDER_FLEET_ORDER_ISSUER_HPP
#define FENNELLADDER_FLEET_ORDER_ISSUER_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/fleet/engine_orders.hpp"
#include "fennelladder/fleet/rollout_board.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelladder::fleet {

struct issuer_options
{
    std::string prefix = "orders/"; ///< Of the keys of its objects.
    std::size_t groups = 32;        ///< The same at all nodes.
    duration lease = seconds(30);   ///< Untouched for this long: lapsed.
    duration renew_after = seconds(10);
    duration board_every = seconds(10); ///< The board is read anew.
    duration read_every = seconds(2);   ///< An engine being worked on.
    duration watch_every = seconds(15); ///< One that is as it should be.
    duration step_limit = seconds(5);   ///< Then step() leaves the rest.
    duration retry_failed = minutes(2); ///< A load that failed.
    duration death_grace = seconds(30); ///< Silence after a load: it failed.
    std::size_t stable_after = 3;       ///< Equal read-backs.
    std::size_t load_attempts = 3;      ///< Taken, but never ready: failed.
    board_limits limits;
};

/// What the issuer works from; refreshed by the node at each step.
struct issuer_input
{
    generation in_force;            ///< Configuration behind the plans.
    std::vector<engine_plan> plans; ///< Of all engines of the fleet.
    std::vector<need> needs;
    /// Whether this node should hold the group's lease: rank 0 among the live
    /// nodes (member_table::rank(group_salt(group), true)).
    std::function<bool(std::size_t group)> preferred;
};

struct issuer_event
{
    int number = 0; ///< docs/EVENTS.md, 1800 and up.
    target_id target;
    std::string text;
};

/// What the issuer knows of one of its engines.
struct engine_report
{
    target_id target;
    bool answers = false;
    step_kind step = step_kind::wait;
    std::string waiting_for; ///< Empty, or why its order isn't given.
};

/// Not thread safe: one thread calls step(), which blocks for the platform's
/// and the engines' call timeouts.
class order_issuer
{
public:
    order_issuer(platform::object_store& store, engine_orders& engines,
                 const clock& clock, incarnation_id self,
                 const issuer_options& options, std::uint64_t seed);

    /// Limits of claims from now on; those of all issuers should agree.
    void set_limits(const board_limits& limits) { options_.limits = limits; }

    /// Renews or takes leases, reads back the engines that are due and gives
    /// at most one order to each.
    void step(const issuer_input& input);

    /// Hands back all leases, at a graceful shutdown.
    void release_all();

    /// Groups whose lease this node holds, as far as it knows.
    std::vector<std::size_t> held_groups() const;

    /// The engines of those groups.
    std::vector<engine_report> reports() const;

    /// Events since the last call, at most a few hundred.
    std::vector<issuer_event> take_events();

    std::size_t group_of(const target_id& target) const;

    /// Salt for ranking the nodes that may hold a group's lease.
    static std::string group_salt(std::size_t group);

private:
    struct group_lease
    {
        bool held = false;
        object_version version; ///< As last read or written.
        std::string value;      ///< Likewise.
        instant seen_at;        ///< When version was first seen.
        instant renewed_at;     ///< Start of our last successful write.
        instant next_try;
        bool free = false; ///< Read as handed back, or absent.
        bool exists = false;
    };

    struct engine_track
    {
        instant next_read;
        std::size_t stable = 0; ///< Read-backs in a row without a step.
        std::optional<instant> silent_since;
        instant last_failure;
        bool failed_before = false;
        std::map<model_ref, std::size_t> attempts; ///< Loads since stable.
        std::optional<engine_plan> settled;        ///< What it was stable at.
        engine_report report;
    };

    platform::object_key lease_key(std::size_t group) const;
    platform::object_key board_key() const;
    std::string lease_value();

    void keep_lease(std::size_t group, bool preferred);
    void look_at_lease(std::size_t group, group_lease& lease);
    bool write_lease(std::size_t group, group_lease& lease,
                     const std::string& value);
    void lose(std::size_t group, group_lease& lease);
    bool lease_is_fresh(const group_lease& lease) const;

    void work_on_all(const issuer_input& input);
    void work_on(const engine_plan& plan, const issuer_input& input);
    void work_on_silent(const engine_plan& plan, engine_track& track);
    void retry_load(const engine_plan& plan, const engine_state& state,
                    order_step step, const issuer_input& input,
                    engine_track& track);
    bool claim(const order_step& step, fencing_number fence,
               engine_track& track);
    void wait_for(engine_track& track, std::string what);
    bool keeps_vanishing(const order_step& step,
                         const engine_track& track) const;
    void note_deviation(const engine_plan& wanted, engine_track& track);
    void take_step(const engine_plan& plan, const engine_state& state,
                   const order_step& step, const issuer_input& input,
                   engine_track& track);
    bool spare(const engine_plan& plan, const engine_state& state,
               const order_step& step, const issuer_input& input,
               engine_track& track);
    void give(const engine_plan& plan, const engine_order& order,
              engine_track& track);
    void settle(const engine_plan& plan, const engine_plan& wanted,
                const engine_state& state, engine_track& track);
    std::vector<engine_view> views_of_rivals(const engine_plan& plan,
                                             const engine_state& state,
                                             const issuer_input& input);
    void release_claim(const target_id& target);

    bool load_board(duration at_most_old);
    bool write_board(const rollout_board& next);
    void report(int number, const target_id& target, std::string text);

    // Invariants: a lease is held only if its last write was ours; board_
    // is what the object had at board_version_. Objects are changed by
    // conditional writes against those versions, with no exception.
    platform::object_store& store_;
    engine_orders& engines_;
    const clock& clock_;
    incarnation_id self_;
    issuer_options options_;
    random_source random_;
    std::map<std::size_t, group_lease> leases_;
    std::map<target_id, engine_track> tracks_;
    rollout_context context_;
    rollout_board board_;
    object_version board_version_;
    bool board_exists_ = false;
    bool board_known_ = false;
    instant board_read_at_;
    std::uint64_t writes_ = 0;
    std::size_t first_plan_ = 0; ///< Where the last step() left off.
    std::vector<issuer_event> events_;
};

} // namespace fennelladder::fleet

#endif
