#include "fennelladder/fleet/rollout_board.hpp"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>

namespace fennelladder::fleet {

namespace {

using nlohmann::json;

bool has_ready(const engine_state& state, const model_ref& model)
{
    const auto it = state.models.find(model);
    return it != state.models.end() && it->second.phase == load_phase::ready;
}

model_version ready_version_besides(const engine_state& state,
                                    const model_ref& model)
{
    for (const auto& [ref, it] : state.models) {
        if (ref.model == model.model && ref.version != model.version &&
            it.phase == load_phase::ready)
            return ref.version;
    }
    return {};
}

bool start_rollout(rollout_board& board, const engine_plan& plan,
                   const engine_state& state, const model_ref& model,
                   const rollout_context& context)
{
    model_rollout next;
    next.of = context.in_force;
    next.version = model.version;
    next.canary = plan.target;
    const auto it = board.rollouts.find(model.model);
    if (it != board.rollouts.end()) {
        const model_rollout& last = it->second;
        if (last.of > context.in_force)
            return false;
        const bool same = last.version == model.version;
        const bool canary_left =
            !last.canary_passed && !context.targets.contains(last.canary);
        if (same && (last.stopped || !canary_left))
            return false;
        const bool last_went_well = last.canary_passed && !last.stopped;
        next.previous = same || !last_went_well ? last.previous : last.version;
    } else {
        next.previous = ready_version_besides(state, model);
    }
    // Back to the version that served before: that one is proven.
    const bool known = next.previous == next.version;
    if (known)
        next.previous = {};
    // With nothing served before, there is nothing that a canary protects.
    next.canary_passed = next.previous.empty();
    board.rollouts[model.model] = std::move(next);
    return true;
}

json to_json(const model_rollout& it)
{
    json done = json::array();
    for (const target_id& target : it.done)
        done.push_back(target.str());
    json out = {
        {"generation", it.of.value()}, {"done", done},
        {"version", it.version.str()}, {"previous", it.previous.str()},
        {"canary", it.canary.str()},   {"canary_passed", it.canary_passed},
        {"stopped", it.stopped},       {"reason", it.reason}};
    if (it.canary_ready)
        out["canary_ready_ns"] = to_nanoseconds(*it.canary_ready);
    return out;
}

model_rollout rollout_from_json(const json& from)
{
    model_rollout out;
    out.of = generation(from.at("generation").get<std::uint64_t>());
    for (const json& target : from.at("done"))
        out.done.insert(target_id(target.get<std::string>()));
    out.version = model_version(from.at("version").get<std::string>());
    out.previous = model_version(from.at("previous").get<std::string>());
    out.canary = target_id(from.at("canary").get<std::string>());
    out.canary_passed = from.at("canary_passed").get<bool>();
    out.stopped = from.at("stopped").get<bool>();
    out.reason = from.at("reason").get<std::string>();
    if (from.contains("canary_ready_ns")) {
        const auto count = from.at("canary_ready_ns").get<std::int64_t>();
        out.canary_ready = from_nanoseconds(count);
    }
    return out;
}

json to_json(const engine_work& it)
{
    return {{"fence", it.fence.value()},
            {"since_ns", to_nanoseconds(it.since)},
            {"unavailable", it.unavailable},
            {"loading", it.loading},
            {"model", it.model.str()}};
}

engine_work work_from_json(const json& from)
{
    engine_work out;
    out.fence = fencing_number(from.at("fence").get<std::uint64_t>());
    out.since = from_nanoseconds(from.at("since_ns").get<std::int64_t>());
    out.unavailable = from.at("unavailable").get<bool>();
    out.loading = from.at("loading").get<bool>();
    out.model = model_id(from.at("model").get<std::string>());
    return out;
}

} // namespace

std::string_view to_string(admission_verdict verdict)
{
    switch (verdict) {
    case admission_verdict::granted:
        return "granted";
    case admission_verdict::unavailable_limit:
        return "other engines of the model are out of service";
    case admission_verdict::load_limit:
        return "the weight store's slots are taken";
    case admission_verdict::outdated:
        return "a later issuer works on the engine";
    }
    return "unknown";
}

admission admit(const rollout_board& board, const order_step& step,
                fencing_number fence, const board_limits& limits, instant now)
{
    const target_id& target = step.order.target;
    const auto own = board.work.find(target);
    if (own != board.work.end() && own->second.fence > fence)
        return {admission_verdict::outdated, {}};
    std::size_t out_of_service = 0;
    std::size_t loads = 0;
    for (const auto& [other, it] : board.work) {
        if (other == target)
            continue;
        // A change of role concerns all of an engine's models, so it counts
        // against every model.
        const bool concerns = it.model.empty() ||
                              step.order.model.model.empty() ||
                              it.model == step.order.model.model;
        out_of_service += it.unavailable && concerns ? 1 : 0;
        loads += it.loading ? 1 : 0;
    }
    if (step.takes_away && out_of_service >= limits.max_unavailable)
        return {admission_verdict::unavailable_limit, {}};
    if (step.loads && loads >= limits.max_loads)
        return {admission_verdict::load_limit, {}};
    admission out;
    out.board = board;
    engine_work& work = out.board.work[target];
    if (own == board.work.end())
        work.since = now;
    work.fence = fence;
    work.model = step.order.model.model;
    work.unavailable = work.unavailable || step.takes_away;
    work.loading = step.loads;
    return out;
}

engine_plan effective_plan(const rollout_board& board, const engine_plan& plan,
                           const engine_state& state)
{
    engine_plan out = plan;
    for (const auto& [ref, adapters] : plan.models) {
        const auto it = board.rollouts.find(ref.model);
        if (it == board.rollouts.end())
            continue;
        const model_rollout& rollout = it->second;
        const bool about_this = rollout.version == ref.version;
        const bool follows =
            rollout.canary_passed || rollout.canary == plan.target;
        const bool go = about_this && (has_ready(state, ref) ||
                                       (follows && !rollout.stopped));
        // The board is ahead of our plan or behind it; what is proven holds.
        const bool proven = rollout.canary_passed && !rollout.stopped;
        const model_version before =
            !about_this && proven ? rollout.version : rollout.previous;
        if (go || before.empty())
            continue;
        out.models.erase(ref);
        out.models.emplace(model_ref{ref.model, before}, adapters);
    }
    return out;
}

bool note_plan(rollout_board& board, const engine_plan& plan,
               const engine_state& state, const rollout_context& context)
{
    bool changed = false;
    for (const auto& [ref, adapters] : plan.models) {
        if (context.split.contains(ref.model))
            changed |= board.rollouts.erase(ref.model) > 0;
        else
            changed |= start_rollout(board, plan, state, ref, context);
    }
    return changed;
}

bool note_done(rollout_board& board, const engine_plan& plan,
               const engine_state& state, const board_limits& limits,
               instant now)
{
    bool changed = board.work.erase(plan.target) > 0;
    for (const auto& [ref, adapters] : plan.models) {
        const auto it = board.rollouts.find(ref.model);
        if (it == board.rollouts.end())
            continue;
        model_rollout& rollout = it->second;
        if (rollout.version != ref.version || !has_ready(state, ref))
            continue;
        changed |= rollout.done.insert(plan.target).second;
        const bool soaking = rollout.canary == plan.target &&
                             !rollout.canary_passed && !rollout.stopped;
        if (!soaking)
            continue;
        if (!rollout.canary_ready) {
            rollout.canary_ready = now;
            changed = true;
        }
        if (now - *rollout.canary_ready >= limits.soak) {
            rollout.canary_passed = true;
            changed = true;
        }
    }
    return changed;
}

bool note_failed(rollout_board& board, const target_id& target,
                 const model_ref& model, const std::string& reason)
{
    const auto it = board.rollouts.find(model.model);
    if (it == board.rollouts.end() || it->second.stopped ||
        it->second.version != model.version || it->second.previous.empty())
        return false;
    const bool had_it = it->second.done.contains(target);
    const bool soaking =
        it->second.canary == target && !it->second.canary_passed;
    if (had_it && !soaking)
        return false;
    it->second.stopped = true;
    it->second.reason = target.str() + ": " + reason;
    return true;
}

bool note_silent(rollout_board& board, const target_id& target)
{
    bool changed = false;
    if (board.work.contains(target))
        return false;
    for (auto& [model, it] : board.rollouts) {
        const bool waiting = it.canary == target && !it.canary_passed &&
                             !it.stopped && !it.done.contains(target);
        if (!waiting)
            continue;
        it.canary = target_id();
        changed = true;
    }
    return changed;
}

std::string encode(const rollout_board& board)
{
    json rollouts = json::object();
    for (const auto& [model, it] : board.rollouts)
        rollouts[model.str()] = to_json(it);
    json work = json::object();
    for (const auto& [target, it] : board.work)
        work[target.str()] = to_json(it);
    return json{{"rollouts", rollouts}, {"work", work}}.dump();
}

result<rollout_board> decode_board(std::string_view bytes)
{
    try {
        const json from = json::parse(bytes);
        rollout_board out;
        for (const auto& [model, it] : from.at("rollouts").items())
            out.rollouts[model_id(model)] = rollout_from_json(it);
        for (const auto& [target, it] : from.at("work").items())
            out.work[target_id(target)] = work_from_json(it);
        return out;
    } catch (const std::exception& ex) {
        return fail(error_code::corrupt, std::string("board: ") + ex.what());
    }
}

} // namespace fennelladder::fleet
