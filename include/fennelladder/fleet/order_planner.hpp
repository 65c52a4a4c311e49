// The next order for one engine, and whether the fleet can spare what that
// order takes away. Pure functions.
//
//     order_step step = next_step(plan, plan, state);
//     if (step.what == step_kind::order && step.takes_away &&
//         !uncovered_need(needs, fleet, plan, step.order).empty())
//         wait();
//
// Steps come in an order that keeps an engine useful for as long as possible:
// what is missing is loaded beside what is there when it fits, and only then
// the old is unloaded.

#ifndef FENNELLADDER_FLEET_ORDER_PLANNER_HPP
#define FENNELLADDER_FLEET_ORDER_PLANNER_HPP

#include "fennelladder/fleet/engine_orders.hpp"

#include <optional>
#include <string>
#include <vector>

namespace fennelladder::fleet {

enum class step_kind : std::uint8_t
{
    none,   ///< The engine holds what it should.
    wait,   ///< It's at work.
    failed, ///< A load failed; `order` would try it again.
    order
};

struct order_step
{
    step_kind what = step_kind::none;
    engine_order order;      ///< Without its fencing number.
    bool takes_away = false; ///< Something served now no longer will be.
    bool loads = false;      ///< The weight store will be read.
};

/// The next step towards `wanted`. What is in `tolerated` but not in `wanted`
/// is neither loaded nor unloaded (during a roll-out the configuration's own
/// plan is tolerated while an older version is still wanted). O(models).
order_step next_step(const engine_plan& wanted, const engine_plan& tolerated,
                     const engine_state& state);

/// What a caller can ask an engine for: a version, maybe with an adapter.
struct offer
{
    model_ref model;
    adapter_id adapter; ///< Empty: none.

    friend auto operator<=>(const offer&, const offer&) = default;
};

/// Something teams rely on: at least `minimum` engines that have one of the
/// offers. Derived from what teams may use; equal needs are given once.
struct need
{
    std::string name; ///< For messages, such as a team's.
    std::set<offer> any_of;
    std::size_t minimum = 1;
};

/// An engine of the fleet as the issuer knows it.
struct engine_view
{
    engine_plan plan;
    std::optional<engine_state> state; ///< None: it didn't answer just now.
    bool claimed = false;              ///< Someone is taking it out of service.
};

std::set<offer> offers_of(const engine_state& state);

/// What `state` offers after `order` took effect. A change of role counts as
/// nothing at all, since the engine drops what it has meanwhile.
std::set<offer> offers_after(const engine_state& state,
                             const engine_order& order);

/// Name of a need that would be left without enough engines if `order` was
/// given to the engine of `target`, or empty. `fleet` holds the other engines
/// (the target itself is passed over).
///
/// While any engine of a need ignores fencing numbers, and it has three or
/// more, one engine above the minimum has to remain: an order of an issuer
/// that was paused may still take one of them away.
std::string uncovered_need(const std::vector<need>& needs,
                           const std::vector<engine_view>& fleet,
                           const engine_view& target,
                           const engine_order& order);

} // namespace fennelladder::fleet

#endif
