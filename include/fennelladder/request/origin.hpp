// Which node may run a request, by the origin its key is bound to.
//
// The reply to "which address shall I use?" gives an origin: the incarnation
// of the node at that address and when it was issued. A caller sends it along
// with the key, unchanged in every retry. A key bound to an origin runs there
// only, so its duplicates are found in that node's memory and no store is
// needed; other nodes forward it.
//
//     auto origin = parse_origin(header);
//     switch (origin_rule({.origin = origin, .self = self, ...})) { ... }
//
// Why it holds: a request that is not idempotent gets `run_here` only at its
// origin, whose table remembers the key (request_table.hpp), or nowhere; any
// other way to run leads through a claim, which the journal grants once. An
// origin that is gone can't come back: incarnations are never drawn twice.
//
// A caller must not send one key with two origins; the key of a request that
// is retried through a new entry answer keeps its old origin.

#ifndef FENNELLADDER_REQUEST_ORIGIN_HPP
#define FENNELLADDER_REQUEST_ORIGIN_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/request/outcome.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::request {

/// What binds a key to a node. `issued` is of that node's own clock and
/// means nothing at another.
struct origin_token
{
    incarnation_id node;
    instant issued;

    friend bool operator==(const origin_token&, const origin_token&) = default;
};

/// "austin-1.18c2f0a97b3d1e44@1700000000000000000".
std::string to_string(const origin_token& token);

/// Inverse of to_string(); fails with `invalid`. Thread safe.
result<origin_token> parse_origin(std::string_view text);

/// What a node knows when a request arrives.
struct origin_facts
{
    std::optional<origin_token> origin; ///< As sent by the caller.
    incarnation_id self;
    bool key_from_caller = true;
    bool idempotent = true;
    /// The origin can be asked, as far as is known (a hint: a wrong one costs
    /// a failed forward, after which it is asked again with false).
    bool origin_reachable = false;
};

enum class origin_verdict : std::uint8_t
{
    run_here,       ///< Through the table, without a claim.
    claim_then_run, ///< Through the table, and claimed before dispatch.
    forward,        ///< To the origin, whose reply is passed on.
    look_up         ///< In the journal only; answer with journal_reply().
};

std::string_view to_string(origin_verdict value);

/// Decides; total, pure, thread safe.
origin_verdict origin_rule(const origin_facts& facts);

/// What is said of a key whose origin can't be asked. `recorded` is the
/// outcome the journal holds, nothing if it holds none or can't be read.
/// Never `not_run` without a record that says so, and never a reason to run.
outcome_reply journal_reply(const request_key& key,
                            const incarnation_id& origin,
                            const std::optional<outcome_reply>& recorded,
                            duration retry_after);

} // namespace fennelladder::request

#endif
