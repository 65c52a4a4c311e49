// The books as the state of a journal's shard.
//
//     journal::group_committer committer(..., books_factory(options), ...);
//     auto sent = committer.submit(to_journal_record(wish));
//     result<outcome> made = decode_outcome(sent->reply);
//
// A record's type is the index of its kind in record_body, for people who look
// at a log; the fold itself goes by the payload.

#ifndef FENNELLADDER_BUDGET_BOOKS_STATE_HPP
#define FENNELLADDER_BUDGET_BOOKS_STATE_HPP

#include "fennelladder/budget/budget_books.hpp"
#include "fennelladder/journal/folded_state.hpp"

#include <string>
#include <string_view>

namespace fennelladder::budget {

/// Not thread safe.
class books_state final : public journal::folded_state
{
public:
    explicit books_state(const books_options& options = {}) : books_(options) {}

    /// Accepted when the verdict is `applied`, `duplicate`, `replayed` or
    /// `uncollected`; the reply (decode_outcome) says which. A writer that has
    /// left is retired.
    journal::verdict apply(const journal::record& wish) override;

    std::string encode() const override { return books_.encode(); }

    status decode(std::string_view bytes) override
    {
        return books_.decode(bytes);
    }

    const budget_books& books() const { return books_; }

private:
    budget_books books_;
};

/// Makes empty books. Thread safe.
journal::state_factory books_factory(const books_options& options = {});

/// The type to store with a record of this kind.
int record_type(const record_body& body);

/// The books behind a shard's state. Precondition: made by books_factory().
const budget_books& books_of(const journal::folded_state& state);

} // namespace fennelladder::budget

#endif
