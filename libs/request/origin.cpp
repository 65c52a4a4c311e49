// The rule is a short decision list over five facts; origin_test.cpp goes
// through all their combinations.

#include "fennelladder/request/origin.hpp"

#include <array>
#include <charconv>

namespace fennelladder::request {

namespace {

constexpr auto verdict_names = std::to_array<std::string_view>(
    {"run_here", "claim_then_run", "forward", "look_up"});

} // namespace

std::string_view to_string(origin_verdict value)
{
    return verdict_names.at(static_cast<std::size_t>(value));
}

std::string to_string(const origin_token& token)
{
    return token.node.str() + '@' +
           std::to_string(to_nanoseconds(token.issued));
}

result<origin_token> parse_origin(std::string_view text)
{
    const std::size_t at = text.rfind('@');
    if (at == std::string_view::npos || at == 0)
        return fail(error_code::invalid, "origin without '@'");
    const std::string_view digits = text.substr(at + 1);
    const char* last = digits.data() + digits.size();
    std::int64_t issued = 0;
    const auto [end, ec] = std::from_chars(digits.data(), last, issued);
    if (ec != std::errc() || end != last)
        return fail(error_code::invalid, "origin without time of issue");
    return origin_token{incarnation_id(std::string(text.substr(0, at))),
                        from_nanoseconds(issued)};
}

origin_verdict origin_rule(const origin_facts& facts)
{
    // A key this node draws itself can't have been seen by anyone.
    if (!facts.key_from_caller)
        return origin_verdict::run_here;
    if (!facts.origin) {
        return facts.idempotent ? origin_verdict::run_here
                                : origin_verdict::claim_then_run;
    }
    if (facts.origin->node == facts.self)
        return origin_verdict::run_here;
    if (facts.origin_reachable)
        return origin_verdict::forward;
    return facts.idempotent ? origin_verdict::run_here
                            : origin_verdict::look_up;
}

outcome_reply journal_reply(const request_key& key,
                            const incarnation_id& origin,
                            const std::optional<outcome_reply>& recorded,
                            duration retry_after)
{
    outcome_reply reply;
    if (recorded)
        reply = *recorded;
    if (reply.result == outcome::answered)
        reply.code = reply_code::answered_before;
    if (!recorded) {
        reply.result = outcome::unknown;
        reply.code = reply_code::origin_lost;
        reply.retry_useful = true;
        reply.retry_after = retry_after;
    }
    reply.key = key;
    reply.origin = origin;
    return reply;
}

} // namespace fennelladder::request
