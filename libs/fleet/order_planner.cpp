// An engine's steps, in this order: adapters that are missing from a model
// that is ready; models that are missing, if there is a free slot, else after
// one that nobody wants was unloaded; the role; what is left over. Each call
// looks at the whole state again, so it doesn't matter how the engine came to
// it (a restart that forgot everything, someone else's order).

#include "fennelladder/fleet/order_planner.hpp"

#include <algorithm>

namespace fennelladder::fleet {

namespace {

constexpr std::size_t enough_for_reserve = 3;

order_step make_step(order_kind kind, const engine_plan& plan)
{
    order_step out;
    out.what = step_kind::order;
    out.order.kind = kind;
    out.order.target = plan.target;
    out.order.role = plan.role;
    out.loads =
        kind == order_kind::load_model || kind == order_kind::load_adapter;
    return out;
}

order_step model_step(order_kind kind, const engine_plan& plan,
                      const model_ref& model)
{
    order_step out = make_step(kind, plan);
    out.order.model = model;
    return out;
}

std::optional<model_ref> unwanted_model(const engine_plan& wanted,
                                        const engine_plan& tolerated,
                                        const engine_state& state)
{
    for (const auto& [ref, it] : state.models) {
        const bool keep =
            wanted.models.contains(ref) || tolerated.models.contains(ref);
        if (!keep)
            return ref;
    }
    return std::nullopt;
}

std::optional<order_step> adapter_step(const engine_plan& wanted,
                                       const engine_state& state)
{
    for (const auto& [ref, adapters] : wanted.models) {
        const auto it = state.models.find(ref);
        if (it == state.models.end() || it->second.phase != load_phase::ready)
            continue;
        for (const adapter_id& adapter : adapters) {
            if (it->second.adapters.contains(adapter))
                continue;
            order_step out = model_step(order_kind::load_adapter, wanted, ref);
            out.order.adapter = adapter;
            return out;
        }
    }
    return std::nullopt;
}

// An engine that is to hold several models has room for them.
std::size_t slots_of(const engine_plan& wanted)
{
    return std::max<std::size_t>(wanted.model_slots, wanted.models.size());
}

std::optional<order_step> missing_model_step(const engine_plan& wanted,
                                             const engine_plan& tolerated,
                                             const engine_state& state)
{
    for (const auto& [ref, adapters] : wanted.models) {
        const auto it = state.models.find(ref);
        if (it != state.models.end()) {
            if (it->second.phase != load_phase::failed)
                continue;
            order_step out = model_step(order_kind::load_model, wanted, ref);
            out.what = step_kind::failed;
            return out;
        }
        if (state.models.size() < slots_of(wanted))
            return model_step(order_kind::load_model, wanted, ref);
        if (const auto old = unwanted_model(wanted, tolerated, state))
            return model_step(order_kind::unload_model, wanted, *old);
        // What is only tolerated has to give way to what is wanted.
        for (const auto& [other, loaded] : state.models) {
            if (!wanted.models.contains(other))
                return model_step(order_kind::unload_model, wanted, other);
        }
    }
    return std::nullopt;
}

std::optional<order_step> leftover_step(const engine_plan& wanted,
                                        const engine_plan& tolerated,
                                        const engine_state& state)
{
    if (const auto old = unwanted_model(wanted, tolerated, state))
        return model_step(order_kind::unload_model, wanted, *old);
    for (const auto& [ref, adapters] : wanted.models) {
        const auto it = state.models.find(ref);
        if (it == state.models.end())
            continue;
        for (const adapter_id& adapter : it->second.adapters) {
            if (adapters.contains(adapter))
                continue;
            order_step out =
                model_step(order_kind::unload_adapter, wanted, ref);
            out.order.adapter = adapter;
            return out;
        }
    }
    return std::nullopt;
}

order_step first_step(const engine_plan& wanted, const engine_plan& tolerated,
                      const engine_state& state)
{
    if (auto step = adapter_step(wanted, state))
        return *step;
    if (auto step = missing_model_step(wanted, tolerated, state))
        return *step;
    if (state.role != wanted.role)
        return make_step(order_kind::change_role, wanted);
    return leftover_step(wanted, tolerated, state).value_or(order_step());
}

bool intersects(const std::set<offer>& a, const std::set<offer>& b)
{
    return std::ranges::any_of(a,
                               [&](const offer& it) { return b.contains(it); });
}

bool serves(const engine_view& engine, const need& it)
{
    return engine.state && !engine.claimed &&
           intersects(offers_of(*engine.state), it.any_of);
}

bool planned_for(const engine_plan& plan, const need& it)
{
    return std::ranges::any_of(it.any_of, [&](const offer& o) {
        return std::ranges::any_of(plan.models, [&](const auto& entry) {
            return entry.first.model == o.model.model;
        });
    });
}

// How many engines must go on serving `it` besides the one that is taken.
std::size_t required(const need& it, const std::vector<engine_view>& fleet)
{
    std::size_t planned = 0;
    bool ignores = false;
    for (const engine_view& engine : fleet) {
        if (!planned_for(engine.plan, it))
            continue;
        ++planned;
        ignores = ignores || !engine.plan.checks_fencing;
    }
    const bool reserve = ignores && planned >= enough_for_reserve;
    return it.minimum + (reserve ? 1 : 0);
}

} // namespace

std::string_view to_string(engine_role role)
{
    switch (role) {
    case engine_role::mixed:
        return "mixed";
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    }
    return "unknown";
}

std::string_view to_string(order_kind kind)
{
    switch (kind) {
    case order_kind::load_model:
        return "load_model";
    case order_kind::unload_model:
        return "unload_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::unload_adapter:
        return "unload_adapter";
    case order_kind::change_role:
        return "change_role";
    }
    return "unknown";
}

order_step next_step(const engine_plan& wanted, const engine_plan& tolerated,
                     const engine_state& state)
{
    const bool loading = std::ranges::any_of(state.models, [](const auto& it) {
        return it.second.phase == load_phase::loading;
    });
    if (loading) {
        order_step out;
        out.what = step_kind::wait;
        return out;
    }
    order_step out = first_step(wanted, tolerated, state);
    out.takes_away = out.what == step_kind::order &&
                     offers_after(state, out.order) != offers_of(state);
    return out;
}

std::set<offer> offers_of(const engine_state& state)
{
    std::set<offer> out;
    for (const auto& [ref, it] : state.models) {
        if (it.phase != load_phase::ready)
            continue;
        out.insert({ref, {}});
        for (const adapter_id& adapter : it.adapters)
            out.insert({ref, adapter});
    }
    return out;
}

std::set<offer> offers_after(const engine_state& state,
                             const engine_order& order)
{
    engine_state after = state;
    if (order.kind == order_kind::change_role)
        after.models.clear();
    else if (order.kind == order_kind::unload_model)
        after.models.erase(order.model);
    else if (order.kind == order_kind::unload_adapter)
        after.models[order.model].adapters.erase(order.adapter);
    return offers_of(after);
}

std::string uncovered_need(const std::vector<need>& needs,
                           const std::vector<engine_view>& fleet,
                           const engine_view& target, const engine_order& order)
{
    if (!target.state)
        return {};
    const std::set<offer> before = offers_of(*target.state);
    const std::set<offer> after = offers_after(*target.state, order);
    for (const need& it : needs) {
        const bool loses =
            intersects(before, it.any_of) && !intersects(after, it.any_of);
        if (!loses)
            continue;
        const auto remaining = static_cast<std::size_t>(
            std::ranges::count_if(fleet, [&](const engine_view& engine) {
                return engine.plan.target != target.plan.target &&
                       serves(engine, it);
            }));
        if (remaining < required(it, fleet))
            return it.name;
    }
    return {};
}

} // namespace fennelladder::fleet
