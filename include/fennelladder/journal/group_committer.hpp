// Gathers a node's wishes for one shard and commits them in groups.
//
//     group_committer books(store, layout, shard, self, make_state,
//                           owners, &peers, seed);
//     books.submit(bill, payload, [](const applied_record& it) { ... }, now);
//     books.tick(now); // from a thread that may block; see commit_runner
//
// The hinted owner of the shard gathers for flush_interval and appends its own
// wishes and those of other nodes in one segment. Another node gathers for
// forward_interval and hands its wishes to the owner; when that doesn't answer
// it tries the next in rank, and then appends itself. A wish that goes two
// ways counts once, by its mark. While the store can't be written to, wishes
// wait in memory, bounded, and are tried again in order.
//
// Caveats. A callback may come long after submit() and from another thread;
// one that never comes means that the process ended first. What submit()
// accepted is not durable before its callback.

#ifndef FENNELLADDER_JOURNAL_GROUP_COMMITTER_HPP
#define FENNELLADDER_JOURNAL_GROUP_COMMITTER_HPP

#include "fennelladder/journal/shard_log.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace fennelladder::journal {

/// Hands wishes to another node. Implementations are thread safe.
class forwarder
{
public:
    virtual ~forwarder() = default;

    /// Asks `owner` to gather() the records and waits for their outcomes, at
    /// most for the implementation's timeout. Any failure will do: the same
    /// records are then sent another way.
    virtual result<std::vector<applied_record>>
    forward(const incarnation_id& owner, shard_id shard,
            const std::vector<record>& records) = 0;
};

/// The members that should tend the shard, best first (rank_owners() with a
/// count of 2 will do); empty: everyone appends itself. Called from tick().
using owner_ranking = std::function<std::vector<incarnation_id>()>;

/// Keeps a node's committers from all trying a store that is down: after a
/// failure one of them tries at a time, at growing intervals. Shared by the
/// committers of a node, or several in a test. Thread safe; a lock of its own,
/// taken last.
class outage_gate
{
public:
    /// Intervals start at about `first` and grow to about `limit`.
    outage_gate(std::uint64_t seed, duration first, duration limit);

    /// True when the store answered last, or when it is time for one try.
    bool may_try(instant now);

    /// Tells how a try ended.
    void note(bool reached, instant now);

    /// When to ask again after may_try() said no.
    instant next_try() const;

private:
    const duration first_;
    const duration limit_;
    mutable std::mutex mutex_;
    random_source random_;
    bool down_ = false;
    duration interval_;
    instant next_;
};

/// Limits and intervals of a committer.
struct committer_options
{
    /// How long the owner gathers. Shards / flush_interval is the fleet's
    /// rate of platform writes for the journal.
    duration flush_interval = milliseconds(100);

    /// How long others gather before they hand over.
    duration forward_interval = milliseconds(20);

    /// Own wishes without an outcome. At most mark_window.
    std::size_t max_pending = 4096;

    /// Payload bytes of own wishes, and of others' wishes, each.
    std::size_t max_pending_bytes = 4'000'000;

    /// Shared by the committers of a node; null: each tries on its own.
    std::shared_ptr<outage_gate> gate;

    /// Waits between a group's tries after a failure.
    duration first_retry = milliseconds(50);
    duration retry_limit = seconds(2);

    /// A node that did not answer is passed over for so long.
    duration owner_retry = seconds(1);

    /// One who isn't the owner forgets the shard's state after so long
    /// without having to append itself.
    duration idle_close = seconds(30);

    shard_log_options log = {};
};

/// What a committer holds and has done.
struct committer_figures
{
    std::size_t pending = 0;       ///< Own wishes without an outcome.
    std::size_t pending_bytes = 0; ///< Their payloads.
    instant oldest;                ///< When the first of them was submitted.
    std::uint64_t committed = 0;   ///< Own wishes with an outcome.
    std::uint64_t forwarded = 0;   ///< Groups another node committed.
    std::uint64_t fallbacks = 0;   ///< Groups a node asked didn't commit.
    std::uint64_t appended = 0;    ///< Groups appended here.
    std::uint64_t failures = 0;    ///< Flushes that committed nothing.
    std::uint64_t turned_away = 0; ///< Wishes refused because memory is full.
    int last_failure = -1; ///< error_code of the last flush; -1: it succeeded.
    journal_calls calls;
};

/// Thread safe. Locks: flush_mutex_ before queue_mutex_; the first is held
/// during calls to store and peers, the second never is. Callbacks are called
/// with neither held.
class group_committer
{
public:
    using callback = std::function<void(const applied_record&)>;
    using group_callback =
        std::function<void(result<std::vector<applied_record>>)>;

    /// `self` numbers its records here from 1: no other committer may serve
    /// the same shard under the same incarnation. `peers` may be null. `store`
    /// and `peers` must outlive the committer.
    group_committer(platform::object_store& store, const journal_layout& layout,
                    shard_id shard, incarnation_id self, state_factory factory,
                    owner_ranking owners, forwarder* peers, std::uint64_t seed,
                    committer_options options = {});

    /// Queues a wish; `done` hears its outcome once. Returns the sequence of
    /// its mark. Errors: `exhausted` (memory for waiting wishes is full) and
    /// `too_large`; the wish was not taken then.
    result<std::uint64_t> submit(int type, std::string payload, callback done,
                                 instant now);

    /// Queues wishes of another node, which keeps them until it hears: what
    /// the owner does with forwarded records, and what a node does with
    /// copies it keeps for one that died. `done` hears once, of outcomes in
    /// the same order or of a failure. Errors: `exhausted`, `too_large`.
    status gather(std::vector<record> records, group_callback done,
                  instant now);

    /// Flushes if it is time to. Blocks on store and peers.
    void tick(instant now);

    /// When tick() next has something to do; instant::max() when idle.
    instant next_due() const;

    /// Flushes now. Succeeds when no own wish waits any more; else the error
    /// that stopped it.
    status flush(instant now);

    /// Reads the newest state and shows it to `look`. One platform call or
    /// more. Errors as shard_log::refresh().
    status read(const std::function<void(const fold&)>& look);

    /// Own wishes without an outcome, for a copy at a peer.
    std::vector<record> pending() const;

    committer_figures figures() const;

private:
    struct waiting_wish
    {
        record wish;
        callback done;
        instant since;
    };

    struct waiting_group
    {
        std::vector<record> records;
        group_callback done;
    };

    // What one flush is about.
    struct flush_work
    {
        std::vector<record> own;
        std::vector<waiting_group> groups;
    };

    using outcomes = std::vector<applied_record>;
    using calls_to_make = std::vector<std::function<void()>>;

    flush_work take_work();
    status open_marks(instant now);
    status try_store(const std::function<status()>& call, instant now);
    status run(flush_work& work, instant now, calls_to_make& calls);
    result<outcomes> forward_own(const std::vector<record>& own,
                                 const std::vector<incarnation_id>& ranking,
                                 instant now);
    result<outcomes> append_here(const flush_work& work, bool owner,
                                 instant now);
    void tend_checkpoint(bool owner);
    void resolve_own(const outcomes& made, calls_to_make& calls);
    void fail_groups(flush_work& work, const error& why, calls_to_make& calls);
    void reschedule(const status& ok, instant now);
    void shorten_due(instant now);

    const shard_id shard_;
    const incarnation_id self_;
    const owner_ranking owners_;
    forwarder* const peers_;
    const committer_options options_;

    // Guarded by flush_mutex_.
    mutable std::mutex flush_mutex_;
    shard_log log_;
    random_source random_;
    std::map<incarnation_id, instant> silent_until_;
    instant last_append_;
    int failed_flushes_ = 0;

    // Written with both locks held, read with either.
    std::optional<std::uint64_t> opened_at_;

    // Guarded by queue_mutex_. Invariant: sequences in pending_ are without
    // gaps and end before next_sequence_, so that "all before the first
    // pending one" is what may be acknowledged.
    mutable std::mutex queue_mutex_;
    std::deque<waiting_wish> pending_;
    std::deque<waiting_group> groups_;
    std::size_t group_bytes_ = 0;
    std::uint64_t next_sequence_ = 1;
    bool owner_ = false;
    bool retrying_ = false;
    instant due_ = instant::max();
    committer_figures figures_;
};

/// Threads that tick committers when they are due.
class commit_runner
{
public:
    /// Starts the threads; each serves its share of the committers, so a call
    /// that blocks delays only the shards of that share. All arguments must
    /// outlive the runner. Precondition: threads > 0.
    commit_runner(std::vector<group_committer*> committers, const clock& time,
                  std::size_t threads);

    /// Stops after the flushes under way; flushes nothing more.
    ~commit_runner();

    commit_runner(const commit_runner&) = delete;
    commit_runner& operator=(const commit_runner&) = delete;

private:
    void serve(std::size_t first, std::size_t step);

    const std::vector<group_committer*> committers_;
    const clock& clock_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false; // guarded by mutex_
    std::vector<std::thread> threads_;
};

} // namespace fennelladder::journal

#endif
