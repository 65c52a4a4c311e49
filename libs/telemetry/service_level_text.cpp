// Formats snapshots for /metrics and parses them back. The parser only supports
// lines as to_prometheus() writes them: names and label order are fixed, ids
// contain no quotes.

#include "fennelladder/telemetry/service_level.hpp"

#include <charconv>
#include <map>
#include <optional>
#include <sstream>

namespace fennelladder::telemetry {

namespace {

constexpr std::string_view objective_prefix =
    "fennelladder_service_level_objective{";
constexpr std::string_view requests_prefix =
    "fennelladder_service_level_requests{";

constexpr std::array<std::string_view, 3> measure_names = {
    "first_byte", "inter_token", "total"};

using label_map = std::map<std::string, std::string, std::less<>>;

template <class T>
bool parse_number(std::string_view text, T& number)
{
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc() && stop == end;
}

// Parses `name="value",...} rest` and sets `rest` to the text after "} ".
// Returns nullopt if the text is malformed.
std::optional<label_map> parse_labels(std::string_view text,
                                      std::string_view& rest)
{
    label_map labels;
    while (!text.starts_with('}')) {
        const auto equals = text.find("=\"");
        if (equals == std::string_view::npos)
            return std::nullopt;
        const auto end = text.find('"', equals + 2);
        if (end == std::string_view::npos)
            return std::nullopt;
        labels.emplace(text.substr(0, equals),
                       text.substr(equals + 2, end - equals - 2));
        text.remove_prefix(end + 1);
        if (text.starts_with(','))
            text.remove_prefix(1);
    }
    if (!text.starts_with("} "))
        return std::nullopt;
    rest = text.substr(2);
    return labels;
}

template <class E, std::size_t N>
bool parse_enum(const std::array<std::string_view, N>& names,
                std::string_view text, E& value)
{
    for (std::size_t n = 0; n < N; ++n) {
        if (names[n] == text) {
            value = E(n);
            return true;
        }
    }
    return false;
}

bool parse_objective(const label_map& labels, std::string_view value,
                     burn_snapshot& out)
{
    service_level_objective it;
    std::int64_t latency = 0;
    std::int64_t window = 0;
    const bool complete =
        labels.contains("objective") && labels.contains("kind") &&
        labels.contains("measure") && labels.contains("latency_ns") &&
        labels.contains("window_ns");
    if (!complete ||
        !parse_enum(measure_names, labels.at("measure"), it.measure) ||
        !parse_number(labels.at("latency_ns"), latency) ||
        !parse_number(labels.at("window_ns"), window) ||
        !parse_number(value, it.target))
        return false;
    it.name = labels.at("objective");
    it.kind = caller_kind(labels.at("kind"));
    it.latency = duration(latency);
    it.window = duration(window);
    out.objectives.emplace(it.name, it);
    return true;
}

bool parse_requests(const label_map& labels, std::string_view value,
                    burn_snapshot& out)
{
    static const auto windows = [] {
        std::array<std::string_view, window_count> names;
        for (std::size_t n = 0; n < window_count; ++n)
            names[n] = to_string(burn_window(n));
        return names;
    }();
    static const auto causes = [] {
        std::array<std::string_view, cause_count> names;
        for (std::size_t n = 0; n < cause_count; ++n)
            names[n] = to_string(burn_cause(n));
        return names;
    }();
    burn_key key;
    burn_cause cause{};
    std::uint64_t count = 0;
    const bool complete = labels.contains("objective") &&
                          labels.contains("team") &&
                          labels.contains("window") && labels.contains("cause");
    if (!complete || !parse_enum(windows, labels.at("window"), key.window) ||
        !parse_enum(causes, labels.at("cause"), cause) ||
        !parse_number(value, count))
        return false;
    key.objective = labels.at("objective");
    key.team = labels.at("team");
    out.counts[key].by_cause[std::size_t(cause)] += count;
    return true;
}

} // namespace

std::string to_prometheus(const burn_snapshot& snapshot)
{
    std::ostringstream out;
    for (const auto& [name, it] : snapshot.objectives) {
        out << objective_prefix << "objective=\"" << name << "\",kind=\""
            << it.kind << "\",measure=\""
            << measure_names[std::size_t(it.measure)] << "\",latency_ns=\""
            << it.latency.count() << "\",window_ns=\"" << it.window.count()
            << "\"} " << it.target << '\n';
    }
    for (const auto& [key, it] : snapshot.counts) {
        for (std::size_t n = 0; n < cause_count; ++n) {
            if (it.by_cause[n] == 0)
                continue;
            out << requests_prefix << "objective=\"" << key.objective
                << "\",team=\"" << key.team << "\",window=\""
                << to_string(key.window) << "\",cause=\""
                << to_string(burn_cause(n)) << "\"} " << it.by_cause[n] << '\n';
        }
    }
    return out.str();
}

result<burn_snapshot> parse_prometheus(std::string_view page)
{
    burn_snapshot out;
    while (!page.empty()) {
        const auto end = std::min(page.find('\n'), page.size());
        const auto line = page.substr(0, end);
        page.remove_prefix(std::min(end + 1, page.size()));
        const bool objective = line.starts_with(objective_prefix);
        if (!objective && !line.starts_with(requests_prefix))
            continue;
        std::string_view value;
        const auto labels =
            parse_labels(line.substr(objective ? objective_prefix.size()
                                               : requests_prefix.size()),
                         value);
        const bool valid =
            labels && (objective ? parse_objective(*labels, value, out)
                                 : parse_requests(*labels, value, out));
        if (!valid)
            return fail(error_code::corrupt,
                        "malformed service-level metric line: " +
                            std::string(line));
    }
    return out;
}

} // namespace fennelladder::telemetry
