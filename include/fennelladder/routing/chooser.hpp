// Which target takes a request.
//
//     chooser pick(options);
//     auto chosen = pick.choose({request, pool, table, match, index}, now,
//                               random);
//     if (!chosen)
//         wait(); // no usable target of the pool has room
//
// The choice has two steps: targets are ranked by how much of the prompt
// their cache is believed to hold, then one of the most relevant is taken by
// its predicted completion time. Relevance may cost some waiting, up to
// `patience`; beyond it the target that is done first is taken.
//
// Several nodes choose at once from the same late reports. So that they don't
// all pick the same target, the choice is random among those whose prediction
// is nearly as good as the best.
//
// Not thread safe: an object keeps scratch memory between calls.

#ifndef FENNELLADDER_ROUTING_CHOOSER_HPP
#define FENNELLADDER_ROUTING_CHOOSER_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/routing/prefix_index.hpp"
#include "fennelladder/routing/target_table.hpp"
#include "fennelladder/routing/types.hpp"

#include <optional>
#include <vector>

namespace fennelladder::routing {

/// How a chooser weighs.
struct chooser_options
{
    std::uint32_t block_tokens = 64; ///< Tokens of a block of a prefix.

    /// A target counts as relevant when it holds at least this share of the
    /// longest usable prefix.
    double relevant_share = 0.75;

    /// A relevant target is taken if its first token is later than the best
    /// completion's by no more than `patience` times the prefill that its cache
    /// saves. 0 ranks by predicted completion alone.
    double patience = 0.5;

    /// Weight of the time from the first token to the last: below 1, since
    /// callers read along, and it differs little between targets.
    double decode_weight = 0.1;

    /// Lower ranks may use a share of the targets set aside for higher ones
    /// when no other has room, not only when no other is usable. Gives them
    /// more under overload, and makes rank 0 a little slower.
    bool overflow_to_reserved = true;

    /// What a target that isn't set aside for rank 0 costs it more: engines
    /// serve it before all that waits, but not before the step under way,
    /// which lower ranks' prompts make long.
    duration interference = milliseconds(4);

    /// Predictions within this share of the best, or this time, are equal.
    double near_share = 0.05;
    duration near_time = milliseconds(1);
};

/// What would happen on a target, as predicted.
struct prediction
{
    double first_token = 0; ///< Seconds from dispatch.
    double completion = 0;  ///< Seconds from dispatch.
    double cost = 0;        ///< What targets are compared by.
    std::uint32_t cached_tokens = 0;
};

/// A chosen target.
struct choice
{
    target_slot slot = 0;
    prediction expected;
    std::uint32_t matched_blocks = 0;
};

/// What a choice is made from; all of it outlives the call.
struct choice_input
{
    const route_request& request;
    pool_id pool;
    const target_table& table;
    const prefix_match& match;
    const prefix_index& index;
};

class chooser
{
public:
    explicit chooser(chooser_options options = {}) : options_(options) {}

    /// The target for the request, or nothing if none has room. Targets in
    /// request.avoid are taken only if no other is usable.
    std::optional<choice> choose(const choice_input& input, instant now,
                                 random_source& random);

    /// What is predicted for the request at one target.
    prediction predict(const choice_input& input, target_slot slot,
                       instant now) const;

    /// What an idle target with `cached_tokens` of the prompt would do; the
    /// way there is left out.
    static prediction predict_idle(const route_request& request,
                                   const target_speed& speed,
                                   std::uint32_t cached_tokens);

    const chooser_options& options() const { return options_; }

private:
    struct candidate
    {
        target_slot slot;
        prediction expected;
    };

    prediction predict(const choice_input& input, target_slot slot,
                       const target_load& load) const;
    void gather(const choice_input& input, instant now);
    const candidate& pick(double worst, std::uint32_t least_cached,
                          random_source& random) const;

    chooser_options options_;
    std::vector<candidate> candidates_;
};

} // namespace fennelladder::routing

#endif
