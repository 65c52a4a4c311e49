// The one record that all issuers share: which engines are being worked on,
// and how far each model's roll-out is.
//
//     admission answer = admit(board, request, limits, now);
//     if (answer.granted)
//         store.put(key, encode(answer.board), unchanged(version));
//
// It is one object of the platform, changed by conditional writes only, so
// that two issuers never both believe to be the one who may take an engine
// out, nor go beyond the weight store's share. That needs no clock: an entry
// stays until the engine's issuer, or its successor, has brought the engine
// to what it should hold.
//
// A roll-out goes to one engine first (the canary). When that has held the
// new version for `soak`, the others follow, `max_unavailable` at a time.
// A load that fails stops it: engines that have the new version keep it, the
// others stay at or return to the previous one, until the configuration
// names another version.

#ifndef FENNELLADDER_FLEET_ROLLOUT_BOARD_HPP
#define FENNELLADDER_FLEET_ROLLOUT_BOARD_HPP

#include "fennelladder/base/time.hpp"
#include "fennelladder/fleet/order_planner.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace fennelladder::fleet {

struct model_rollout
{
    generation of;          ///< Configuration that asked for it.
    model_version version;  ///< Being rolled out, or already everywhere.
    model_version previous; ///< Empty: there was none.
    target_id canary;
    std::optional<instant> canary_ready; ///< Since when it has the version.
    bool canary_passed = false;
    bool stopped = false;
    std::string reason;       ///< Why it stopped.
    std::set<target_id> done; ///< Engines that have had the version.
};

/// An engine that is being worked on.
struct engine_work
{
    fencing_number fence; ///< Of the issuer who wrote this.
    instant since;
    bool unavailable = false; ///< Something was or is being taken away.
    bool loading = false;     ///< Holds a slot of the weight store.
    model_id model;           ///< Which the work is about.
};

struct rollout_board
{
    std::map<model_id, model_rollout> rollouts;
    std::map<target_id, engine_work> work;
};

struct board_limits
{
    std::size_t max_unavailable = 1; ///< Engines per model, by us.
    std::size_t max_loads = 4;       ///< At the weight store, at a time.
    duration soak = seconds(30);     ///< Of the canary.
};

/// What an issuer knows of the configuration as a whole.
struct rollout_context
{
    generation in_force;
    std::set<target_id> targets; ///< All engines.
    /// Models of which engines are to hold different versions for good. They
    /// have no roll-out: each engine goes to its version directly.
    std::set<model_id> split;
};

/// Why an engine has to wait.
enum class admission_verdict : std::uint8_t
{
    granted,
    unavailable_limit, ///< Others of this model are out already.
    load_limit,        ///< The weight store is busy.
    outdated           ///< An issuer with a higher fencing number is at it.
};

std::string_view to_string(admission_verdict verdict);

struct admission
{
    admission_verdict verdict = admission_verdict::granted;
    rollout_board board; ///< To be written if granted.
};

/// Whether `step` may be taken for its engine now.
admission admit(const rollout_board& board, const order_step& step,
                fencing_number fence, const board_limits& limits, instant now);

/// What the engine should hold now, given the roll-outs: the version in
/// `plan`, or the previous one.
engine_plan effective_plan(const rollout_board& board, const engine_plan& plan,
                           const engine_state& state);

/// Notes of an engine's issuer. Each returns whether the board changed.
///
/// Starts the roll-outs of versions in `plan` that the board doesn't know,
/// with this engine as the canary; also when the canary has left. A roll-out
/// of a later configuration is left alone: our configuration is behind.
bool note_plan(rollout_board& board, const engine_plan& plan,
               const engine_state& state, const rollout_context& context);

/// The engine holds what it should.
bool note_done(rollout_board& board, const engine_plan& plan,
               const engine_state& state, const board_limits& limits,
               instant now);

/// A load of `model` failed at the engine, or it died of it. Stops the
/// roll-out, unless the engine had the version before (then it's the engine).
bool note_failed(rollout_board& board, const target_id& target,
                 const model_ref& model, const std::string& reason);

/// The engine doesn't answer, and nobody was at work on it: it can't be a
/// canary. Another engine becomes it.
bool note_silent(rollout_board& board, const target_id& target);

/// The object's value (JSON).
std::string encode(const rollout_board& board);

/// Fails with `corrupt`.
result<rollout_board> decode_board(std::string_view bytes);

} // namespace fennelladder::fleet

#endif
