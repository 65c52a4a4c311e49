// Requests that may be what kills targets ("poison"), and who may run them.
//
// A request that was running at a target when it died is a suspect, by its
// key and by its body. A suspect runs at most one more time, alone on its
// target; if that one dies too, the request is refused for good at every
// node. A suspect that is answered is cleared, and with it go the deaths it
// was suspected of.
//
//     run_permit permit = suspects.begin(marks, now);
//     if (permit.verdict == run_verdict::free) {
//         suspects.placed(permit.run, target, life);   // before sending
//         ...
//         suspects.ended(permit.run, run_end::answered, now);
//     }
//
// Nodes tell each other. The node that saw a death (the witness) pushes the
// record to every other node at once, and they answer with an ack:
//
//     for (peer : peers)                               // at the witness
//         suspects.on_ack(peer, send(peer, suspects.pending_for(peer)));
//     ack = suspects.merge(records, now);              // at the peer
//
// Only the witness may run the suspect again, and only once every node that
// may be running work has acked the death and runs no copy. From its ack on a
// peer starts none. So:
//
//     Of one request that kills every target it runs on, at most max(2, n)
//     targets die, where n is the number of nodes that began a copy before
//     they had heard of the first death.
//
// Keys bound to an origin run at one node, where copies of one body share one
// target until it is proved, so n is 1 for them. A caller that sends the body
// anew under another key, or a key without an origin, makes n grow by one per
// node it reaches before the push does: n stays at 2 or less unless three
// nodes got a copy within (time to die + time to notice + push delay).
//
// Records merge commutatively and idempotently: losing, repeating and
// reordering messages delays knowledge and does no more. Clocks of nodes are
// compared only to order a death and an answer of the same request; a wrong
// order costs an innocent request one more run alone.
//
// A body that was answered before and kills targets later (it isn't the same
// on each run) isn't isolated after its first death, but is refused after two
// that no answer followed.

#ifndef FENNELLADDER_REQUEST_SUSPECT_LIST_HPP
#define FENNELLADDER_REQUEST_SUSPECT_LIST_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::request {

/// A hash by which a request is recognised: of its key or of its body.
using suspect_mark = number_id<struct suspect_mark_tag>;

/// Number of one run at one node.
using run_number = number_id<struct run_number_tag>;

/// One life of a target process, as the target reports it; 0 if it doesn't.
/// By it nodes recognise that they saw the same death. Without it each counts
/// as a death of its own, and a target that restarts before it is probed
/// isn't seen to have died.
using target_life = number_id<struct target_life_tag>;

struct run_marks
{
    suspect_mark key;
    suspect_mark body;
};

/// Marks of a request. White space outside of quoted strings doesn't count,
/// so that a JSON body sent anew with another layout is the same body; the
/// order of its members does. Thread safe.
run_marks marks_of(const team_id& team, const request_key& key,
                   const model_id& model, std::string_view body);

/// One death of a target while the marked request ran there.
struct target_death
{
    std::uint64_t id = 0; ///< Of the target and its life.
    instant at;
    incarnation_id witness;

    friend bool operator==(const target_death&, const target_death&) = default;
};

/// What is known of one mark; what nodes exchange.
struct suspect_record
{
    suspect_mark mark;
    std::vector<target_death> deaths; ///< By id, each once.
    instant answered; ///< Last time it was answered; epoch if never.
    instant refused;  ///< Last time it was refused; epoch if never.

    friend bool operator==(const suspect_record&,
                           const suspect_record&) = default;
};

/// Joins `from` into `into`: commutative, associative and idempotent.
/// Precondition: same mark. Thread safe.
void join(suspect_record& into, const suspect_record& from);

/// A peer's answer to a record.
struct suspect_ack
{
    suspect_mark mark;
    std::uint64_t deaths = 0; ///< death_set_hash() of what the peer knows.
    bool running = false;     ///< The peer runs a copy now.
    instant answered;         ///< Last answer the peer knows of.
};

enum class run_verdict : std::uint8_t
{
    free,        ///< Run it as any other.
    same_target, ///< Only at `target`, where an unproved copy runs.
    alone,       ///< On a target that runs nothing else meanwhile.
    wait,        ///< Ask again after `retry_after`.
    elsewhere,   ///< Only `owner` may run it, until it was answered there.
    refused      ///< For good.
};

std::string_view to_string(run_verdict value);

struct run_permit
{
    run_verdict verdict = run_verdict::free;
    run_number run; ///< Of free, same_target and alone.
    target_id target;
    duration retry_after{0};
    incarnation_id owner;
};

enum class run_end : std::uint8_t
{
    answered, ///< The whole answer came: the request doesn't kill targets.
    stopped,  ///< Canceled, refused or never sent; the target lives.
    lost      ///< The connection broke or fell silent: in doubt until
              ///< target_died() or target_alive() is called.
};

struct suspect_list_options
{
    /// A record is forgotten this long after its last death or refusal, so
    /// one that is sent again and again stays refused.
    duration memory = hours(24);
    /// How long a cleared record overrules late news of its deaths.
    duration cleared_memory = minutes(10);
    /// Runs in doubt for longer count as having seen their target die.
    duration doubt_limit = seconds(10);
    /// How long a suspect waits for the acks of nodes that can't be reached
    /// before it runs without them. Unset: for ever, which keeps the bound;
    /// set, a request may kill one target per side of a partition.
    std::optional<duration> ack_patience;
    duration wait_hint = milliseconds(20);
    /// Retry-after of a suspect that another node may run.
    duration elsewhere_hint = seconds(1);
    std::size_t max_records = 20'000;
    std::size_t proved_slots = 4096; ///< Bodies remembered as answered.
};

/// An entry of the operator's list.
struct quarantined_request
{
    suspect_record record;
    bool for_good = false; ///< Else a suspect that may run once more.
};

/// Thread safe; its lock is a leaf: no other is taken under it.
class suspect_list
{
public:
    static constexpr std::size_t deaths_kept = 8;

    suspect_list(incarnation_id self, suspect_list_options options);

    /// Asks to run. A verdict of free, same_target or alone registers the run
    /// until ended(), or until the same key and body ask anew: a key has one
    /// run at a time. O(1) on average.
    run_permit begin(const run_marks& marks, instant now);

    /// The run is about to be sent to `target`. Precondition: begun.
    void placed(run_number run, const target_id& target, target_life life);

    /// The run is over here. Runs unknown by now (their target died) are
    /// passed over.
    void ended(run_number run, run_end how, instant now);

    /// The target died, or came back with another life: every run placed
    /// there that isn't over, or is in doubt, is a suspect from now on.
    /// True if there is news to push.
    bool target_died(const target_id& target, target_life life, instant now);

    /// The target was reached over a fresh connection and reports `life`:
    /// runs in doubt there are over. True if there is news to push, because
    /// it reports another life.
    bool target_alive(const target_id& target, target_life life, instant now);

    /// Every other incarnation that may be running work, reachable or not:
    /// all but those known to be gone for good.
    void set_peers(std::set<incarnation_id> peers);

    /// Records this node witnessed that `peer` hasn't acked as they are now,
    /// or acked while it ran a copy.
    std::vector<suspect_record> pending_for(const incarnation_id& peer) const;

    /// Takes records of a peer. The acks are for the peer they came from.
    std::vector<suspect_ack> merge(std::span<const suspect_record> records,
                                   instant now);

    /// Takes the acks of a peer.
    void on_ack(const incarnation_id& peer, std::span<const suspect_ack> acks);

    /// Up to `limit` records changed after `cursor`, and the cursor to go on
    /// from: for a node that starts, and for peers that compare now and then.
    std::pair<std::vector<suspect_record>, std::uint64_t>
    changes_since(std::uint64_t cursor, std::size_t limit) const;

    /// An operator says the request is harmless. False if it isn't known.
    bool forgive(suspect_mark mark, instant now);

    /// What is suspected or refused now.
    std::vector<quarantined_request> quarantined(instant now) const;

    /// Forgets what is old; settles doubts that lasted too long. For a timer.
    /// True if there is news to push.
    bool expire(instant now);

private:
    struct run_state
    {
        run_marks marks;
        target_id target; ///< Empty until placed.
        target_life life;
        instant doubted_since; ///< Epoch: not in doubt.
        bool alone = false;
    };

    struct peer_ack
    {
        std::uint64_t deaths = 0;
        bool running = false;
    };

    struct known_record
    {
        suspect_record record;
        std::uint64_t changed = 0; ///< Value of changes_ at its last change.
        std::map<incarnation_id, peer_ack> acks;
        bool witnessed = false; ///< This node pushes it.
        bool alone_now = false; ///< Its run alone is under way here.
    };

    enum class standing : std::uint8_t
    {
        clear,
        suspect,
        condemned
    };

    static standing standing_of(const suspect_record& record);
    static const target_death& first_death(const suspect_record& record);
    known_record* find(suspect_mark mark);
    known_record& touch(suspect_mark mark);
    static bool is_settled(const known_record& it, const peer_ack& ack);
    bool may_run_alone(const known_record& it, instant now) const;
    run_permit judge_record(known_record& it, instant now);
    run_permit judge_copies(suspect_mark body) const;
    void end_earlier_attempt(const run_marks& marks);
    run_number add_run(const run_marks& marks, bool alone);
    void remove_run(run_number run);
    void count_copy(suspect_mark mark, run_number run);
    void discount_copy(suspect_mark mark, run_number run);
    void note_death(const run_state& run, instant now);
    void note_answer(const run_state& run, instant now);
    void set_proved(suspect_mark mark, instant at);
    instant proved_at(suspect_mark mark) const;
    bool blame(const std::vector<run_number>& runs, instant now);
    void forget_old(instant now);

    const incarnation_id self_;
    const suspect_list_options options_;
    mutable std::mutex mutex_;
    // All below are guarded by mutex_. copies_ lists the runs of runs_ by
    // each of their marks; changes_ grows with each change of a record.
    std::unordered_map<suspect_mark, known_record> records_;
    std::unordered_map<run_number, run_state> runs_;
    std::unordered_map<suspect_mark, std::vector<run_number>> copies_;
    std::vector<std::pair<suspect_mark, instant>> proved_;
    std::set<incarnation_id> peers_;
    std::uint64_t changes_ = 0;
    run_number last_run_;
};

} // namespace fennelladder::request

#endif
