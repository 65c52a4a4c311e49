// Streams use the event format of the completions API: one JSON object per
// "data:" line, then "[DONE]". Fields that extend this format are in the member
// "fennelladder".

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

ordered_json extension_of(const outcome_reply& reply, std::string_view origin)
{
    ordered_json extension;
    extension["outcome"] = to_string(reply.result);
    extension["code"] = to_string(reply.code);
    extension["key"] = reply.key.str();
    if (!origin.empty())
        extension["origin"] = origin;
    extension["billed_tokens"] = reply.billed.count();
    if (!reply.digest.empty())
        extension["digest"] = reply.digest;
    if (reply.retry_useful)
        extension["retry_after_ms"] = to_milliseconds(reply.retry_after);
    return extension;
}

ordered_json usage_of(const token_usage& usage)
{
    return {{"prompt_tokens", usage.prompt},
            {"completion_tokens", usage.output},
            {"total_tokens", usage.prompt + usage.output}};
}

ordered_json choice_of(std::string_view text, bool is_last)
{
    ordered_json choice;
    choice["index"] = 0;
    choice["text"] = text;
    choice["finish_reason"] = is_last ? ordered_json("stop") : ordered_json();
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
    body.update(extension_of(reply, origin));
    return dump(body);
}

answer_writer::answer_writer(http::exchange& exchange, answer_options options)
    : exchange_(exchange), options_(std::move(options))
{}

std::vector<http::response_header>
answer_writer::headers(const outcome_reply& reply) const
{
    std::vector<http::response_header> all{
        {header_name::outcome, std::string(to_string(reply.result))},
        {header_name::code, std::string(to_string(reply.code))},
        {header_name::key, reply.key.str()},
        {header_name::billed, std::to_string(reply.billed.count())}};
    if (!options_.origin.empty())
        all.push_back({header_name::origin, options_.origin});
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
    if (!options_.stream) {
        buffer_ += piece;
        return !disconnected_;
    }
    if (disconnected_)
        return false;
    if (!stream_started_) {
        stream_started_ = true;
        http::server_response head;
        head.content_type = "text/event-stream";
        head.headers = {{"Cache-Control", "no-store"},
                        {header_name::key, options_.key.str()}};
        if (!options_.origin.empty())
            head.headers.push_back({header_name::origin, options_.origin});
        disconnected_ = !exchange_.begin_stream(head);
    }
    ordered_json event;
    event["id"] = options_.key.str();
    event["object"] = "text_completion";
    event["model"] = options_.model;
    event["choices"] = choice_of(piece, false);
    disconnected_ =
        disconnected_ || !exchange_.write("data: " + dump(event) + "\n\n");
    return !disconnected_;
}

bool answer_writer::keep_alive()
{
    if (stream_started_ && !disconnected_)
        disconnected_ = !exchange_.write(":\n\n");
    return !disconnected_;
}

void answer_writer::end_stream(const outcome_reply& reply,
                               const token_usage& usage)
{
    ordered_json event;
    event["id"] = options_.key.str();
    event["object"] = "text_completion";
    event["model"] = options_.model;
    const bool complete = reply.result == outcome::answered;
    if (complete) {
        event["choices"] = choice_of("", true);
        event["usage"] = usage_of(usage);
    } else {
        event["error"] = {{"code", to_string(reply.code)}};
    }
    event["fennelladder"] = extension_of(reply, options_.origin);
    std::string text = "data: " + dump(event) + "\n\n";
    if (complete)
        text += "data: [DONE]\n\n";
    if (!disconnected_ && exchange_.write(text))
        exchange_.end_stream();
}

void answer_writer::end(const outcome_reply& reply, const token_usage& usage)
{
    if (stream_started_)
        return end_stream(reply, usage);
    if (disconnected_)
        return;
    const bool complete =
        reply.result == outcome::answered && reply.code == reply_code::ok;
    if (complete && options_.stream) {
        text("");
        return end_stream(reply, usage);
    }
    http::server_response response{.status = status_of(reply),
                                   .headers = headers(reply)};
    if (complete) {
        ordered_json body;
        body["id"] = options_.key.str();
        body["object"] = "text_completion";
        body["model"] = options_.model;
        body["choices"] = choice_of(buffer_, true);
        body["usage"] = usage_of(usage);
        body["fennelladder"] = extension_of(reply, options_.origin);
        response.body = dump(body);
    } else {
        response.body = error_body(reply, options_.origin);
    }
    exchange_.reply(response);
}

void answer_writer::end_service_call(const outcome_reply& reply, int status,
                                     const std::string& content_type,
                                     const std::string& body)
{
    if (reply.result != outcome::answered || reply.code != reply_code::ok)
        return end(reply, {});
    exchange_.reply({.status = status,
                     .content_type = content_type,
                     .headers = headers(reply),
                     .body = body});
}

} // namespace fennelladder::gateway
