// A top-up is sent as three records: `join` and `topup` in one append, `leave`
// in a second one. `topup` alone would suffice, but then the marks of its
// writer would stay in the shard's fold forever, one writer per payment.
// `leave` retires the writer; the fold keeps the names of a bounded number of
// retired writers. `leave` is appended separately because the records of a
// retired writer can't be told from records that were never applied, so the
// outcome of `topup` must be known first. If `leave` is lost, a holder without
// tokens stays in the books, which is harmless.

#include "books_reader.hpp"

#include "fennelladder/budget/books_state.hpp"
#include "fennelladder/journal/shard_log.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::app {

namespace {

constexpr std::uint64_t join_sequence = 1;
constexpr std::uint64_t topup_sequence = 2;
constexpr std::uint64_t leave_sequence = 3;

result<std::string> read_part(platform::object_store& store,
                              const manifest::part_hash& name)
{
    auto got = store.get(manifest::part_key(name));
    if (!got)
        return tl::unexpected(got.error());
    if (!manifest::matches(name, got->value))
        return fail(error_code::corrupt, "part " + name.str());
    return std::move(got->value);
}

bool is_retryable(error_code code)
{
    return code == error_code::unavailable || code == error_code::ambiguous ||
           code == error_code::conflict;
}

/// Appends until the outcome is known or no attempts are left. If a reply
/// is lost, the append fails with `ambiguous` although it was applied;
/// appending the same marks again then returns its outcome.
result<std::vector<journal::applied_record>>
append_until_known(journal::shard_log& log,
                   const std::vector<journal::record>& records,
                   int attempts_left)
{
    bool ambiguous = false;
    while (true) {
        auto made = log.append(records);
        if (made)
            return made;
        error why = made.error();
        ambiguous = ambiguous || why.code == error_code::ambiguous;
        if (--attempts_left > 0 && is_retryable(why.code))
            continue;
        // After an ambiguous attempt, a later failure doesn't prove that the
        // records were not applied.
        if (ambiguous)
            why.code = error_code::ambiguous;
        return tl::unexpected(std::move(why));
    }
}

result<budget::outcome> outcome_of(const journal::applied_record& it)
{
    if (it.outcome == journal::record_outcome::accepted ||
        it.outcome == journal::record_outcome::refused)
        return budget::decode_outcome(it.reply);
    return fail(
        error_code::conflict,
        "the writer's incarnation can't be used any more; retry with the "
        "same top-up id");
}

} // namespace

result<manifest::root> read_root(platform::object_store& store)
{
    const auto got = store.get(manifest::root_key());
    if (!got)
        return tl::unexpected(got.error());
    return manifest::decode_root(got->value);
}

result<manifest::directory> read_directory(platform::object_store& store,
                                           const manifest::root& accepted)
{
    const auto bytes = read_part(store, accepted.directory);
    if (!bytes)
        return tl::unexpected(bytes.error());
    return manifest::decode_directory(*bytes);
}

result<std::vector<manifest::target>>
read_targets(platform::object_store& store, const manifest::directory& names)
{
    std::vector<manifest::target> all;
    for (const manifest::part_hash& name : names.targets) {
        const auto bytes = read_part(store, name);
        if (!bytes)
            return tl::unexpected(bytes.error());
        auto some = manifest::decode_targets(*bytes);
        if (!some)
            return tl::unexpected(some.error());
        std::ranges::move(*some, std::back_inserter(all));
    }
    std::ranges::sort(all, {}, &manifest::target::id);
    return all;
}

result<std::optional<manifest::budget>>
read_budget(platform::object_store& store, const budget_id& id)
{
    const auto accepted = read_root(store);
    if (!accepted)
        return tl::unexpected(accepted.error());
    const auto names = read_directory(store, *accepted);
    if (!names)
        return tl::unexpected(names.error());
    if (names->budgets.empty())
        return std::nullopt;
    const auto bucket = manifest::bucket_of(id.str(), names->budgets.size());
    const auto bytes = read_part(store, names->budgets[bucket]);
    if (!bytes)
        return tl::unexpected(bytes.error());
    const auto rows = manifest::decode_budgets(*bytes);
    if (!rows)
        return tl::unexpected(rows.error());
    const auto it = std::ranges::find(*rows, id, &manifest::budget::id);
    return it != rows->end() ? std::optional(*it) : std::nullopt;
}

books_read_result
read_books(platform::object_store& store, const journal::journal_layout& layout,
           const std::function<void(const budget::budget_books&)>& visit)
{
    books_read_result summary{.shards = layout.shards};
    for (std::uint32_t n = 0; n < layout.shards; ++n) {
        journal::shard_log log(store, layout, shard_id(n),
                               budget::books_factory(), n + 1);
        if (const auto ok = log.recover(); !ok) {
            summary.failures.push_back("shard " + std::to_string(n) + ": " +
                                       std::string(to_string(ok.error().code)) +
                                       ": " + ok.error().message);
            continue;
        }
        visit(budget::books_of(log.state()));
        ++summary.read;
    }
    return summary;
}

result<budget::outcome> book_topup(platform::object_store& store,
                                   const journal::journal_layout& layout,
                                   const budget::topup& topup,
                                   const incarnation_id& writer,
                                   const topup_options& options)
{
    journal::shard_log_options with;
    with.wait = options.wait;
    journal::shard_log log(store, layout,
                           journal::shard_of(topup.team, layout.shards),
                           budget::books_factory(), options.seed, with);
    const auto opened_at = log.read_checkpoint_position();
    if (!opened_at)
        return tl::unexpected(opened_at.error());
    const auto make = [&](std::uint64_t sequence,
                          const budget::record_body& body) {
        journal::record made;
        const bool last = sequence == leave_sequence;
        made.mark = {writer, sequence, last ? topup_sequence : 0, *opened_at};
        made.type = budget::record_type(body);
        made.payload = budget::encode_record(body);
        return made;
    };
    // The records carry no time: the operator's clock must not decide what the
    // books drop.
    const auto applied = append_until_known(
        log, {make(join_sequence, budget::join{}), make(topup_sequence, topup)},
        options.max_attempts);
    if (!applied)
        return tl::unexpected(applied.error());
    (void)append_until_known(log, {make(leave_sequence, budget::leave{})},
                             options.max_attempts);
    return outcome_of(applied->at(1));
}

} // namespace fennelladder::app
