// What callers ask, as typed values, and how they are read from HTTP.
//
//     findings found;
//     auto call = read_completion(head, body, found);
//     if (!call)
//         return reply_bad_request(found); // nothing ran, nothing is charged
//
// docs/API.md describes the protocol; names of headers are constants here.

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

/// Headers of the callers' protocol.
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

/// Longest id or key that callers may send, in bytes.
constexpr std::size_t max_name_bytes = 200;

/// Largest prompt, in bytes.
constexpr std::size_t max_prompt_bytes = 800'000;

/// Largest `max_tokens` that a caller may ask for.
constexpr std::int64_t max_output_limit = 1'000'000;

/// Who asks, on whose budget, and under which key.
struct call_head
{
    team_id team;
    budget_id budget;
    caller_kind kind;
    caller_id caller;      ///< For the spread of entry answers; optional.
    request_key key;       ///< Empty: the node makes one.
    request_id request;    ///< Of this arrival; empty: none given.
    incarnation_id origin; ///< Empty: the key is bound to no node.
    std::optional<duration> deadline; ///< Empty: that of the caller kind.
    bool forwarded = false;           ///< Another node passed it on.
};

/// A completion by a model engine.
struct completion_call
{
    call_head head;
    model_id model;
    model_version version; ///< Empty: the team's default.
    adapter_id adapter;    ///< Empty: the bare model.
    std::string prompt;
    std::int64_t max_output = 0; ///< Tokens.
    bool stream = false;
};

/// A call of a plain service. The body is passed on as it is.
struct service_call
{
    call_head head;
    service_id service;
    std::string call;
    std::string body;
};

/// Value of a request header by name, or empty.
using header_reader = std::function<std::string_view(const char* name)>;

/// Reads the headers that all calls share; what is wrong goes to `found`.
call_head read_head(const header_reader& header, findings& found);

/// Reads a completion from its JSON body. Returns nothing when something was
/// found (head included). Thread safe.
std::optional<completion_call> read_completion(const header_reader& header,
                                               std::string_view body,
                                               findings& found);

/// Reads a service call from "/v1/services/SERVICE/CALL". Thread safe.
std::optional<service_call> read_service_call(const header_reader& header,
                                              std::string_view path,
                                              std::string body,
                                              findings& found);

} // namespace fennelladder::gateway

#endif
