// What status, report and topup share: the accepted configuration and the
// books of all shards, read from the platform by a tool that is no node.
//
//     auto layout = journal::find_layout(store);
//     auto read = read_books(store, *layout, [&](const auto& books) {
//         report.add(books);
//     });
//     auto made = book_topup(store, *layout, wish, writer, {.seed = seed});
//
// Reading stores nothing; the layout is read, never established. Costs one
// checkpoint and the segments after it per shard, and holds one shard's books
// at a time.

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

/// The accepted root. Errors: those of get() (`not_found`: nothing has been
/// accepted yet), and `corrupt`.
result<manifest::root> read_root(platform::object_store& store);

/// The names of an accepted configuration's parts. Errors as read_root().
result<manifest::directory> read_directory(platform::object_store& store,
                                           const manifest::root& accepted);

/// All targets of a configuration. Errors as read_root().
result<std::vector<manifest::target>>
read_targets(platform::object_store& store, const manifest::directory& names);

/// A budget of the accepted configuration, or nothing; reads one bucket.
/// Errors as read_root().
result<std::optional<manifest::budget>>
read_budget(platform::object_store& store, const budget_id& id);

/// What read_books() got through.
struct books_read
{
    std::uint32_t shards = 0; ///< That there are.
    std::uint32_t read = 0;
    std::vector<std::string> failures; ///< One line per shard not read.

    bool complete() const { return read == shards; }
};

/// Calls `visit` with the books of each shard, as of the reading; a shard that
/// can't be read is told and passed over.
books_read
read_books(platform::object_store& store, const journal::journal_layout& layout,
           const std::function<void(const budget::budget_books&)>& visit);

struct topup_options
{
    std::uint64_t seed = 1;                  ///< Of the waits between tries.
    int tries = 8;                           ///< Of the whole append.
    std::function<void(duration)> wait = {}; ///< Empty: sleep.
};

/// Books `wish` in its team's shard under the incarnation `writer`, which
/// must be new, and waits for the outcome: `applied`, `duplicate` (its id is
/// in the books), `refused` or `invalid`. A lost reply is resolved by
/// appending the same mark again. Errors: `unavailable` (not booked),
/// `ambiguous` (may be booked: call again with the same id and a new writer),
/// and those of journal::shard_log::append().
result<budget::outcome> book_topup(platform::object_store& store,
                                   const journal::journal_layout& layout,
                                   const budget::topup& wish,
                                   const incarnation_id& writer,
                                   const topup_options& options);

} // namespace fennelladder::app

#endif
