// Looks at every chunk of an answer before it's relayed: it must belong to
// this request and this attempt, and go on where the last one ended.
//
//     relay_checker checker;
//     checker.begin_attempt(id);             // each attempt has its own id
//     relay_result got = checker.check(chunk);
//     write(got.text);                       // empty if nothing is to relay
//     if (got.verdict == relay_verdict::gap)
//         resume at checker.offset();
//     if (checker.whole())
//         done(checker.digest());
//
// Late answers (of an attempt that was given up), crossed ones (of another
// request) and repeated ones are dropped; a chunk that overlaps what was
// relayed is trimmed, or dropped if it can't be. The answer is whole only when
// the end marker was seen and its length is what was relayed.
//
// Offsets and lengths are in the target's units: tokens at engines, bytes at
// services. Only a chunk of as many units as bytes can be trimmed, since
// nothing tells which bytes of a longer one belong to which token.

#ifndef FENNELLADDER_REQUEST_RELAY_CHECKER_HPP
#define FENNELLADDER_REQUEST_RELAY_CHECKER_HPP

#include "fennelladder/base/ids.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::request {

/// Part of an answer as it came from a target.
struct answer_chunk
{
    request_id attempt;       ///< As the target names it.
    std::uint64_t offset = 0; ///< Of its first unit in the whole answer.
    std::uint64_t units = 0;  ///< That it holds.
    std::string_view text;
    /// Length of the whole answer, on the chunk that ends it.
    std::optional<std::uint64_t> end;
};

enum class relay_verdict : std::uint8_t
{
    relayed,   ///< Goes on exactly where the last one ended.
    trimmed,   ///< Its start was relayed before; `text` is the rest.
    repeated,  ///< All of it was relayed before; dropped.
    crossed,   ///< Of another request; dropped. The connection is unusable.
    late,      ///< Of an earlier attempt; dropped.
    overlap,   ///< Part of it was relayed before; dropped, as it can't be
               ///< trimmed. Resume at offset().
    gap,       ///< Something before it is missing; dropped. Resume at
               ///< offset().
    bad_length ///< Its end contradicts what was relayed; dropped.
};

std::string_view to_string(relay_verdict value);

struct relay_result
{
    relay_verdict verdict = relay_verdict::relayed;
    std::string_view text; ///< Part of the chunk's text.
};

/// Not thread safe: one worker relays one answer.
class relay_checker
{
public:
    relay_checker();
    ~relay_checker();
    relay_checker(relay_checker&&) noexcept;
    relay_checker& operator=(relay_checker&&) noexcept;

    /// From now on only chunks of this attempt count. Precondition: no
    /// attempt of any request has had the id before.
    void begin_attempt(request_id attempt);

    /// Takes one chunk; O(its length). Precondition: an attempt has begun.
    relay_result check(const answer_chunk& chunk);

    /// Units relayed so far: where to resume.
    std::uint64_t offset() const { return offset_; }

    /// The end marker came, and everything before it was relayed.
    bool whole() const { return end_ && *end_ == offset_; }

    /// digest128 of the text relayed so far.
    std::string digest() const;

private:
    struct hash_state;

    relay_result place(const answer_chunk& chunk) const;

    request_id attempt_;
    std::vector<request_id> earlier_; // at most the attempt cap
    std::uint64_t offset_ = 0;
    std::optional<std::uint64_t> end_; // set once; never below offset_
    std::unique_ptr<hash_state> hash_; // of the text relayed
};

} // namespace fennelladder::request

#endif
