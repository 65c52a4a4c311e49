// Histories in a short spelling, for tests: one event a line,
// "SECONDS NODE EVENT FIELD=VALUE ...". Numbers, true and false become JSON
// numbers and booleans, everything else text.

#ifndef FENNELLADDER_LIBS_HISTORY_HISTORY_TEXT_HPP
#define FENNELLADDER_LIBS_HISTORY_HISTORY_TEXT_HPP

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace fennelladder::history {

inline nlohmann::json value_of(const std::string& text)
{
    const bool is_number =
        std::ranges::all_of(text, [](unsigned char c) { return isdigit(c); });
    if (is_number)
        return std::stoull(text);
    if (text == "true" || text == "false")
        return text == "true";
    return text;
}

inline std::string json_line(const std::string& short_line)
{
    std::istringstream in(short_line);
    double at = 0;
    std::string node;
    std::string event;
    in >> at >> node >> event;
    nlohmann::json line{{"t", static_cast<std::uint64_t>(at * 1e9)},
                        {"node", node},
                        {"event", event}};
    for (std::string field; in >> field;) {
        const std::size_t equals = field.find('=');
        line[field.substr(0, equals)] = value_of(field.substr(equals + 1));
    }
    return line.dump();
}

} // namespace fennelladder::history

#endif
