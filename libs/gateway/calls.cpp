// All errors of a call are collected, so that a caller can fix them at once.
// Unknown members of the body are ignored: clients of other variants of the
// completions API send members that have no meaning here.

#include "fennelladder/gateway/calls.hpp"

#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace fennelladder::gateway {

namespace {

using nlohmann::json;

constexpr std::int64_t default_max_output = 256;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::string_view services_prefix = "/v1/services/";

void add_error(findings& found, std::string source, std::string inside,
               std::string message)
{
    found.add({std::move(source), std::move(inside)},
              telemetry::event::call_invalid, std::move(message));
}

bool is_printable(std::string_view text)
{
    return std::ranges::all_of(text,
                               [](char c) { return c > ' ' && c != '\x7f'; });
}

std::string read_name(const header_reader& header, const char* name,
                      bool required, findings& found)
{
    const std::string_view value = header(name);
    if (value.empty() && required)
        add_error(found, "header", name, "is missing");
    if (value.size() > max_name_bytes)
        add_error(found, "header", name, "is longer than 200 bytes");
    else if (!is_printable(value))
        add_error(found, "header", name, "has blanks or control characters");
    return std::string(value);
}

std::optional<duration> read_deadline(const header_reader& header,
                                      findings& found)
{
    const std::string_view text = header(header_name::deadline);
    if (text.empty())
        return {};
    std::int64_t count = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, ec] = std::from_chars(text.data(), end, count);
    const bool valid = ec == std::errc() && parsed_end == end;
    if (!valid || count < 1 || count > max_deadline_ms) {
        add_error(found, "header", header_name::deadline,
                  "is not a number of milliseconds from 1 to 3600000");
        return {};
    }
    return milliseconds(count);
}

std::string read_text(const json& body, const char* name, bool required,
                      std::size_t limit, findings& found)
{
    const auto it = body.find(name);
    const std::string pointer = std::string("/") + name;
    if (it == body.end() || it->is_null()) {
        if (required)
            add_error(found, "body", pointer, "is missing");
        return {};
    }
    if (!it->is_string()) {
        add_error(found, "body", pointer, "is not a string");
        return {};
    }
    auto text = it->get<std::string>();
    if (text.size() > limit)
        add_error(found, "body", pointer,
                  "is longer than " + std::to_string(limit) + " bytes");
    return text;
}

std::int64_t read_max_output(const json& body, findings& found)
{
    const auto it = body.find("max_tokens");
    if (it == body.end() || it->is_null())
        return default_max_output;
    const bool valid = it->is_number_integer();
    const auto value = valid ? it->get<std::int64_t>() : 0;
    if (value < 1 || value > max_output_limit)
        add_error(found, "body", "/max_tokens",
                  "is not a whole number from 1 to 1000000");
    return value;
}

bool read_stream(const json& body, findings& found)
{
    const auto it = body.find("stream");
    if (it == body.end() || it->is_null())
        return false;
    if (!it->is_boolean()) {
        add_error(found, "body", "/stream", "is not true or false");
        return false;
    }
    return it->get<bool>();
}

} // namespace

call_head read_head(const header_reader& header, findings& found)
{
    call_head head;
    head.team = team_id(read_name(header, header_name::team, true, found));
    head.budget =
        budget_id(read_name(header, header_name::budget, true, found));
    head.kind =
        caller_kind(read_name(header, header_name::caller_kind, true, found));
    head.caller =
        caller_id(read_name(header, header_name::caller, false, found));
    head.key = request_key(
        read_name(header, header_name::idempotency_key, false, found));
    head.request =
        request_id(read_name(header, header_name::request, false, found));
    head.origin =
        incarnation_id(read_name(header, header_name::origin, false, found));
    head.deadline = read_deadline(header, found);
    head.forwarded = !header(header_name::forwarded).empty();
    return head;
}

std::optional<completion_call> read_completion(const header_reader& header,
                                               std::string_view body,
                                               findings& found)
{
    completion_call call;
    call.head = read_head(header, found);
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        add_error(found, "body", "", "is not a JSON object");
        return {};
    }
    const auto text = [&](const char* name, bool required, std::size_t limit) {
        return read_text(parsed, name, required, limit, found);
    };
    call.model = model_id(text("model", true, max_name_bytes));
    call.version = model_version(text("version", false, max_name_bytes));
    call.adapter = adapter_id(text("adapter", false, max_name_bytes));
    call.prompt = text("prompt", true, max_prompt_bytes);
    call.max_output = read_max_output(parsed, found);
    call.stream = read_stream(parsed, found);
    if (!found.empty())
        return {};
    return call;
}

std::optional<service_call> read_service_call(const header_reader& header,
                                              std::string_view path,
                                              std::string body, findings& found)
{
    service_call call;
    call.head = read_head(header, found);
    call.body = std::move(body);
    const std::string_view rest = path.substr(services_prefix.size());
    const auto slash = rest.find('/');
    const bool complete = slash != std::string_view::npos && slash > 0 &&
                          slash + 1 < rest.size() &&
                          rest.find('/', slash + 1) == std::string_view::npos;
    if (complete) {
        call.service = service_id(std::string(rest.substr(0, slash)));
        call.call = std::string(rest.substr(slash + 1));
    } else {
        add_error(found, "path", "", "is not /v1/services/SERVICE/CALL");
    }
    if (!found.empty())
        return {};
    return call;
}

} // namespace fennelladder::gateway
