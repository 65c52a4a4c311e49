// Typed representations of callers' requests, and their parsing from HTTP.
//
//     findings found;
//     auto call = read_completion(head, body, found);
//     if (!call)
//         return reply_bad_request(found); // nothing has run or is charged
//
// docs/API.md describes the protocol. The names of its headers are constants
// of this file.

#ifndef FENNELLADDER_GATEWAY_CALLS_HPP
#define FENNELLADDER_GATEWAY_CALLS_HPP

#include "fennelladder/base/findings.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::gateway {

/// Names of the headers of the callers' protocol.
namespace header_name {
constexpr const char* team = "Fennelladder-Team";
constexpr const char* budget = "Fennelladder-Budget";
constexpr const char* caller_kind = "Fennelladder-Caller-Kind";
constexpr const char* caller = "Fennelladder-Caller";
constexpr const char* idempotency_key = "Idempotency-Key";
constexpr const char* origin = "Fennelladder-Origin";
constexpr const char* request = "X-Request-Id";
constexpr const char* deadline = "Fennelladder-Deadline-Ms";
constexpr const char* forwarded = "Fennelladder-Forwarded";
constexpr const char* outcome = "Fennelladder-Outcome";
constexpr const char* code = "Fennelladder-Code";
constexpr const char* key = "Fennelladder-Key";
constexpr const char* digest = "Fennelladder-Digest";
constexpr const char* billed = "Fennelladder-Billed-Tokens";
} // namespace header_name

/// Maximum length of an id or key in a request, in bytes.
constexpr std::size_t max_name_bytes = 200;

/// Maximum length of a prompt, in bytes.
constexpr std::size_t max_prompt_bytes = 800'000;

/// Maximum value of `max_tokens` in a request, in tokens.
constexpr std::int64_t max_output_limit = 1'000'000;

/// Header fields that all calls share: the caller, the budget that is charged
/// and the request key.
struct call_head
{
    team_id team;
    budget_id budget;
    caller_kind kind;
    caller_id caller;      ///< Spreads entry responses over nodes; optional.
    request_key key;       ///< If empty, the node generates one.
    request_id request;    ///< Of this transmission; empty if not given.
    incarnation_id origin; ///< If empty, the key is bound to no node.
    std::optional<duration> deadline; ///< If unset, that of the caller kind.
    bool forwarded = false;           ///< Another node forwarded it.
};

/// A request for a completion by a model engine.
struct completion_call
{
    call_head head;
    model_id model;
    model_version version; ///< If empty, the team's default.
    adapter_id adapter;    ///< If empty, the model without an adapter.
    std::string prompt;
    std::int64_t max_output = 0; ///< Tokens.
    bool stream = false;
};

/// A call to a plain service. The body is forwarded unmodified.
struct service_call
{
    call_head head;
    service_id service;
    std::string call;
    std::string body;
};

/// Returns the value of a request header by name, or an empty string.
using header_reader = std::function<std::string_view(const char* name)>;

/// Reads the headers that all calls share; adds every error to `found`.
/// Thread safe.
call_head read_head(const header_reader& header, findings& found);

/// Reads a completion from its headers and JSON body. Adds every error to
/// `found` and returns nothing unless `found` is empty. Thread safe.
std::optional<completion_call> read_completion(const header_reader& header,
                                               std::string_view body,
                                               findings& found);

/// Reads a service call from its headers and a path of the form
/// "/v1/services/SERVICE/CALL". Adds every error to `found` and returns nothing
/// unless `found` is empty. Precondition: `path` starts with "/v1/services/".
/// Thread safe.
std::optional<service_call> read_service_call(const header_reader& header,
                                              std::string_view path,
                                              std::string body,
                                              findings& found);

} // namespace fennelladder::gateway

#endif
