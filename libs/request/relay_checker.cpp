// Only an offset, a length and a running hash are kept, so the cost does not
// depend on how long the answer has grown. A chunk is first placed against
// the offset; only one that extends the answer changes anything.

#include "fennelladder/request/relay_checker.hpp"

#include "fennelladder/base/hash.hpp"

#include <array>
#include <cassert>
#include <utility>
#include <xxhash.h>

namespace fennelladder::request {

namespace {

constexpr auto verdict_names = std::to_array<std::string_view>(
    {"relayed", "trimmed", "repeated", "crossed", "late", "gap", "bad_length"});

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

relay_checker::relay_checker(request_id request)
    : request_(std::move(request)), hash_(std::make_unique<hash_state>())
{}

relay_checker::~relay_checker() = default;
relay_checker::relay_checker(relay_checker&&) noexcept = default;
relay_checker& relay_checker::operator=(relay_checker&&) noexcept = default;

void relay_checker::begin_attempt(int attempt)
{
    assert(attempt > attempt_);
    attempt_ = attempt;
}

relay_result relay_checker::place(const answer_chunk& chunk) const
{
    if (chunk.request != request_)
        return {relay_verdict::crossed, {}};
    if (chunk.attempt != attempt_)
        return {relay_verdict::late, {}};
    if (chunk.offset > offset_)
        return {relay_verdict::gap, {}};
    const std::uint64_t known = offset_ - chunk.offset;
    const std::uint64_t size = chunk.text.size();
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
    return {known > 0 ? relay_verdict::trimmed : relay_verdict::relayed,
            chunk.text.substr(known)};
}

relay_result relay_checker::check(const answer_chunk& chunk)
{
    const relay_result got = place(chunk);
    const bool counts = got.verdict == relay_verdict::relayed ||
                        got.verdict == relay_verdict::trimmed ||
                        got.verdict == relay_verdict::repeated;
    if (!counts)
        return got;
    if (chunk.end)
        end_ = chunk.end;
    XXH3_128bits_update(hash_->state, got.text.data(), got.text.size());
    offset_ += got.text.size();
    assert(!end_ || offset_ <= *end_);
    return got;
}

std::string relay_checker::digest() const
{
    const XXH128_hash_t hash = XXH3_128bits_digest(hash_->state);
    return to_hex(hash.high64) + to_hex(hash.low64);
}

} // namespace fennelladder::request
