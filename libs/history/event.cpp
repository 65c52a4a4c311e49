// Lines are written by hand: they are flat, and most strings need no
// escaping. Reading is in event_reader.cpp.

#include "fennelladder/history/event.hpp"

#include "event_fields.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace fennelladder::history {

namespace {

// In the order of event_body's alternatives.
constexpr auto names = std::to_array<std::string_view>(
    {"prepaid", "sent", "dispatched", "executed", "chunk", "answered",
     "not_run", "unknown", "billed", "refused", "target_leaving",
     "config_accepted", "config_in_force", "shutdown_begin", "shutdown_end",
     "died"});
static_assert(names.size() == std::variant_size_v<event_body>);

bool needs_no_escape(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) {
        return c >= ' ' && c < '\x7f' && c != '"' && c != '\\';
    });
}

void append_text(std::string& line, std::string_view text)
{
    if (!needs_no_escape(text)) {
        line += nlohmann::json(text).dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    line += '"';
    line += text;
    line += '"';
}

// Appends `,"name":value` for each field it is called with.
class field_writer
{
public:
    explicit field_writer(std::string& line) : line_(line) {}

    template <class Value>
    void operator()(std::string_view name, const Value& value)
    {
        line_ += ",\"";
        line_ += name;
        line_ += "\":";
        write(value);
    }

private:
    template <class Tag>
    void write(const text_id<Tag>& id)
    {
        append_text(line_, id.str());
    }

    template <class Tag>
    void write(const number_id<Tag>& id)
    {
        write(id.value());
    }

    void write(const std::string& text) { append_text(line_, text); }

    void write(std::uint64_t value) { line_ += std::to_string(value); }

    void write(tokens value) { line_ += std::to_string(value.count()); }

    void write(bool value) { line_ += value ? "true" : "false"; }

    std::string& line_;
};

} // namespace

request_key global_key(const team_id& team, const request_key& key)
{
    return request_key(team.str() + "/" + key.str());
}

std::string_view event_name(const event_body& body)
{
    return names[body.index()];
}

std::string to_json_line(const event& it)
{
    std::string line;
    line.reserve(192);
    line += "{\"t\":";
    line += std::to_string(to_nanoseconds(it.at));
    line += ",\"node\":";
    append_text(line, it.node.str());
    line += ",\"event\":\"";
    line += event_name(it.body);
    line += '"';
    field_writer write(line);
    std::visit([&write](const auto& body) { visit_fields(body, write); },
               it.body);
    line += '}';
    return line;
}

} // namespace fennelladder::history
