// One pass predicts for each target of the pool that has room; a second picks
// among those that are relevant and near the best. Both are linear in the
// pool, without allocation once the scratch vector has grown: the walk costs
// less than keeping targets sorted by a load that changes with each report.
//
// The prediction is work that lies ahead of the request on the target, each
// part over the speed that the target is known for:
//
//     first token = way there and back + prompt tokens that wait there
//                   + slots that have to come free + own uncached tokens
//     completion  = first token + output tokens x step at that load

#include "fennelladder/routing/chooser.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace fennelladder::routing {

namespace {

double step_seconds(const target_rates& rates, double sequences)
{
    return rates.step + rates.step_per_sequence * sequences;
}

// Prompt tokens go through in chunks, each of which shares a step with the
// sequences that decode.
double prefill_seconds(const target_rates& rates, double prompt_tokens,
                       double step)
{
    const double steps = std::ceil(prompt_tokens / rates.prefill_chunk);
    return prompt_tokens * rates.prefill_per_token +
           std::max(1.0, steps) * step;
}

enum class tier : std::uint8_t
{
    open,
    set_aside,
    failed
};

bool contains(const std::vector<target_id>& ids, const target_id& id)
{
    return std::ranges::find(ids, id) != ids.end();
}

} // namespace

std::optional<choice> chooser::choose(const choice_input& input, instant now,
                                      random_source& random)
{
    gather(input, now);
    if (candidates_.empty())
        return std::nullopt;
    const candidate* best = &candidates_.front();
    std::uint32_t most_cached = 0;
    for (const candidate& it : candidates_) {
        if (it.expected.cost < best->expected.cost)
            best = &it;
        most_cached = std::max(most_cached, it.expected.cached_tokens);
    }
    const auto relevant = static_cast<std::uint32_t>(
        std::ceil(options_.relevant_share * most_cached));
    const candidate* near = nullptr;
    for (const candidate& it : candidates_) {
        if (it.expected.cached_tokens >= relevant &&
            (near == nullptr || it.expected.cost < near->expected.cost))
            near = &it;
    }
    const double saved =
        (1.0 * near->expected.cached_tokens - best->expected.cached_tokens) *
        input.table.rates(near->slot).prefill_per_token;
    const double later =
        near->expected.first_token - best->expected.first_token;
    const candidate& chosen = later <= options_.patience * saved
                                  ? pick(near->expected.cost, relevant, random)
                                  : pick(best->expected.cost, 0, random);
    return choice{chosen.slot, chosen.expected,
                  input.match.blocks(chosen.slot)};
}

prediction chooser::predict(const choice_input& input, target_slot slot,
                            instant now) const
{
    return predict(input, slot,
                   input.table.load(slot, input.request.rank, now));
}

prediction chooser::predict(const choice_input& input, target_slot slot,
                            const target_load& load) const
{
    const route_request& request = input.request;
    const target_rates& rates = input.table.rates(slot);
    const double matched = input.match.blocks(slot) * options_.block_tokens *
                           input.index.confidence(slot);
    prediction seen;
    seen.cached_tokens = std::min(static_cast<std::uint32_t>(matched),
                                  std::max(1U, request.prompt_tokens) - 1);
    const double uncached = request.prompt_tokens - seen.cached_tokens;
    const double running = std::min(load.in_flight, rates.slots);
    const double step = step_seconds(rates, running);
    double wait = load.prefill * rates.prefill_per_token;
    const double ahead = load.up_to_rank + 1 - rates.slots;
    if (ahead > 0)
        wait += ahead / rates.slots * request.output_tokens * step;
    seen.first_token =
        2 * rates.network + wait + prefill_seconds(rates, uncached, step);
    const double decode = request.output_tokens * step;
    seen.completion = seen.first_token + decode;
    seen.cost = seen.first_token + options_.decode_weight * decode;
    if (request.rank == 0 &&
        input.table.reserved_up_to(slot) >= priority_levels)
        seen.cost += to_seconds(options_.interference);
    return seen;
}

prediction chooser::predict_idle(const route_request& request,
                                 const target_speed& speed,
                                 std::uint32_t cached_tokens)
{
    assert(cached_tokens <= request.prompt_tokens);
    const double step = step_seconds(rates_of(speed), 1);
    prediction seen;
    seen.first_token = prefill_seconds(
        rates_of(speed), request.prompt_tokens - cached_tokens, step);
    seen.completion = seen.first_token + request.output_tokens * step;
    return seen;
}

// Targets come in tiers: those for all, those set aside for higher ranks, and
// those where the request has failed. The last comes in only when no other
// target is usable, however full the others are.
void chooser::gather(const choice_input& input, instant now)
{
    candidates_.clear();
    const route_request& request = input.request;
    const auto tier_of = [&](target_slot slot) {
        if (!request.avoid.empty() &&
            contains(request.avoid, input.table.info(slot).id))
            return tier::failed;
        return request.rank > input.table.reserved_up_to(slot) ? tier::set_aside
                                                               : tier::open;
    };
    bool any_usable = false;
    for (const tier wanted : {tier::open, tier::set_aside, tier::failed}) {
        for (const target_slot slot : input.table.members(input.pool)) {
            if (tier_of(slot) != wanted)
                continue;
            const target_load load = input.table.load(slot, request.rank, now);
            any_usable |= load.usable;
            if (load.room)
                candidates_.push_back({slot, predict(input, slot, load)});
        }
        const bool overflow =
            options_.overflow_to_reserved && wanted == tier::open;
        if (overflow ? !candidates_.empty() : any_usable)
            return;
    }
}

const chooser::candidate& chooser::pick(double best, std::uint32_t least_cached,
                                        random_source& random) const
{
    const double worst = std::max(best * (1 + options_.near_share),
                                  best + to_seconds(options_.near_time));
    const candidate* chosen = nullptr;
    std::uint64_t near = 0;
    for (const candidate& it : candidates_) {
        if (it.expected.cached_tokens < least_cached ||
            it.expected.cost > worst)
            continue;
        ++near;
        if (random.below(near) == 0)
            chosen = &it;
    }
    return *chosen;
}

} // namespace fennelladder::routing
