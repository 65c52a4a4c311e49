// What the journal's tests share: a state that shows order, a store that
// fails on purpose, and an oracle.

#ifndef FENNELLADDER_JOURNAL_TEST_SUPPORT_HPP
#define FENNELLADDER_JOURNAL_TEST_SUPPORT_HPP

#include "codec.hpp"
#include "fennelladder/base/hash.hpp"
#include "fennelladder/journal/shard_log.hpp"
#include "fennelladder/platform/memory_object_store.hpp"

#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <vector>

namespace fennelladder::journal {

constexpr int wish_add = 1;    // payload: bytes to add; refused when odd
constexpr int wish_retire = 2; // payload: the writer

/// Counts wishes, and keeps a digest of all marks in their order, so that two
/// states are equal only if the same records came in the same order.
class digest_state final : public folded_state
{
public:
    verdict apply(const record& wish) override
    {
        const std::string mark =
            wish.mark.writer.str() + '#' + std::to_string(wish.mark.sequence);
        if (!seen.insert(mark).second)
            doubled = true;
        digest = hash64(mark + wish.payload, digest);
        if (wish.type == wish_retire)
            return {true, "", incarnation_id(wish.payload)};
        if (wish.payload.size() % 2 == 1)
            return {false, "odd", {}};
        padding += wish.payload;
        return {true, std::to_string(seen.size()), {}};
    }

    std::string encode() const override
    {
        std::string text = to_hex(digest) + (doubled ? "!" : ".");
        for (const std::string& it : seen)
            text += it + ' ';
        return text + '\n' + padding;
    }

    status decode(std::string_view bytes) override
    {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos || end < 17)
            return fail(error_code::corrupt, "digest_state");
        digest = std::stoull(std::string(bytes.substr(0, 16)), nullptr, 16);
        doubled = bytes[16] == '!';
        std::string_view names = bytes.substr(17, end - 17);
        while (!names.empty()) {
            const auto space = names.find(' ');
            seen.emplace(names.substr(0, space));
            names.remove_prefix(space + 1);
        }
        padding = bytes.substr(end + 1);
        return {};
    }

    std::set<std::string> seen;
    std::uint64_t digest = 0;
    bool doubled = false; // one record was applied twice
    std::string padding;
};

inline std::unique_ptr<folded_state> make_digest_state()
{
    return std::make_unique<digest_state>();
}

inline const digest_state& digest_of(const shard_log& log)
{
    return dynamic_cast<const digest_state&>(log.state());
}

enum class call_kind : std::uint8_t
{
    read,
    segment,
    root,
    chunk,
    erase
};

enum class fault : std::uint8_t
{
    none,
    refuse,       // `unavailable`: nothing happened
    lose_request, // a write says `ambiguous` but never arrives
    lose_reply,   // it took effect, and the writer hears `ambiguous`
    delay,        // `ambiguous`; it takes effect just before the next call
    crash_before, // the process ends before the call takes effect
    crash_after   // the process ends before it hears
};

/// Thrown where a process would have ended.
struct crashed : std::runtime_error
{
    crashed() : std::runtime_error("crashed") {}
};

/// A memory store whose calls fail as `plan` says, and which notes every
/// segment in the order in which they took effect. Not thread safe.
class faulty_store final : public platform::object_store
{
public:
    using planner = std::function<fault(call_kind)>;

    explicit faulty_store(planner plan = {}) : plan(std::move(plan)) {}

    result<platform::stored_object>
    get(const platform::object_key& key) override
    {
        return through<platform::stored_object>(
            call_kind::read, [this, key] { return inner.get(key); });
    }

    result<object_version> put(const platform::object_key& key,
                               std::string_view value,
                               platform::write_condition condition) override
    {
        largest = std::max(largest, value.size());
        const auto kind = kind_of(key);
        return through<object_version>(
            kind, [this, key, text = std::string(value), condition, kind] {
                auto made = inner.put(key, text, condition);
                if (made && kind == call_kind::segment)
                    segments.push_back(text);
                return made;
            });
    }

    status erase(const platform::object_key& key,
                 platform::write_condition condition) override
    {
        return through<void>(call_kind::erase, [this, key, condition] {
            return inner.erase(key, condition);
        });
    }

    result<platform::object_page> list(std::string_view prefix,
                                       const platform::object_key& after,
                                       std::size_t limit) override
    {
        return through<platform::object_page>(
            call_kind::read, [&] { return inner.list(prefix, after, limit); });
    }

    result<platform::change_page> watch(std::string_view prefix,
                                        std::uint64_t revision,
                                        duration wait) override
    {
        return inner.watch(prefix, revision, wait);
    }

    planner plan;
    platform::memory_object_store inner;
    std::vector<std::string> segments;
    std::size_t largest = 0;
    std::uint64_t calls = 0;

private:
    static call_kind kind_of(const platform::object_key& key)
    {
        if (key.str().ends_with("/root"))
            return call_kind::root;
        return key.str().find("/chunk/") != std::string::npos
                   ? call_kind::chunk
                   : call_kind::segment;
    }

    template <class Value, class Call>
    result<Value> through(call_kind kind, Call call)
    {
        ++calls;
        const fault what = plan ? plan(kind) : fault::none;
        if (auto late = std::exchange(late_, {}))
            late();
        const bool reads = kind == call_kind::read;
        if (what == fault::crash_before)
            throw crashed();
        if (what == fault::none)
            return call();
        if (what == fault::refuse || reads)
            return fail(error_code::unavailable, "refused");
        if (what == fault::delay)
            late_ = [call] { (void)call(); };
        if (what == fault::lose_reply || what == fault::crash_after)
            (void)call();
        if (what == fault::crash_after)
            throw crashed();
        return fail(error_code::ambiguous, "no reply");
    }

    std::function<void()> late_;
};

/// The state that the segments add up to, worked out without any of the
/// journal's own bookkeeping: all marks ever seen are remembered.
inline digest_state replay(const std::vector<std::string>& segments)
{
    digest_state state;
    std::set<std::pair<incarnation_id, std::uint64_t>> marks;
    for (const std::string& it : segments) {
        const auto records = decode_segment(it);
        for (const record& wish : records.value()) {
            if (marks.emplace(wish.mark.writer, wish.mark.sequence).second)
                state.apply(wish);
        }
    }
    return state;
}

inline shard_log_options quick_options()
{
    shard_log_options options;
    options.wait = [](duration) {};
    return options;
}

inline const journal_layout small_ring{"j", 1, 8};

inline shard_log open_log(platform::object_store& store,
                          shard_log_options options = quick_options(),
                          const journal_layout& layout = small_ring)
{
    return {
        store, layout, shard_id(0), make_digest_state, 1, std::move(options)};
}

/// A record numbered `sequence` of writer `name`.
inline record wish(const std::string& name, std::uint64_t sequence,
                   std::string payload = "ab", int type = wish_add)
{
    return {{incarnation_id(name), sequence, 0, 0}, type, std::move(payload)};
}

inline std::string encoded(const shard_log& log)
{
    return log.state().encode();
}

} // namespace fennelladder::journal

#endif
