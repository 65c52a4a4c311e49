// Only an offset, a length and a running hash are kept, so the cost does not
// depend on how long the answer has grown. A chunk is first placed against
// the offset; only one that extends the answer changes anything.

#include "fennelladder/request/relay_checker.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>
#include <xxhash.h>

namespace fennelladder::request {

namespace {

constexpr auto verdict_names = std::to_array<std::string_view>(
    {"relayed", "trimmed", "repeated", "crossed", "late", "overlap", "gap",
     "bad_length"});

} // namespace

std::string_view to_string(relay_verdict value)
{
    return verdict_names.at(static_cast<std::size_t>(value));
}

struct relay_checker::hash_state
{
    hash_state() : state(XXH3_createState()) { XXH3_128bits_reset(state); }

    ~hash_state() { XXH3_freeState(state); }

    hash_state(const hash_state&) = delete;
    hash_state& operator=(const hash_state&) = delete;

    XXH3_state_t* state;
};

relay_checker::relay_checker() : hash_(std::make_unique<hash_state>())
{}

relay_checker::~relay_checker() = default;
relay_checker::relay_checker(relay_checker&&) noexcept = default;
relay_checker& relay_checker::operator=(relay_checker&&) noexcept = default;

void relay_checker::begin_attempt(request_id attempt)
{
    assert(attempt != attempt_);
    if (!attempt_.empty())
        earlier_.push_back(std::move(attempt_));
    attempt_ = std::move(attempt);
}

relay_result relay_checker::place(const answer_chunk& chunk) const
{
    if (chunk.attempt != attempt_) {
        const bool ours =
            std::ranges::find(earlier_, chunk.attempt) != earlier_.end();
        return {ours ? relay_verdict::late : relay_verdict::crossed, {}};
    }
    if (chunk.offset > offset_)
        return {relay_verdict::gap, {}};
    const std::uint64_t known = offset_ - chunk.offset;
    const std::uint64_t size = chunk.units;
    const bool extends = size > known;
    const std::uint64_t reach = extends ? chunk.offset + size : offset_;
    const bool contradicts = chunk.end && end_ && *chunk.end != *end_;
    const bool overruns = (end_ && reach > *end_) ||
                          (chunk.end && *chunk.end != chunk.offset + size) ||
                          (chunk.end && *chunk.end < offset_);
    if (contradicts || overruns)
        return {relay_verdict::bad_length, {}};
    if (!extends && (known > 0 || size > 0))
        return {relay_verdict::repeated, {}};
    if (known == 0)
        return {relay_verdict::relayed, chunk.text};
    if (size != chunk.text.size())
        return {relay_verdict::overlap, {}};
    return {relay_verdict::trimmed, chunk.text.substr(known)};
}

relay_result relay_checker::check(const answer_chunk& chunk)
{
    const relay_result got = place(chunk);
    const bool extends = got.verdict == relay_verdict::relayed ||
                         got.verdict == relay_verdict::trimmed;
    if (!extends && got.verdict != relay_verdict::repeated)
        return got;
    if (chunk.end)
        end_ = chunk.end;
    if (extends) {
        XXH3_128bits_update(hash_->state, got.text.data(), got.text.size());
        offset_ = chunk.offset + chunk.units;
    }
    assert(!end_ || offset_ <= *end_);
    return got;
}

std::string relay_checker::digest() const
{
    const XXH128_hash_t hash = XXH3_128bits_digest(hash_->state);
    return to_hex(hash.high64) + to_hex(hash.low64);
}

} // namespace fennelladder::request
