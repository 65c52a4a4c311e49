// The events of a run, which together are its history.
//
// Callers, nodes, targets and operators write down what they saw or did; the
// checker (checker.hpp) then decides whether the promises held. A history is
// a text file of JSON lines; docs/HISTORY.md defines every field, its unit
// and who writes it.
//
//     event it{now, node_id("n1"), billed{key, budget, tokens(12), bill}};
//     std::string line = to_json_line(it);
//     result<event> back = parse_event(line);
//
// Caveats. A request key is unique within its team only, so histories carry
// global_key(team, key). A digest is text that the checker compares; the one
// made by answer_digest is a running digest, see there.

#ifndef FENNELLADDER_HISTORY_EVENT_HPP
#define FENNELLADDER_HISTORY_EVENT_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fennelladder::history {

/// Who an event is about: a node's incarnation, or a target that died.
using node_id = text_id<struct node_tag>;

/// Names one bill; the same bill written twice carries the same id.
using bill_id = text_id<struct bill_tag>;

/// A top-up is in the books.
struct prepaid
{
    budget_id budget;
    tokens amount; ///< At least 0.
    topup_id topup;
};

/// A caller sends a request to the node of the event. Written before the
/// first byte goes out.
struct sent
{
    request_id request; ///< Unique in the history.
    team_id team;
    budget_id budget;
    request_key key; ///< See global_key().
    caller_kind kind;
    bool idempotent = false;
    caller_id caller;
};

/// A node hands a request to a target. Written before the first byte goes
/// out, so that no execution can precede it.
struct dispatched
{
    request_id request;
    request_key key;
    target_id target;
    std::uint64_t attempt = 0; ///< As the target is told it.
};

/// A target began to run a request. Written by the target.
struct executed
{
    request_key key;
    target_id target;
    std::uint64_t attempt = 0;
};

/// A caller got a piece of an answer.
struct chunk
{
    request_id request;
    caller_id caller;
    std::uint64_t offset = 0; ///< Bytes of the answer before this piece.
    std::uint64_t bytes = 0;
    std::string digest; ///< Of what the caller has got so far.
};

/// A caller got the end of an answer.
struct answered
{
    request_id request;
    caller_id caller;
    std::uint64_t length = 0; ///< Bytes, as the answer's source says.
    std::string digest;       ///< Of the whole, as its source says.
};

/// A caller is told that its request did not run.
struct not_run
{
    request_id request;
};

/// A caller is told, or must conclude, that its request may have run.
struct unknown
{
    request_id request;
};

/// A bill took effect in the books.
struct billed
{
    request_key key;
    budget_id budget;
    tokens amount; ///< At least 0.
    bill_id bill;
};

/// A request is turned away for want of tokens; it did not run.
struct refused
{
    request_id request;
    budget_id budget;
};

/// A target was announced as leaving.
struct target_leaving
{
    target_id target;
};

/// The conditional write that accepts a configuration took effect.
struct config_accepted
{
    fennelladder::generation generation;
    std::string hash;
};

/// The node of the event decides by this configuration from now on.
struct config_in_force
{
    fennelladder::generation generation;
    std::string hash;
};

/// The node of the event begins a graceful shutdown.
struct shutdown_begin
{};

/// The node of the event ends its graceful shutdown.
struct shutdown_end
{};

/// The node (or target) of the event died, without a shutdown.
struct died
{};

using event_body =
    std::variant<prepaid, sent, dispatched, executed, chunk, answered, not_run,
                 unknown, billed, refused, target_leaving, config_accepted,
                 config_in_force, shutdown_begin, shutdown_end, died>;

/// One line of a history.
struct event
{
    instant at;
    node_id node;
    event_body body;
};

/// "TEAM/KEY": the name of a key in histories.
request_key global_key(const team_id& team, const request_key& key);

/// The name of an event's kind as in the file, such as "not_run".
std::string_view event_name(const event_body& body);

/// One JSON object without a line feed. Bytes that are not UTF-8 are
/// replaced. Thread safe.
std::string to_json_line(const event& it);

/// Reads one line. All faults of the line are named in the one message of the
/// error, whose code is `invalid`. Unknown fields are passed over; unknown
/// events, missing, repeated or mistyped fields are faults. Thread safe.
result<event> parse_event(std::string_view line);

/// Running digest of an answer: "run:" and 16 hexadecimal digits, the xxHash3
/// of all bytes added so far. It doesn't depend on how the bytes are cut into
/// pieces, so that a caller's digest after its last chunk equals the source's
/// digest of the whole exactly when they saw the same bytes. Not thread safe.
class answer_digest
{
public:
    answer_digest();
    ~answer_digest();
    answer_digest(answer_digest&&) noexcept;
    answer_digest& operator=(answer_digest&&) noexcept;

    /// Goes on with the next bytes of the answer.
    void add(std::string_view bytes);

    /// Bytes added so far.
    std::uint64_t size() const { return size_; }

    /// The digest of all bytes added so far.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
    std::uint64_t size_ = 0;
};

} // namespace fennelladder::history

#endif
