#include "fennelladder/edge/quarantine_page.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace fennelladder::edge {

namespace {

using dispatch::crash_mark;

constexpr std::string_view page_path = "/quarantine";
constexpr std::string_view part_path = "/quarantine/part/";
constexpr std::string_view request_path = "/quarantine/request/";

constexpr std::size_t max_listed = 100;

std::int64_t to_milliseconds(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

nlohmann::json to_json(const dispatch::quarantined_mark& it, instant now)
{
    nlohmann::json deaths = nlohmann::json::array();
    for (const auto& death : it.record.deaths)
        deaths.push_back({{"target", death.target.id.str()},
                          {"ago_ms", to_milliseconds(death.at)},
                          {"ran_ms", to_milliseconds(death.ran)}});
    nlohmann::json out{{"mark", it.record.mark.text()},
                       {"level", to_string(it.state.level)},
                       {"deaths", it.state.deaths},
                       {"rounds", it.state.rounds},
                       {"last_answer_ms", last_answer_text(it.record)},
                       {"targets", std::move(deaths)}};
    if (it.state.level == dispatch::suspicion::condemned)
        out["trial_in_ms"] =
            std::max<std::int64_t>(0, to_milliseconds(it.state.next_run - now));
    return out;
}

} // namespace

bool is_for_quarantine(const simple_request& request)
{
    return request.path == page_path || mark_in_path(request.path).has_value();
}

std::optional<crash_mark> mark_in_path(std::string_view path)
{
    const bool is_part = path.starts_with(part_path);
    if (!is_part && !path.starts_with(request_path))
        return std::nullopt;
    path.remove_prefix(is_part ? part_path.size() : request_path.size());
    crash_mark out{0, is_part};
    const char* end = path.data() + path.size();
    const auto got = std::from_chars(path.data(), end, out.value, 16);
    if (path.empty() || got.ec != std::errc() || got.ptr != end)
        return std::nullopt;
    return out;
}

simple_response answer_quarantine(const node_tables& tables,
                                  quarantine_exchange& exchange,
                                  const simple_request& request)
{
    const auto mark = mark_in_path(request.path);
    if (mark && request.method != "POST")
        return {405, "text/plain", "POST clears a mark\n"};
    if (mark && !exchange.forgive(*mark))
        return {404, "text/plain", "no such mark\n"};
    if (mark)
        return {200, "text/plain", "cleared\n"};
    const instant now = tables.now();
    nlohmann::json out = nlohmann::json::array();
    for (const auto& it : tables.quarantine.list(max_listed, now))
        out.push_back(to_json(it, now));
    return {200, "application/json", out.dump() + "\n"};
}

} // namespace fennelladder::edge
