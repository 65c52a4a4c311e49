// The order of writes: parts, directory, root. Until the root is written
// nobody looks at the parts, so stopping anywhere before it leaves orphans and
// nothing else.
//
// Orphans are collected without a grace period, since a paused operator may
// wake after any. Two conditional writes keep a part that is needed:
//
//   1. The collector lists the parts, then rewrites the root on the condition
//      that it didn't change. An operator who read the root before that loses
//      the own conditional write, starts over and uploads again.
//   2. It erases a part only at the version that it listed, and operators
//      upload even a part that already exists unless the accepted directory
//      names it. So an upload after the listing makes the erasure fail, and
//      one after the erasure brings the part back.

#include "fennelladder/manifest/apply.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fennelladder::manifest {

using platform::object_key;
using platform::stored_object;
using platform::write_condition;

namespace {

constexpr int most_rounds = 8;
constexpr std::size_t list_limit = 256;

std::string describe(const apply_record& it)
{
    constexpr std::int64_t second = 1'000'000'000;
    return "generation " + std::to_string(it.number.value()) + " by \"" +
           it.who + "\" (apply id " + it.apply.str() + ", at " +
           std::to_string(to_nanoseconds(it.at) / second) +
           " s since the epoch)";
}

error conflict_of(const apply_request& mine, generation base,
                  const std::optional<root>& theirs)
{
    std::string text = "\"" + mine.who + "\" (apply id " + mine.apply.str() +
                       ") started from generation " +
                       std::to_string(base.value()) + ", but ";
    text += theirs ? "accepted is " + describe(theirs->change)
                   : "nothing was accepted yet";
    return {error_code::conflict, std::move(text)};
}

generation number_of(const std::optional<root>& it)
{
    return it ? it->change.number : generation(0);
}

apply_receipt receipt_of(const apply_record& it, const root& in)
{
    apply_receipt made;
    made.number = it.number;
    // The hash of an earlier generation isn't remembered.
    if (in.change == it)
        made.hash = in.hash();
    made.found_by_apply_id = true;
    return made;
}

root next_root(const apply_request& request, const std::optional<root>& base,
               const part_hash& names)
{
    root next;
    next.change = {number_of(base).next(), request.apply, request.who,
                   request.at};
    next.directory = names;
    if (base) {
        next.collections = base->collections;
        next.history = base->history;
        next.history.insert(next.history.begin(), base->change);
        if (next.history.size() > root::history_limit)
            next.history.resize(root::history_limit);
    }
    return next;
}

} // namespace

applier::applier(platform::object_store& store, apply_options options,
                 std::function<void(duration)> pause)
    : store_(store), options_(options), pause_(std::move(pause))
{}

// Repeats a call that may be repeated while the platform can't be reached.
template <class Call>
auto applier::persist(const Call& call) -> decltype(call())
{
    duration wait = options_.first_pause;
    for (int n = 1;; ++n) {
        auto got = call();
        const bool again =
            !got && (got.error().code == error_code::unavailable ||
                     got.error().code == error_code::ambiguous ||
                     got.error().code == error_code::timeout);
        if (!again || n >= options_.attempts)
            return got;
        pause_(wait);
        wait = std::min(wait * 2, options_.longest_pause);
    }
}

result<applier::accepted_root> applier::read_root()
{
    auto got = persist([&] { return store_.get(root_key()); });
    if (!got && got.error().code == error_code::not_found)
        return accepted_root{};
    if (!got)
        return tl::unexpected(got.error());
    auto value = decode_root(got->value);
    if (!value)
        return tl::unexpected(value.error());
    return accepted_root{std::move(*value), got->version};
}

result<directory> applier::read_directory(const part_hash& name)
{
    auto got = persist([&] { return store_.get(part_key(name)); });
    if (!got)
        return tl::unexpected(got.error());
    if (!matches(name, got->value))
        return fail(error_code::corrupt, "directory " + name.str());
    return decode_directory(got->value);
}

result<applier::upload>
applier::upload_parts(const split_manifest& pieces,
                      const std::optional<directory>& base)
{
    std::set<part_hash> there;
    if (base) {
        const auto names = base->all();
        there.insert(names.begin(), names.end());
    }
    upload sent;
    for (const auto& part : pieces.parts) {
        const part_hash& name = part.first;
        const std::string& bytes = part.second;
        if (there.contains(name))
            continue;
        // Same name, same bytes: writing twice after a lost reply is harmless.
        auto put = persist([&] {
            return store_.put(part_key(name), bytes, write_condition::always());
        });
        if (!put)
            return fail(error_code::unavailable,
                        "part not uploaded: " + put.error().message);
        ++sent.parts;
        sent.bytes += bytes.size();
    }
    return sent;
}

// A reply to the root's write may get lost after it took effect, or a write
// given up may still land later. Both end well: the condition lets it take
// effect once, and a repeated write then fails with `conflict`, after which
// the root is read back.
result<object_version> applier::write_root(const root& next,
                                           const accepted_root& base)
{
    const auto condition = base.value ? write_condition::unchanged(base.version)
                                      : write_condition::absent();
    const std::string bytes = encode(next);
    bool doubtful = false;
    auto put = persist([&] {
        auto got = store_.put(root_key(), bytes, condition);
        doubtful |= !got && got.error().code == error_code::ambiguous;
        return got;
    });
    // Only a definite conflict tells that the write can no longer land.
    if (!put && doubtful && put.error().code != error_code::conflict)
        return fail(error_code::ambiguous, put.error().message);
    return put;
}

result<apply_receipt> applier::try_once(const apply_request& request,
                                        const accepted_root& base)
{
    std::optional<directory> names;
    if (base.value) {
        auto got = read_directory(base.value->directory);
        // Without it everything is uploaded anew, which also mends a part
        // that went missing.
        if (got)
            names = std::move(*got);
    }
    auto pieces = split(request.manifest, names ? &*names : nullptr);
    if (!pieces)
        return tl::unexpected(pieces.error());
    if (names && pieces->directory == *names) {
        apply_receipt same;
        same.number = number_of(base.value);
        same.hash = base.value->hash();
        same.unchanged = true;
        return same;
    }
    auto sent = upload_parts(*pieces, names);
    if (!sent)
        return tl::unexpected(sent.error());
    const root next = next_root(request, base.value, pieces->directory_hash);
    auto put = write_root(next, base);
    if (!put)
        return tl::unexpected(put.error());
    apply_receipt made;
    made.number = next.change.number;
    made.hash = next.hash();
    made.parts_sent = sent->parts;
    made.bytes_sent = sent->bytes + encode(next).size();
    return made;
}

result<apply_receipt> applier::apply(const apply_request& request)
{
    std::optional<generation> base = request.base;
    for (int round = 0;; ++round) {
        auto accepted = read_root();
        if (!accepted && round > 0)
            return fail(error_code::ambiguous,
                        "can't read back: " + accepted.error().message);
        if (!accepted)
            return tl::unexpected(accepted.error());
        if (accepted->value) {
            const apply_record* mine = accepted->value->find(request.apply);
            if (mine != nullptr)
                return receipt_of(*mine, *accepted->value);
        }
        const generation current = number_of(accepted->value);
        if (!base)
            base = current;
        if (current != *base)
            return tl::unexpected(conflict_of(request, *base, accepted->value));
        auto receipt = try_once(request, *accepted);
        const bool lost =
            !receipt && receipt.error().code == error_code::conflict;
        if (!lost || round >= most_rounds)
            return receipt;
        // The root is not the one that was read. The next round finds the own
        // apply id, when an earlier reply was lost; or names the operator who
        // won; or uploads anew, when orphans were collected meanwhile.
    }
}

result<std::size_t> applier::collect_orphans()
{
    auto accepted = read_root();
    if (!accepted)
        return tl::unexpected(accepted.error());
    if (!accepted->value)
        return fail(error_code::conflict, "nothing was accepted yet");
    auto names = read_directory(accepted->value->directory);
    if (!names)
        return tl::unexpected(names.error());
    std::set<part_hash> live{accepted->value->directory};
    for (const part_hash& it : names->all())
        live.insert(it);

    std::vector<std::pair<object_key, object_version>> orphans;
    object_key after;
    bool more = true;
    while (more) {
        auto page = persist(
            [&] { return store_.list(part_prefix(), after, list_limit); });
        if (!page)
            return tl::unexpected(page.error());
        for (const stored_object& it : page->objects) {
            after = it.key;
            const part_hash name(it.key.str().substr(part_prefix().size()));
            if (!live.contains(name))
                orphans.emplace_back(it.key, it.version);
        }
        more = page->more;
    }
    if (orphans.empty())
        return 0;

    root bumped = *accepted->value;
    ++bumped.collections;
    auto put = write_root(bumped, *accepted);
    if (!put)
        return tl::unexpected(put.error());
    std::size_t erased = 0;
    for (const auto& [key, version] : orphans) {
        // A failure leaves an orphan to the next collection.
        if (store_.erase(key, write_condition::unchanged(version)))
            ++erased;
    }
    return erased;
}

} // namespace fennelladder::manifest
