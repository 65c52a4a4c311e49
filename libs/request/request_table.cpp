// Keys, bodies and digests are kept as 128 bits each. A key's are a hash with
// a seed of this process, so that nobody outside can look for two that fall
// together, and among n keys two do with a chance of n * n / 2^129.
//
// A hash map per shard, beside two queues: keys in the order they ended, from
// whose front expired ones are forgotten, and keys with kept text, from whose
// front texts are dropped when the shard's part of the memory is full. A key
// that started anew leaves a stale place in a queue; places carry the number
// of the run, so that a stale one is recognised and passed over. All calls
// but expire() and counts() are O(1) on average.

#include "fennelladder/request/request_table.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <deque>
#include <unordered_map>
#include <utility>

namespace fennelladder::request {

namespace {

constexpr auto verdict_names = std::to_array<std::string_view>(
    {"run", "join", "await", "replay", "reply"});

constexpr std::size_t forget_per_admit = 4;
constexpr std::size_t digest_size = 32; // hexadecimal digits of digest128

std::uint64_t from_hex(std::string_view digits)
{
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

} // namespace

std::string_view to_string(admit_verdict value)
{
    return verdict_names.at(static_cast<std::size_t>(value));
}

struct request_table::bits128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const bits128&) const = default;

    static bits128 of_digest(std::string_view digest)
    {
        if (digest.size() != digest_size)
            return {hash64(digest, 1), hash64(digest, 2)};
        return {from_hex(digest.substr(0, 16)), from_hex(digest.substr(16))};
    }
};

/// What is left of an outcome_reply: its key is the entry's name.
struct request_table::short_reply
{
    outcome result = outcome::unknown;
    reply_code code = reply_code::target_lost;
    bool retry_useful = false;
    bool has_digest = false;
    duration retry_after{0};
    tokens billed;
    bits128 digest;
    std::shared_ptr<const incarnation_id> origin; ///< May be null.

    outcome_reply full(const request_key& key) const
    {
        outcome_reply reply;
        reply.result = result;
        reply.code = code;
        reply.retry_useful = retry_useful;
        reply.retry_after = retry_after;
        reply.billed = billed;
        reply.key = key;
        if (origin)
            reply.origin = *origin;
        if (has_digest)
            reply.digest = to_hex(digest.high) + to_hex(digest.low);
        return reply;
    }
};

/// Running while `stream` is set, remembered afterwards.
struct request_table::entry
{
    bits128 body;
    std::shared_ptr<answer_stream> stream;
    short_reply reply;
    std::unique_ptr<std::string> text;
    instant ended;
    std::uint64_t run = 0; ///< Number of the run within the shard.
    bool idempotent = true;
    bool durable = true;
    bool ran = false; ///< A run before this one; `reply` is its outcome.
};

struct request_table::shard
{
    struct place
    {
        bits128 name;
        std::uint64_t run = 0;
    };

    struct name_hash
    {
        std::size_t operator()(const bits128& it) const { return it.low; }
    };

    entry* find(const place& it)
    {
        const auto found = entries.find(it.name);
        const bool same = found != entries.end() && found->second.run == it.run;
        return same ? &found->second : nullptr;
    }

    void drop_text(entry& it)
    {
        if (it.text)
            text_bytes -= it.text->size();
        it.text.reset();
    }

    short_reply shorten(const outcome_reply& reply)
    {
        short_reply kept;
        kept.result = reply.result;
        kept.code = reply.code;
        kept.retry_useful = reply.retry_useful;
        kept.retry_after = reply.retry_after;
        kept.billed = reply.billed;
        kept.has_digest = reply.digest.size() == digest_size;
        kept.digest = bits128::of_digest(reply.digest);
        // Nearly all have this node's name; they share it.
        if (!last_origin || *last_origin != reply.origin)
            last_origin = std::make_shared<const incarnation_id>(reply.origin);
        kept.origin = last_origin;
        return kept;
    }

    /// Without it, places of forgotten texts would pile up for as long as
    /// the memory of the texts never fills.
    void trim_texts()
    {
        while (!texts.empty()) {
            const entry* oldest = find(texts.front());
            if (oldest != nullptr && oldest->text)
                return;
            texts.pop_front();
        }
    }

    mutable std::mutex mutex;
    // All below are guarded by mutex. text_bytes is the size of all texts.
    std::unordered_map<bits128, entry, name_hash> entries;
    std::deque<place> ended;
    std::deque<place> texts;
    std::size_t text_bytes = 0;
    std::uint64_t runs = 0;
    std::shared_ptr<const incarnation_id> last_origin;
};

request_table::request_table(request_table_options options) : options_(options)
{
    assert(options_.shards > 0);
    for (std::size_t n = 0; n < options_.shards; ++n)
        shards_.push_back(std::make_unique<shard>());
}

request_table::~request_table() = default;

request_table::bits128 request_table::name_of(const team_id& team,
                                              const request_key& key) const
{
    const std::uint64_t of_team = hash64(team.str(), options_.seed);
    return {hash64(key.str(), of_team), hash64(key.str(), ~of_team)};
}

request_table::shard& request_table::shard_of(const bits128& name) const
{
    return *shards_[name.high % shards_.size()];
}

admission request_table::admit(const arrival& it, instant now)
{
    const bits128 name = name_of(it.team, it.key);
    shard& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    forget_some(part, now, forget_per_admit);
    const auto found = part.entries.find(name);
    if (found == part.entries.end())
        return add(part, name, it, now);
    admission got = known(found->second, it, now);
    if (got.verdict == admit_verdict::run) {
        part.drop_text(found->second);
        found->second.run = ++part.runs;
    }
    return got;
}

admission request_table::add(shard& part, const bits128& name,
                             const arrival& it, instant now)
{
    if (part.entries.size() >= options_.max_keys / shards_.size() + 1) {
        admission got;
        got.reply.result =
            only_here(it, now) ? outcome::not_run : outcome::unknown;
        got.reply.code = reply_code::too_many_keys;
        got.reply.retry_useful = true;
        got.reply.retry_after = seconds(1);
        got.reply.key = it.key;
        return got;
    }
    entry& made = part.entries[name];
    made.body = bits128::of_digest(it.body_digest);
    made.run = ++part.runs;
    return start(made, it, now, true);
}

bool request_table::only_here(const arrival& it, instant now) const
{
    // Retention counts from a run's end, which is after the issue of its
    // origin; so what was issued within it can't have been forgotten.
    const bool recent = now - it.issued <= options_.retention;
    return it.binding == key_binding::made_here ||
           (it.binding == key_binding::bound_here && recent);
}

admission request_table::start(entry& made, const arrival& it, instant now,
                               bool never_run)
{
    made.idempotent = it.idempotent;
    made.stream = std::make_shared<answer_stream>(options_.stream_limit);
    const bool only = only_here(it, now);
    const bool hinted = it.binding == key_binding::bound_elsewhere ||
                        it.binding == key_binding::bound_here;
    const bool first = it.idempotent ? only || !hinted : only;
    admission got;
    got.verdict = admit_verdict::run;
    got.stream = made.stream;
    got.billed_before = made.reply.billed;
    got.first_arrival = first && never_run;
    got.claim_first = !it.idempotent && !only;
    return got;
}

admission request_table::known(entry& found, const arrival& it, instant now)
{
    admission got;
    got.reply = found.reply.full(it.key);
    if (found.body != bits128::of_digest(it.body_digest)) {
        got.reply = outcome_reply();
        got.reply.key = it.key;
        got.reply.code = reply_code::key_reused;
        return got;
    }
    if (found.stream) {
        got.stream = found.stream;
        got.verdict =
            found.stream->join() ? admit_verdict::join : admit_verdict::await;
        return got;
    }
    const bool idempotent = it.idempotent && found.idempotent;
    const outcome before = found.reply.result;
    if (before == outcome::answered && found.text) {
        got.verdict = admit_verdict::replay;
        got.text = *found.text;
        return got;
    }
    // A proved `not_run` leaves the key as if it had never come.
    if (before == outcome::not_run)
        return start(found, it, now, true);
    const bool again =
        idempotent && found.reply.code != reply_code::ran_and_failed;
    if (again)
        return start(found, it, now, false);
    if (before == outcome::answered)
        got.reply.code = reply_code::answered_before;
    return got;
}

void request_table::finish(const team_id& team, const request_key& key,
                           const conclusion& end, instant now)
{
    const bits128 name = name_of(team, key);
    shard& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(name);
    assert(found != part.entries.end() && found->second.stream);
    entry& ended = found->second;
    const auto stream = std::exchange(ended.stream, nullptr);
    stream->finish(end.reply);
    if (!end.may_have_run && !ended.ran) {
        part.entries.erase(found);
        return;
    }
    ended.ended = now;
    part.ended.push_back({name, ended.run});
    if (end.may_have_run)
        remember(part, name, ended, end, stream->whole_text());
}

void request_table::remember(shard& part, const bits128& name, entry& ended,
                             const conclusion& end,
                             std::optional<std::string> text)
{
    // Whatever has to be recorded has a bill, too.
    ended.durable = end.charge.kind != bill_kind::settle &&
                    end.charge.kind != bill_kind::hold;
    // A later run of the key that failed doesn't undo an earlier answer.
    const bool worse =
        ended.ran && !refines(end.reply.result, ended.reply.result);
    ended.ran = true;
    if (worse)
        return;
    ended.reply = part.shorten(end.reply);
    if (ended.reply.result == outcome::answered)
        keep_text(part, name, ended, std::move(text));
}

void request_table::keep_text(shard& part, const bits128& name, entry& ended,
                              std::optional<std::string> text)
{
    const std::size_t limit = options_.text_memory / shards_.size();
    if (!text || text->size() > std::min(options_.small_answer, limit))
        return;
    ended.text = std::make_unique<std::string>(std::move(*text));
    part.text_bytes += ended.text->size();
    part.texts.push_back({name, ended.run});
    while (part.text_bytes > limit) {
        entry* oldest = part.find(part.texts.front());
        part.texts.pop_front();
        if (oldest != nullptr)
            part.drop_text(*oldest);
    }
}

bool request_table::resolve(const team_id& team, const request_key& key,
                            const outcome_reply& reply)
{
    const bits128 name = name_of(team, key);
    shard& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(name);
    if (found == part.entries.end() || found->second.stream)
        return false;
    const outcome known = found->second.reply.result;
    if (known == reply.result || !refines(reply.result, known))
        return false;
    found->second.reply = part.shorten(reply);
    found->second.durable = false;
    return true;
}

void request_table::mark_durable(const team_id& team, const request_key& key)
{
    const bits128 name = name_of(team, key);
    shard& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(name);
    if (found != part.entries.end())
        found->second.durable = true;
}

std::optional<outcome_reply>
request_table::look_up(const team_id& team, const request_key& key) const
{
    const bits128 name = name_of(team, key);
    const shard& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(name);
    if (found == part.entries.end() || found->second.stream)
        return std::nullopt;
    return found->second.reply.full(key);
}

bool request_table::knows(const team_id& team, const request_key& key) const
{
    const bits128 name = name_of(team, key);
    const shard& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    return part.entries.contains(name);
}

void request_table::forget_some(shard& part, instant now,
                                std::size_t most) const
{
    for (std::size_t n = 0; n < most && !part.ended.empty(); ++n) {
        const shard::place oldest = part.ended.front();
        entry* it = part.find(oldest);
        const bool stale = it == nullptr || it->stream;
        if (!stale && now - it->ended <= options_.retention)
            break;
        part.ended.pop_front();
        if (stale)
            continue;
        if (!it->durable) {
            part.ended.push_back(oldest);
            continue;
        }
        part.drop_text(*it);
        part.entries.erase(oldest.name);
    }
    part.trim_texts();
}

void request_table::expire(instant now)
{
    for (const auto& part : shards_) {
        const std::lock_guard lock(part->mutex);
        forget_some(*part, now, part->ended.size());
    }
}

request_table_counts request_table::counts() const
{
    request_table_counts all;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part->mutex);
        for (const auto& [name, it] : part->entries)
            ++(it.stream ? all.running : all.remembered);
        all.text_bytes += part->text_bytes;
        all.queued += part->ended.size() + part->texts.size();
    }
    return all;
}

} // namespace fennelladder::request
