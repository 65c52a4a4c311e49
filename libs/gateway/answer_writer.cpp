// Events are the dialect of the completions call: one JSON object per "data:"
// line, then "[DONE]". What is ours sits under the member "fennelladder".

#include "fennelladder/gateway/answer_writer.hpp"

#include "fennelladder/gateway/calls.hpp"

#include <nlohmann/json.hpp>

namespace fennelladder::gateway {

namespace {

using nlohmann::ordered_json;
using request::outcome;
using request::outcome_reply;
using request::reply_code;

std::string dump(const ordered_json& value)
{
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::int64_t to_milliseconds(duration length)
{
    return std::chrono::ceil<milliseconds>(length).count();
}

ordered_json facts_of(const outcome_reply& reply, std::string_view origin)
{
    ordered_json facts;
    facts["outcome"] = to_string(reply.result);
    facts["code"] = to_string(reply.code);
    facts["key"] = reply.key.str();
    if (!origin.empty())
        facts["origin"] = origin;
    facts["billed_tokens"] = reply.billed.count();
    if (!reply.digest.empty())
        facts["digest"] = reply.digest;
    if (reply.retry_useful)
        facts["retry_after_ms"] = to_milliseconds(reply.retry_after);
    return facts;
}

ordered_json usage_of(const token_usage& usage)
{
    return {{"prompt_tokens", usage.prompt},
            {"completion_tokens", usage.output},
            {"total_tokens", usage.prompt + usage.output}};
}

ordered_json choice_of(std::string_view text, bool last)
{
    ordered_json choice;
    choice["index"] = 0;
    choice["text"] = text;
    choice["finish_reason"] = last ? ordered_json("stop") : ordered_json();
    return ordered_json::array({choice});
}

} // namespace

int status_of(const outcome_reply& reply)
{
    switch (reply.code) {
    case reply_code::ok:
        return 200;
    case reply_code::answered_before:
    case reply_code::claimed_elsewhere:
        return 409;
    case reply_code::budget_exhausted:
        return 402;
    case reply_code::key_reused:
    case reply_code::ran_and_failed:
        return 422;
    case reply_code::deadline_passed:
        return 504;
    case reply_code::target_lost:
    case reply_code::stream_cut:
    case reply_code::origin_lost:
    case reply_code::caller_left:
        return 502;
    default:
        return 503;
    }
}

std::string error_body(const outcome_reply& reply, std::string_view origin)
{
    ordered_json body;
    body["error"] = {{"code", to_string(reply.code)},
                     {"message", "the request ended as " +
                                     std::string(to_string(reply.result))}};
    body.update(facts_of(reply, origin));
    return dump(body);
}

answer_writer::answer_writer(http::exchange& to, answer_options form)
    : to_(to), form_(std::move(form))
{}

std::vector<http::response_header>
answer_writer::headers(const outcome_reply& reply) const
{
    std::vector<http::response_header> all{
        {header_name::outcome, std::string(to_string(reply.result))},
        {header_name::code, std::string(to_string(reply.code))},
        {header_name::key, reply.key.str()},
        {header_name::billed, std::to_string(reply.billed.count())}};
    if (!form_.origin.empty())
        all.push_back({header_name::origin, form_.origin});
    if (!reply.digest.empty())
        all.push_back({header_name::digest, reply.digest});
    if (reply.retry_useful) {
        const auto wait = std::chrono::ceil<seconds>(reply.retry_after);
        all.push_back({"Retry-After", std::to_string(wait.count())});
    }
    return all;
}

bool answer_writer::text(std::string_view piece)
{
    if (!form_.stream) {
        whole_ += piece;
        return !gone_;
    }
    if (gone_)
        return false;
    if (!begun_) {
        begun_ = true;
        http::server_response head;
        head.content_type = "text/event-stream";
        head.headers = {{"Cache-Control", "no-store"},
                        {header_name::key, form_.key.str()}};
        if (!form_.origin.empty())
            head.headers.push_back({header_name::origin, form_.origin});
        gone_ = !to_.begin_stream(head);
    }
    ordered_json event;
    event["id"] = form_.key.str();
    event["object"] = "text_completion";
    event["model"] = form_.model;
    event["choices"] = choice_of(piece, false);
    gone_ = gone_ || !to_.write("data: " + dump(event) + "\n\n");
    return !gone_;
}

bool answer_writer::keep_alive()
{
    if (begun_ && !gone_)
        gone_ = !to_.write(":\n\n");
    return !gone_;
}

void answer_writer::end_stream(const outcome_reply& reply,
                               const token_usage& usage)
{
    ordered_json event;
    event["id"] = form_.key.str();
    event["object"] = "text_completion";
    event["model"] = form_.model;
    const bool whole = reply.result == outcome::answered;
    if (whole) {
        event["choices"] = choice_of("", true);
        event["usage"] = usage_of(usage);
    } else {
        event["error"] = {{"code", to_string(reply.code)}};
    }
    event["fennelladder"] = facts_of(reply, form_.origin);
    std::string text = "data: " + dump(event) + "\n\n";
    if (whole)
        text += "data: [DONE]\n\n";
    if (!gone_ && to_.write(text))
        to_.end_stream();
}

void answer_writer::end(const outcome_reply& reply, const token_usage& usage)
{
    if (begun_)
        return end_stream(reply, usage);
    if (gone_)
        return;
    const bool whole =
        reply.result == outcome::answered && reply.code == reply_code::ok;
    if (whole && form_.stream) {
        text("");
        return end_stream(reply, usage);
    }
    http::server_response made{.status = status_of(reply),
                               .headers = headers(reply)};
    if (whole) {
        ordered_json body;
        body["id"] = form_.key.str();
        body["object"] = "text_completion";
        body["model"] = form_.model;
        body["choices"] = choice_of(whole_, true);
        body["usage"] = usage_of(usage);
        body["fennelladder"] = facts_of(reply, form_.origin);
        made.body = dump(body);
    } else {
        made.body = error_body(reply, form_.origin);
    }
    to_.reply(made);
}

void answer_writer::end_service_call(const outcome_reply& reply, int status,
                                     const std::string& content_type,
                                     const std::string& body)
{
    if (reply.result != outcome::answered || reply.code != reply_code::ok)
        return end(reply, {});
    to_.reply({.status = status,
               .content_type = content_type,
               .headers = headers(reply),
               .body = body});
}

} // namespace fennelladder::gateway
