// Bills on their way to the journal: numbered, kept, copied, and done with.
//
//     keeper.add(shard, std::move(charge), now);
//     for (const bill& it : keeper.pending(shard, 500))      // to the journal
//         ...
//     bill_result end = keeper.resolve(shard, number, outcome);
//     if (end.uncharge > tokens(0))
//         table.uncharge(end.budget, end.uncharge);
//
// A bill stays until the books have answered it. One that has waited longer
// than bill_options::copy_after (the store is down or slow) is also copied to
// a peer in another data center: uncopied() says which, copied() that the peer
// has them. The peer keeps them (keep_copy) until it hears that they are
// durable (drop_copies), or that the biller is gone (copies_of), when it puts
// them into the journal itself. Both may do so: the biller's number makes it
// one bill.
//
// Failure it guards against: a node dies during an outage of the store with
// bills that nobody else knows. What can still be lost is what is not copied
// yet, at most copy_after of work and one message; these tokens stay counted
// as stranded, never as free.
//
// Not thread safe. Memory: bounded by bill_options; when full() the node has
// to turn work away before it runs, since a bill must not be dropped.

#ifndef FENNELLADDER_BUDGET_BILL_KEEPER_HPP
#define FENNELLADDER_BUDGET_BILL_KEEPER_HPP

#include "fennelladder/budget/budget_books.hpp"
#include "fennelladder/budget/records.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace fennelladder::budget {

struct bill_options
{
    std::size_t max_bytes = 16'000'000;      ///< Of own bills.
    std::size_t max_copy_bytes = 16'000'000; ///< Of others' copies.
    duration copy_after = seconds(2);
};

/// A bill with the shard that folds it.
struct shard_bill
{
    shard_id shard;
    bill charge;
};

/// What the node does when a bill is done with.
struct bill_result
{
    bool known = false; ///< False: it was done with before.
    budget_id budget;
    tokens uncharge; ///< To give back to the node's allotment.
};

class bill_keeper
{
public:
    bill_keeper(const incarnation_id& self, const bill_options& options = {});

    /// Numbers and keeps a bill. Works also when full(): a bill of work that
    /// was done is never dropped.
    void add(shard_id shard, bill charge, instant now);

    /// No more work should be admitted.
    bool full() const { return bytes_ >= options_.max_bytes; }

    /// Up to `limit` bills of a shard that wait for the books and come after
    /// number `after`, oldest first.
    std::vector<bill> pending(shard_id shard, std::size_t limit,
                              std::uint64_t after = 0) const;

    /// Shards with bills that wait.
    std::vector<shard_id> shards() const;

    /// The books' answer.
    bill_result resolve(shard_id shard, std::uint64_t number,
                        const outcome& made);

    /// Up to `limit` bills that have waited too long and have no copy.
    std::vector<shard_bill> uncopied(instant now, std::size_t limit) const;

    /// A peer has a copy.
    void copied(shard_id shard, std::uint64_t number);

    /// The peer with the copies is gone: all have to be copied anew.
    void copies_lost();

    /// All bills of the shard up to this number are done with; what a peer
    /// is told for drop_copies().
    std::uint64_t done_up_to(shard_id shard) const;

    std::size_t size() const { return size_; }

    // -- for others

    /// Keeps a copy for its biller. False: no room.
    bool keep_copy(const incarnation_id& biller, const shard_bill& copy);

    /// The biller has no use for copies up to this number.
    void drop_copies(const incarnation_id& biller, shard_id shard,
                     std::uint64_t up_to);

    /// Copies of a biller that is gone, with `biller` set, to be put into the
    /// journal.
    std::vector<shard_bill> copies_of(const incarnation_id& biller) const;

    /// A copy was put into the journal.
    void flushed(const incarnation_id& biller, shard_id shard,
                 std::uint64_t number);

    std::size_t copies() const { return copy_count_; }

private:
    struct waiting_bill
    {
        bill charge;
        instant since;
        bool copied = false;
    };

    struct shard_state
    {
        std::uint64_t last = 0; // number given last
        // All waiting bills before this number have a copy.
        std::uint64_t first_uncopied = 1;
        std::map<std::uint64_t, waiting_bill> waiting;
    };

    using copy_map = std::map<std::pair<shard_id, std::uint64_t>, bill>;

    incarnation_id self_;
    bill_options options_;
    std::map<shard_id, shard_state> shards_;
    std::size_t bytes_ = 0;
    std::size_t size_ = 0;

    std::unordered_map<incarnation_id, copy_map> copies_;
    std::size_t copy_bytes_ = 0;
    std::size_t copy_count_ = 0;
};

} // namespace fennelladder::budget

#endif
