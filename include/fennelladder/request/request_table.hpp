// The requests one node runs or remembers, by (team, key).
//
// A retry under a key that is running joins the run; a key that has ended is
// answered from memory. That is what keeps a request bound to this node from
// running twice, without a store.
//
//     admission got = table.admit(arrival, now);
//     if (got.verdict == admit_verdict::run)
//         run(machine, got.stream);          // then:
//     table.finish(team, key, machine.end(), now);
//
// Memory. Outcomes of what ran, or may have, are kept for `retention` after
// their end and, beyond it, until mark_durable() says that the journal has
// what must last; then they may be forgotten. A key of which nothing ran is
// forgotten at once: its retry is as good as the first try. Small answers are
// kept whole while their memory lasts. A repeated key whose text is gone runs
// again if it's idempotent, else it's told `answered_before` with the text's
// digest. When `max_keys` are held, none is forgotten early: new ones are
// turned away with `too_many_keys`.
//
// First arrivals. A key bound to this node that isn't found is new if its
// origin was issued less than `retention` ago, since it can't have been
// forgotten yet. An older one may have run. What must not run twice is a first
// arrival only if it's new and bound here, or its key was made here; any other
// needs a claim, which the journal refuses for a key whose outcome it holds.
// What is idempotent is a first arrival unless it's known here, or an old or
// another node's origin hints at an earlier try.

#ifndef FENNELLADDER_REQUEST_REQUEST_TABLE_HPP
#define FENNELLADDER_REQUEST_REQUEST_TABLE_HPP

#include "fennelladder/request/answer_stream.hpp"
#include "fennelladder/request/request_machine.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::request {

struct request_table_options
{
    std::size_t shards = 64; ///< Locks; a power of two isn't needed.
    /// Of the hash by which keys are held; to be drawn anew by each process.
    std::uint64_t seed = 0;
    duration retention = minutes(10);
    std::size_t max_keys = 100'000;       ///< Running and remembered.
    std::size_t stream_limit = 1'000'000; ///< Bytes of a running answer.
    std::size_t small_answer = 8'000;     ///< Larger texts aren't kept.
    std::size_t text_memory = 16'000'000; ///< All kept texts.
};

/// How the key of an arriving request came about.
enum class key_binding : std::uint8_t
{
    made_here, ///< Drawn by this node; nobody else can know it.
    bound_here,
    bound_elsewhere, ///< Its origin can't be asked; idempotent only.
    unbound
};

struct arrival
{
    team_id team;
    request_key key;
    std::string body_digest; ///< digest128 of what is to be run.
    bool idempotent = true;
    key_binding binding = key_binding::unbound;
    instant issued; ///< Of the origin, if bound_here.
};

enum class admit_verdict : std::uint8_t
{
    run,    ///< Run it, then call finish(). `stream` is to be filled.
    join,   ///< It is running: read `stream`.
    await,  ///< It is being given up: await the end of `stream`, admit anew.
    replay, ///< It was answered: `text` is the whole answer.
    reply   ///< `reply` is all there is to say.
};

std::string_view to_string(admit_verdict value);

struct admission
{
    admit_verdict verdict = admit_verdict::reply;
    std::shared_ptr<answer_stream> stream;
    std::string text;
    outcome_reply reply;        ///< Of replay and reply.
    tokens billed_before;       ///< Of run, for request_traits.
    bool first_arrival = false; ///< Of run, for request_traits.
    bool claim_first = false;   ///< Of run, for request_traits.
};

struct request_table_counts
{
    std::size_t running = 0;
    std::size_t remembered = 0;
    std::size_t text_bytes = 0;
    std::size_t queued = 0; ///< Places in the queues that forget.
};

/// Thread safe. Each shard has a lock; no call holds two of them, and the
/// lock of an answer_stream may be taken under one.
class request_table
{
public:
    explicit request_table(request_table_options options);
    ~request_table();
    request_table(const request_table&) = delete;
    request_table& operator=(const request_table&) = delete;

    /// Decides what becomes of an arriving request. O(1) on average; forgets
    /// a few expired keys on the way.
    admission admit(const arrival& it, instant now);

    /// The run that admit() started has ended: remembers the outcome and
    /// finishes the stream. Precondition: admit() said `run` for this key,
    /// and this is the first finish() since.
    void finish(const team_id& team, const request_key& key,
                const conclusion& end, instant now);

    /// Evidence came later: replaces a remembered outcome, if
    /// refines(reply.result, remembered). False if it wasn't.
    bool resolve(const team_id& team, const request_key& key,
                 const outcome_reply& reply);

    /// The journal holds the outcome and the bill of this key.
    void mark_durable(const team_id& team, const request_key& key);

    /// The remembered outcome of a key, if any.
    std::optional<outcome_reply> look_up(const team_id& team,
                                         const request_key& key) const;

    /// True if the key is running or remembered: a retry of it must not be
    /// turned away as if it were new, also while the node leaves.
    bool knows(const team_id& team, const request_key& key) const;

    /// Forgets what may be forgotten; O(number of keys). For a timer; admit()
    /// does the same bit by bit.
    void expire(instant now);

    request_table_counts counts() const;

private:
    struct bits128;
    struct short_reply;
    struct entry;
    struct shard;

    bits128 name_of(const team_id& team, const request_key& key) const;
    shard& shard_of(const bits128& name) const;
    bool only_here(const arrival& it, instant now) const;
    admission known(entry& found, const arrival& it, instant now);
    admission start(entry& made, const arrival& it, instant now,
                    bool never_run);
    void remember(shard& part, const bits128& name, entry& ended,
                  const conclusion& end, std::optional<std::string> text);
    admission add(shard& part, const bits128& name, const arrival& it,
                  instant now);
    void keep_text(shard& part, const bits128& name, entry& ended,
                   std::optional<std::string> text);
    void forget_some(shard& part, instant now, std::size_t most) const;

    const request_table_options options_;
    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace fennelladder::request

#endif
