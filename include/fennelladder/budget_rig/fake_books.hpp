// The store as a fleet's budgets see it: per shard a fold of journal records,
// and the queue of what nodes have sent.

#ifndef FENNELLADDER_BUDGET_RIG_FAKE_BOOKS_HPP
#define FENNELLADDER_BUDGET_RIG_FAKE_BOOKS_HPP

#include "fennelladder/budget/books_state.hpp"
#include "fennelladder/budget/budget_agent.hpp"
#include "fennelladder/journal/fold.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace fennelladder::budget_rig {

/// A wish that was folded, and the answer to its sender.
struct fake_reply
{
    incarnation_id sender;
    budget::book_wish wish;
    std::optional<budget::outcome> made;
};

/// Not thread safe.
class fake_books
{
public:
    explicit fake_books(int shards);

    /// Queues a wish under its sender's next mark.
    void send(const incarnation_id& sender, budget::book_wish wish);

    /// Folds what `may` lets through of a shard's queue. With `lose_reply` the
    /// wishes take effect, and stay queued under the same marks as if nothing
    /// had been heard.
    std::vector<fake_reply>
    flush(int shard, const std::function<bool(const incarnation_id&)>& may,
          bool lose_reply);

    /// Drops what a dead sender has queued.
    void forget(const incarnation_id& sender);

    const budget::budget_books& of(int shard) const;

    /// Platform writes made, and bytes in them.
    std::uint64_t writes() const { return writes_; }
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t records() const { return records_; }

    int shards() const { return static_cast<int>(folds_.size()); }

private:
    struct queued
    {
        journal::record_mark mark;
        budget::book_wish wish;
    };

    struct writer_state
    {
        std::uint64_t last = 0;
        std::uint64_t acknowledged = 0;
    };

    std::vector<std::unique_ptr<journal::fold>> folds_;
    std::vector<std::deque<queued>> queues_;
    std::map<std::pair<incarnation_id, int>, writer_state> writers_;
    std::uint64_t writes_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t records_ = 0;
};

} // namespace fennelladder::budget_rig

#endif
