// easylogging++ adds the time stamp and writes the output; this file formats
// the line. The library compiles easylogging++ from the source file that its
// package ships.

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace fennelladder::telemetry {

namespace {

/// A longer line makes its buffer grow.
constexpr std::size_t typical_line_bytes = 1024;

std::atomic<bool> as_json{false};
std::atomic<severity> min_severity{severity::info};

log_sink& sink()
{
    static log_sink it;
    return it;
}

std::string_view to_string(severity level)
{
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "unknown";
}

std::string quoted_if_needed(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos)
        return value;
    return nlohmann::json(value).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

bool is_printable_ascii(char c)
{
    return c >= ' ' && c <= '~';
}

/// Appends `text` as a JSON string. Most values need no escapes.
void append_quoted(std::string& out, std::string_view text)
{
    const bool is_plain = std::ranges::all_of(text, [](char c) {
        return is_printable_ascii(c) && c != '"' && c != '\\';
    });
    if (!is_plain) {
        out += nlohmann::json(text).dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    out += '"';
    out += text;
    out += '"';
}

/// Appends a member of an object that has others before it.
void append_member(std::string& out, std::string_view name,
                   std::string_view value)
{
    out += ',';
    append_quoted(out, name);
    out += ':';
    append_quoted(out, value);
}

std::string format_json(const event_description& what,
                        std::span<const log_field> fields)
{
    constexpr std::string_view level_name = "level";
    std::string line;
    line.reserve(typical_line_bytes);
    line += "{\"event\":" + std::to_string(what.number);
    append_member(line, "name", what.name);
    const auto level = std::ranges::find(fields, level_name, &log_field::name);
    append_member(line, level_name,
                  level != fields.end() ? std::string_view(level->value)
                                        : to_string(what.level));
    for (const log_field& it : fields)
        if (it.name != level_name)
            append_member(line, it.name, it.value);
    line += '}';
    return line;
}

} // namespace

std::string format_event(const event_description& what,
                         std::span<const log_field> fields, bool json)
{
    if (json)
        return format_json(what, fields);
    std::string line = "event=" + std::to_string(what.number);
    line += " name=" + std::string(what.name);
    line += " level=" + std::string(to_string(what.level));
    for (const log_field& it : fields)
        line += " " + std::string(it.name) + "=" + quoted_if_needed(it.value);
    return line;
}

void configure_log(const log_options& options)
{
    as_json = options.json;
    min_severity = options.min_severity;
    el::Configurations wanted;
    wanted.setToDefault();
    wanted.setGlobally(el::ConfigurationType::ToFile, "false");
    wanted.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    wanted.setGlobally(el::ConfigurationType::Format,
                       options.json ? "%msg"
                                    : "%datetime{%Y-%M-%dT%H:%m:%s.%gZ} %msg");
    el::Loggers::reconfigureAllLoggers(wanted);
}

void set_log_sink(log_sink wanted)
{
    sink() = std::move(wanted);
}

void log_event(int number, std::initializer_list<log_field> fields)
{
    const event_description* what = find_event(number);
    assert(what != nullptr);
    if (what->level < min_severity.load())
        return;
    std::string line =
        format_event(*what, {fields.begin(), fields.size()}, as_json);
    if (sink()) {
        sink()(*what, std::move(line));
        return;
    }
    switch (what->level) {
    case severity::debug:
    case severity::info:
        LOG(INFO) << line;
        return;
    case severity::warning:
        LOG(WARNING) << line;
        return;
    case severity::error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace fennelladder::telemetry
