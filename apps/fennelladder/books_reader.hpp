// Access to the accepted configuration and to the budget books of all shards
// for tools that aren't nodes: status, report and topup.
//
//     auto layout = journal::find_layout(store);
//     auto summary = read_books(store, *layout, [&](const auto& books) {
//         report.add(books);
//     });
//     auto made = book_topup(store, *layout, topup, writer, {.seed = seed});
//
// Reading never writes to the platform: the journal's layout must exist and is
// not established here. Reading the books fetches one checkpoint per shard and
// the segments after it, and keeps one shard's books in memory at a time.

#ifndef FENNELLADDER_APPS_BOOKS_READER_HPP
#define FENNELLADDER_APPS_BOOKS_READER_HPP

#include "fennelladder/budget/budget_books.hpp"
#include "fennelladder/journal/layout.hpp"
#include "fennelladder/manifest/parts.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::app {

/// Reads the root of the accepted configuration. Errors: those of
/// object_store::get() (`not_found`: nothing has been accepted yet), and
/// `corrupt`.
result<manifest::root> read_root(platform::object_store& store);

/// Reads the names of the parts of an accepted configuration. Errors as for
/// read_root().
result<manifest::directory> read_directory(platform::object_store& store,
                                           const manifest::root& accepted);

/// Reads all targets of a configuration, sorted by id. Errors as for
/// read_root().
result<std::vector<manifest::target>>
read_targets(platform::object_store& store, const manifest::directory& names);

/// Looks up a budget of the accepted configuration, reading one bucket of
/// budgets. Returns nothing if there is no such budget. Errors as for
/// read_root().
result<std::optional<manifest::budget>>
read_budget(platform::object_store& store, const budget_id& id);

/// How many shards read_books() has read, and why it couldn't read others.
struct books_read_result
{
    std::uint32_t shards = 0; ///< All shards of the layout.
    std::uint32_t read = 0;
    std::vector<std::string> failures; ///< One line per unread shard.

    bool complete() const { return read == shards; }
};

/// Calls `visit` with the current books of each shard. A shard that can't be
/// read is skipped and listed in `failures`.
books_read_result
read_books(platform::object_store& store, const journal::journal_layout& layout,
           const std::function<void(const budget::budget_books&)>& visit);

struct topup_options
{
    std::uint64_t seed = 1;                  ///< Of the waits between attempts.
    int max_attempts = 8;                    ///< To append the same records.
    std::function<void(duration)> wait = {}; ///< Empty: sleeps.
};

/// Books `topup` in its team's shard under the incarnation `writer`, which must
/// not have been used before, and waits for the outcome: `applied`, `duplicate`
/// (its id is already in the books), `refused` or `invalid`. After a lost reply
/// appends records with the same marks again, so that they count once. Errors:
/// `unavailable` (not booked), `ambiguous` (may be booked: call again with the
/// same id and a new writer), and those of journal::shard_log::append().
result<budget::outcome> book_topup(platform::object_store& store,
                                   const journal::journal_layout& layout,
                                   const budget::topup& topup,
                                   const incarnation_id& writer,
                                   const topup_options& options);

} // namespace fennelladder::app

#endif
