// The ring, and why it is safe.
//
// Invariants of the stored objects:
//  1. Slot s holds segments s, s + slots, s + 2 * slots, ... in that order,
//     each written on condition of its predecessor's version (or absence).
//  2. Segment n is written only by someone who applied segments up to n - 1,
//     so segments exist without gaps.
//  3. Segment n is written over n - slots only by someone who saw a root at
//     or after n - slots, so no segment is lost before a checkpoint has it.
//  4. Roots' positions only grow (conditional on the root's version).
//
// A reader at position p looks at the slot of p + 1. If it holds p + 1, the
// reader applies it; if an older one (or none), p is the tail, because p + 1
// would have been written there; if a newer one, the reader was overtaken and
// starts again from the root. Segments in objects of their own, created if
// absent and erased after a checkpoint, would not do: a writer that slept
// through the erasure of n would create n anew, be told that it succeeded,
// and its records would be in no fold.
//
// An ambiguous write of a segment is tried again under the same condition. If
// the first try took effect, the second one conflicts, and reading on finds
// the records by their marks; so there is one way of resolving conflicts and
// lost replies.
//
// Chunks of a checkpoint are named by position and content. A chunk may be
// erased when the root is at or after its position and doesn't name it: any
// root that would still name it has a position that no longer can win (4).
//
// Costs: an append is one write; a refresh one list per read_ahead segments;
// a checkpoint 1 + 2 calls per chunk. A writer new to a shard reads the
// versions of the slots ahead, one list per read_ahead segments, until it has
// been once around.

#include "fennelladder/journal/shard_log.hpp"

#include "codec.hpp"
#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <thread>

namespace fennelladder::journal {

namespace {

using platform::object_key;
using platform::write_condition;

constexpr int max_reloads = 32;
constexpr std::size_t position_digits = 20;
constexpr std::size_t sweep_page = 8;

tl::unexpected<error> corrupt_at(const object_key& key, const error& why)
{
    return fail(error_code::corrupt, key.str() + ": " + why.message);
}

bool is_transient(error_code code)
{
    return code == error_code::unavailable || code == error_code::ambiguous;
}

bool parse_number(std::string_view text, std::uint64_t& number)
{
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

// POSITION.DIGEST.INDEX
std::string chunk_name(std::uint64_t position, std::string_view bytes,
                       std::size_t index)
{
    std::string text = std::to_string(position);
    text.insert(0, position_digits - text.size(), '0');
    return text + "." + digest128(bytes) + "." + std::to_string(index);
}

std::string chunk_digest(const std::string& name)
{
    const auto begin = name.find('.') + 1;
    return name.substr(begin, name.rfind('.') - begin);
}

} // namespace

std::uint64_t journal_calls::total() const
{
    return writes() + read + root_read + chunk_read + sweep + watch;
}

std::uint64_t journal_calls::writes() const
{
    return append + root + chunk + erase;
}

journal_calls& journal_calls::operator+=(const journal_calls& other)
{
    append += other.append;
    conflict += other.conflict;
    read += other.read;
    root_read += other.root_read;
    chunk_read += other.chunk_read;
    root += other.root;
    chunk += other.chunk;
    erase += other.erase;
    sweep += other.sweep;
    watch += other.watch;
    bytes_written += other.bytes_written;
    bytes_read += other.bytes_read;
    return *this;
}

shard_log::shard_log(platform::object_store& store,
                     const journal_layout& layout, shard_id shard,
                     state_factory factory, std::uint64_t seed,
                     shard_log_options options)
    : store_(store), layout_(layout), keys_(layout, shard),
      factory_(std::move(factory)), random_(seed), options_(std::move(options))
{
    if (!options_.wait)
        options_.wait = [](duration length) {
            std::this_thread::sleep_for(length);
        };
}

std::uint32_t shard_log::slot_of(std::uint64_t number) const
{
    return static_cast<std::uint32_t>(number % layout_.slots);
}

void shard_log::pause(int attempt)
{
    options_.wait(backoff(random_, attempt, options_.first_backoff,
                          options_.backoff_limit));
}

// Tries a call again while it fails for a passing reason. Says `ambiguous` if
// any try was, since that one may have taken effect.
status shard_log::retry(const std::function<status()>& call)
{
    status last;
    bool ambiguous = false;
    for (int attempt = 0; attempt < options_.tries; ++attempt) {
        if (attempt > 0)
            pause(attempt - 1);
        last = call();
        if (last || !is_transient(last.error().code))
            return last;
        ambiguous |= last.error().code == error_code::ambiguous;
    }
    if (ambiguous)
        last.error().code = error_code::ambiguous;
    return last;
}

// --- reading ---------------------------------------------------------------

void shard_log::close()
{
    fold_.reset();
    slots_ = {};
    root_ = {};
    bytes_since_checkpoint_ = 0;
}

status shard_log::recover()
{
    close();
    auto ok = load_checkpoint();
    if (ok)
        ok = read_forward();
    if (!ok)
        close();
    return ok;
}

result<std::string>
shard_log::load_chunks(const std::vector<std::string>& chunks, bool& gone)
{
    std::string state;
    for (const std::string& name : chunks) {
        const object_key key(keys_.chunk_prefix() + name);
        std::string bytes;
        auto ok = retry([&]() -> status {
            ++calls_.chunk_read;
            auto got = store_.get(key);
            if (!got)
                return tl::unexpected(got.error());
            bytes = std::move(got->value);
            return {};
        });
        if (!ok) {
            gone = ok.error().code == error_code::not_found;
            return tl::unexpected(ok.error());
        }
        calls_.bytes_read += bytes.size();
        if (digest128(bytes) != chunk_digest(name))
            return corrupt_at(key, {{}, "digest does not match"});
        state += bytes;
    }
    return state;
}

// Reads the root alone; its state only when that is inline.
result<std::optional<shard_log::loaded_root>> shard_log::load_root()
{
    std::optional<platform::stored_object> object;
    auto ok = retry([&]() -> status {
        ++calls_.root_read;
        auto got = store_.get(keys_.root());
        if (got)
            object = *std::move(got);
        else if (got.error().code != error_code::not_found)
            return tl::unexpected(got.error());
        return {};
    });
    if (!ok)
        return tl::unexpected(ok.error());
    if (!object)
        return std::nullopt;
    calls_.bytes_read += object->value.size();
    const auto opened = open_frame(object_kind::root, object->value);
    if (!opened)
        return corrupt_at(keys_.root(), opened.error());
    wire::checkpoint_root stored;
    if (auto read = unpack(object->value, stored); !read)
        return corrupt_at(keys_.root(), read.error());
    loaded_root loaded;
    loaded.root.position = opened->number;
    loaded.root.version = object->version;
    loaded.root.chunks = std::move(stored.chunks);
    loaded.root.bytes = static_cast<std::size_t>(stored.bytes);
    loaded.state = std::move(stored.inline_state);
    return loaded;
}

result<std::uint64_t> shard_log::read_checkpoint_position()
{
    auto loaded = load_root();
    if (!loaded)
        return tl::unexpected(loaded.error());
    return *loaded ? (*loaded)->root.position : 0;
}

// Makes the fold from the newest checkpoint. A chunk that is gone means that
// a later checkpoint took this one's place while it was being read: the root
// is read again.
status shard_log::load_checkpoint()
{
    for (int reload = 0; reload < max_reloads; ++reload) {
        auto loaded = load_root();
        if (!loaded)
            return tl::unexpected(loaded.error());
        fold fresh(factory_());
        root_content root;
        if (*loaded) {
            root = std::move((*loaded)->root);
            std::string state = std::move((*loaded)->state);
            if (!root.chunks.empty()) {
                bool gone = false;
                auto chunks = load_chunks(root.chunks, gone);
                if (gone)
                    continue;
                if (!chunks)
                    return tl::unexpected(chunks.error());
                state = *std::move(chunks);
            }
            if (auto ok = fresh.decode(state); !ok)
                return corrupt_at(keys_.root(), ok.error());
        }
        fresh.set_position(root.position);
        fold_.emplace(std::move(fresh));
        root_ = std::move(root);
        bytes_since_checkpoint_ = 0;
        far_behind_ = true;
        slots_.assign(layout_.slots, {});
        return {};
    }
    return fail(error_code::unavailable,
                keys_.root().str() + ": checkpoints change too fast to read");
}

status shard_log::read_forward()
{
    int reloads = 0;
    while (true) {
        auto end = read_page();
        if (!end)
            return tl::unexpected(end.error());
        if (*end == page_end::tail)
            return {};
        if (*end == page_end::more)
            continue;
        if (++reloads > max_reloads)
            return fail(error_code::unavailable,
                        keys_.slot_prefix() + ": log moves too fast to read");
        if (auto ok = load_checkpoint(); !ok)
            return ok;
    }
}

result<shard_log::page_end> shard_log::read_page()
{
    const std::uint32_t first = slot_of(position() + 1);
    const object_key after = first > 0 ? keys_.slot(first - 1) : object_key();
    const std::size_t limit =
        far_behind_ ? options_.recover_ahead : options_.read_ahead;
    platform::object_page page;
    auto ok = retry([&]() -> status {
        ++calls_.read;
        auto got = store_.list(keys_.slot_prefix(), after, limit);
        if (!got)
            return tl::unexpected(got.error());
        page = *std::move(got);
        return {};
    });
    if (!ok)
        return tl::unexpected(ok.error());
    revision_ = page.revision;
    return take_page(page, first);
}

// Applies the segments that follow, and notes what the slots behind the tail
// hold, which is what later appends make their condition of.
result<shard_log::page_end>
shard_log::take_page(const platform::object_page& page, std::uint32_t first)
{
    std::uint32_t expected = first;
    bool tail = false;
    for (const platform::stored_object& it : page.objects) {
        calls_.bytes_read += it.value.size();
        std::uint64_t slot = 0;
        const std::string_view name =
            std::string_view(it.key.str()).substr(keys_.slot_prefix().size());
        if (!parse_number(name, slot) || slot >= layout_.slots)
            return corrupt_at(it.key, {{}, "is not a slot"});
        const auto opened = open_frame(object_kind::segment, it.value);
        if (!opened)
            return corrupt_at(it.key, opened.error());
        const std::uint64_t number = opened->number;
        if (number == 0 || slot_of(number) != slot)
            return corrupt_at(it.key, {{}, "holds another slot's segment"});
        tail |= slot != expected || number <= position();
        if (!tail && number > position() + 1)
            return page_end::overtaken;
        if (!tail) {
            if (auto ok = apply_segment(number, it.value); !ok)
                return corrupt_at(it.key, ok.error());
            ++expected;
        }
        slots_[slot] = {number, it.version};
    }
    far_behind_ = !tail;
    if (tail)
        return page_end::tail;
    // All of the page was applied. The next slot is absent when the listing
    // ended before it; after the last slot the ring goes on with the first.
    const bool wrapped = expected == layout_.slots;
    return page.more || wrapped ? page_end::more : page_end::tail;
}

status shard_log::apply_segment(std::uint64_t number, std::string_view value)
{
    assert(number == position() + 1);
    auto records = decode_segment(value);
    if (!records)
        return tl::unexpected(records.error());
    fold_->set_position(number);
    for (const record& it : *records)
        fold_->apply(it);
    bytes_since_checkpoint_ += value.size();
    return {};
}

result<std::uint64_t> shard_log::refresh()
{
    const std::uint64_t before = position();
    auto ok = is_open() ? read_forward() : recover();
    if (!ok) {
        // A fold that stopped half way through reading is still that of a
        // prefix of the log, and stays.
        return tl::unexpected(ok.error());
    }
    return position() - before;
}

result<std::uint64_t> shard_log::follow(duration wait)
{
    assert(is_open());
    const std::uint64_t before = position();
    ++calls_.watch;
    auto page = store_.watch(keys_.slot_prefix(), revision_, wait);
    if (!page)
        return tl::unexpected(page.error());
    bool complete = !page->reset;
    for (const platform::object_change& it : page->changes) {
        calls_.bytes_read += it.object.value.size();
        const auto opened = open_frame(object_kind::segment, it.object.value);
        if (it.erased || !opened || opened->number > position() + 1) {
            complete = false; // reading anew says what is the matter
            break;
        }
        if (opened->number == position() + 1) {
            auto ok = apply_segment(opened->number, it.object.value);
            if (!ok)
                return corrupt_at(it.object.key, ok.error());
        }
        slots_[slot_of(opened->number)] = {opened->number, it.object.version};
    }
    revision_ = page->revision;
    if (!complete) {
        if (auto ok = read_forward(); !ok)
            return tl::unexpected(ok.error());
    }
    return position() - before;
}

// --- appending -------------------------------------------------------------

// What the slot of segment `number` must still hold for it to be written
// there; nothing if that isn't known.
std::optional<write_condition>
shard_log::append_condition(std::uint64_t number) const
{
    if (number <= layout_.slots)
        return write_condition::absent();
    const slot_content& held = slots_[slot_of(number)];
    if (held.number != number - layout_.slots)
        return std::nullopt;
    return write_condition::unchanged(held.version);
}

status shard_log::make_room()
{
    const std::uint64_t next = position() + 1;
    if (next <= layout_.slots || next - layout_.slots <= root_.position)
        return {};
    auto ok = checkpoint();
    if (ok && next - layout_.slots > root_.position)
        ok = fail(error_code::unavailable, "checkpoint is behind");
    if (!ok)
        ok.error() = {error_code::exhausted,
                      keys_.slot_prefix() +
                          ": the ring is full: " + ok.error().message};
    return ok;
}

status shard_log::put_segment(std::uint64_t number, const std::string& value)
{
    const auto condition = append_condition(number);
    if (!condition)
        return fail(error_code::conflict, "slot is not known");
    return retry([&]() -> status {
        ++calls_.append;
        calls_.bytes_written += value.size();
        auto made = store_.put(keys_.slot(slot_of(number)), value, *condition);
        if (!made)
            return tl::unexpected(made.error());
        slots_[slot_of(number)] = {number, *made};
        return {};
    });
}

status shard_log::write_segment(const std::vector<record>& batch)
{
    if (auto ok = make_room(); !ok)
        return ok;
    const std::uint64_t next = position() + 1;
    // The slot ahead hasn't been read yet, or it is gone.
    if (!append_condition(next)) {
        if (auto ok = read_forward(); !ok)
            return ok;
        if (position() + 1 != next)
            return fail(error_code::conflict, "log has grown");
        if (!append_condition(next))
            return corrupt_at(keys_.slot(slot_of(next)), {{}, "is missing"});
    }
    const std::string value = encode_segment(next, batch);
    auto ok = put_segment(next, value);
    if (ok) {
        fold_->set_position(next);
        bytes_since_checkpoint_ += value.size();
        return ok;
    }
    if (ok.error().code == error_code::conflict) {
        ++calls_.conflict;
        if (auto read = read_forward(); !read)
            return read;
    }
    return ok;
}

result<std::vector<applied_record>>
shard_log::append(std::vector<record> records)
{
    for (const record& it : records) {
        if (it.payload.size() > max_payload_bytes)
            return fail(error_code::too_large, "payload of a record");
    }
    if (!is_open()) {
        if (auto ok = recover(); !ok)
            return tl::unexpected(ok.error());
    }
    std::vector<applied_record> outcomes;
    outcomes.reserve(records.size());
    int conflicts = 0;
    while (outcomes.size() < records.size()) {
        // Outcomes are known for a prefix of the records: each round either
        // finds the next one in the log or writes a batch that begins with it.
        std::vector<record> batch;
        std::size_t bytes = 0;
        for (std::size_t n = outcomes.size(); n < records.size(); ++n) {
            auto found = fold_->find(records[n].mark);
            if (found && batch.empty()) {
                outcomes.push_back(*std::move(found));
                continue;
            }
            bytes += encoded_size(records[n]);
            if (!batch.empty() && bytes > options_.max_segment_bytes)
                break;
            batch.push_back(records[n]);
        }
        if (batch.empty())
            break;
        auto ok = write_segment(batch);
        if (ok) {
            for (const record& it : batch)
                outcomes.push_back(fold_->apply(it));
            continue;
        }
        if (ok.error().code != error_code::conflict)
            return tl::unexpected(ok.error());
        if (++conflicts > options_.max_conflicts)
            return tl::unexpected(ok.error());
        if (conflicts > 1)
            pause(std::min(conflicts - 2, 4));
    }
    return outcomes;
}

// --- checkpoints -----------------------------------------------------------

bool shard_log::wants_checkpoint() const
{
    if (!is_open() || root_.position >= position())
        return false;
    const std::uint64_t segments = position() - root_.position;
    const std::uint64_t limit = std::min<std::uint64_t>(
        options_.checkpoint_segments, layout_.slots / 2);
    return segments >= limit ||
           bytes_since_checkpoint_ >=
               std::max(options_.checkpoint_bytes, 2 * root_.bytes);
}

double shard_log::ring_use() const
{
    if (root_.position >= position())
        return 0;
    return static_cast<double>(position() - root_.position) / layout_.slots;
}

status shard_log::put_chunks(const std::string& state,
                             std::vector<std::string>& names)
{
    for (std::size_t at = 0; at < state.size(); at += options_.chunk_bytes) {
        const std::string_view bytes =
            std::string_view(state).substr(at, options_.chunk_bytes);
        names.push_back(chunk_name(position(), bytes, names.size()));
        const object_key key(keys_.chunk_prefix() + names.back());
        // The name says the content, so writing it twice changes nothing and
        // a lost reply needs no reading back.
        auto ok = retry([&]() -> status {
            ++calls_.chunk;
            calls_.bytes_written += bytes.size();
            auto made = store_.put(key, bytes, write_condition::always());
            if (!made)
                return tl::unexpected(made.error());
            return {};
        });
        if (!ok)
            return ok;
    }
    return {};
}

// Puts the root in place of the one last seen, and notes chunks that may be
// unused then. A root at or after this position that is there already is as
// good: it may even be this one, its reply lost.
status shard_log::put_root(const root_content& next, const std::string& value,
                           std::vector<std::string>& unused)
{
    const auto note = [&unused](const std::vector<std::string>& chunks) {
        unused.insert(unused.end(), chunks.begin(), chunks.end());
    };
    note(root_.chunks);
    status last;
    int failures = 0;
    int conflicts = 0;
    while (failures < options_.tries && conflicts <= options_.max_conflicts) {
        if (failures > 0)
            pause(failures - 1);
        ++calls_.root;
        calls_.bytes_written += value.size();
        auto made = store_.put(keys_.root(), value,
                               root_.version
                                   ? write_condition::unchanged(*root_.version)
                                   : write_condition::absent());
        if (made) {
            root_ = next;
            root_.version = *made;
            return {};
        }
        last = tl::unexpected(made.error());
        const error_code code = made.error().code;
        if (code != error_code::conflict && !is_transient(code))
            return last;
        ++(code == error_code::conflict ? conflicts : failures);
        if (code == error_code::unavailable)
            continue;
        auto loaded = load_root();
        if (!loaded)
            return tl::unexpected(loaded.error());
        root_ = *loaded ? std::move((*loaded)->root) : root_content{};
        note(root_.chunks);
        if (root_.position >= next.position) {
            note(next.chunks);
            return {};
        }
    }
    return last;
}

status shard_log::checkpoint()
{
    assert(is_open());
    if (root_.version && root_.position >= position())
        return {};
    const std::string state = fold_->encode();
    root_content next;
    next.position = position();
    next.bytes = state.size();
    wire::checkpoint_root stored;
    stored.version = stored_version;
    stored.bytes = static_cast<std::int64_t>(state.size());
    if (state.size() <= options_.inline_state_bytes) {
        stored.inline_state = state;
    } else if (auto ok = put_chunks(state, next.chunks); !ok) {
        return ok;
    }
    stored.chunks = next.chunks;
    std::vector<std::string> unused;
    auto ok = put_root(next, pack(next.position, stored), unused);
    if (!ok)
        return ok;
    bytes_since_checkpoint_ = 0;
    erase_chunks(unused);
    if (++checkpoints_ % options_.sweep_every == 0)
        sweep_chunks();
    return {};
}

// Erases those of the names that the root, which is at or after all of their
// positions, doesn't refer to. A failure leaves them to the next sweep.
void shard_log::erase_chunks(const std::vector<std::string>& names)
{
    for (const std::string& it : names) {
        if (std::ranges::find(root_.chunks, it) != root_.chunks.end())
            continue;
        (void)retry([&]() -> status {
            ++calls_.erase;
            return store_.erase(object_key(keys_.chunk_prefix() + it),
                                write_condition::always());
        });
    }
}

void shard_log::sweep_chunks()
{
    object_key after;
    bool more = true;
    while (more) {
        ++calls_.sweep;
        auto page = store_.list(keys_.chunk_prefix(), after, sweep_page);
        if (!page || page->objects.empty())
            return;
        std::vector<std::string> old;
        for (const platform::stored_object& it : page->objects) {
            calls_.bytes_read += it.value.size();
            std::string name = it.key.str().substr(keys_.chunk_prefix().size());
            std::uint64_t position = 0;
            const bool known = parse_number(
                std::string_view(name).substr(0, position_digits), position);
            if (known && position <= root_.position)
                old.push_back(std::move(name));
        }
        erase_chunks(old);
        after = page->objects.back().key;
        more = page->more;
    }
}

} // namespace fennelladder::journal
