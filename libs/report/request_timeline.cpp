// The last line of a request says how it ended; a table maps that to the
// function that words the cause, with what other lines say of the same node,
// team or target shortly before.

#include "fennelladder/report/request_timeline.hpp"

#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fennelladder::report {

namespace {

namespace event = telemetry::event;

/// Lines of one event that are kept: some minutes of a fleet's.
constexpr std::size_t most_around = 5'000;

/// What happened longer before the end isn't called its cause: longer than any
/// request lasts and any stock of tokens reaches.
constexpr duration cause_span = seconds(30);

constexpr std::array around_events{
    event::node_started, event::platform_out,    event::platform_well,
    event::target_died,  event::tokens_allotted, event::log_lines_dropped};

using around_map = std::map<int, std::deque<log_line>>;

/// The latest line of `number` before `end`, not too long ago, that fits.
template <class Fits>
const log_line* latest(const around_map& around, int number,
                       const log_line& end, Fits fits)
{
    const auto found = around.find(number);
    if (found == around.end())
        return nullptr;
    const log_line* out = nullptr;
    for (const log_line& it : found->second) {
        const bool near = it.at <= end.at && end.at - it.at <= cause_span;
        if (near && fits(it) && (out == nullptr || it.at >= out->at))
            out = &it;
    }
    return out;
}

std::string ago(const log_line& it, const log_line& end)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << to_seconds(end.at - it.at)
        << " s before";
    return out.str();
}

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

struct ending
{
    const log_line& last;
    const log_line* attempt; ///< The last one; null if nothing was sent.
    const around_map& around;
};

std::string platform_of(const ending& it)
{
    if (it.last.get("platform") != "out")
        return " The node reached the platform.";
    const auto* since =
        latest(it.around, event::platform_out, it.last,
               [&](const log_line& o) { return o.host == it.last.host; });
    if (since == nullptr)
        return " The node was cut off from the platform.";
    return " The node was cut off from the platform, since " +
           ago(*since, it.last) + ".";
}

std::string short_of_tokens(const ending& it)
{
    const std::string team(it.last.get("team"));
    std::string out = "Refused, and not run: team " + team + " had " +
                      std::string(it.last.get("tokens_free")) +
                      " tokens free at this node, less than the request may "
                      "cost, and no other node gave the rest in time.";
    out += platform_of(it);
    const auto* got = latest(
        it.around, event::tokens_allotted, it.last, [&](const log_line& o) {
            const std::string amounts = "," + std::string(o.get("amounts"));
            return amounts.find("," + team + ":") != std::string::npos;
        });
    if (got != nullptr)
        out += " The team last got tokens " + ago(*got, it.last) +
               ", by host " + got->host + ".";
    else
        out += " The team got no tokens in the 30 s before: what it prepaid "
               "is used up, or its stockists couldn't write.";
    const auto* started = latest(it.around, event::node_started, it.last,
                                 [](const log_line&) { return true; });
    if (started != nullptr)
        out += " Host " + started->host + " started " + ago(*started, it.last) +
               "; what a process held before it is lost to the team.";
    return out;
}

/// What is known of the last target.
std::string target_of(const ending& it)
{
    const std::string target(it.last.get("target"));
    if (it.attempt == nullptr)
        return "";
    std::string out = " The last attempt, at target " + target + ", ended " +
                      quoted(it.attempt->get("ended")) + " at " +
                      quoted(it.attempt->get("detail")) + ".";
    const auto died = it.around.find(event::target_died);
    if (died == it.around.end())
        return out;
    for (const log_line& o : died->second)
        if (o.get("target") == target && o.at + cause_span >= it.last.at &&
            o.at <= it.last.at + cause_span)
            return out + " The target couldn't be dialled afterwards: it "
                         "died.";
    return out;
}

std::string answered(const ending& it)
{
    std::string out =
        "Answered, after " + std::string(it.last.get("ms")) + " ms.";
    if (it.last.get("caller_end").empty())
        return out;
    return out + " The caller had ended its connection, or its sending side, "
                 "before; it may not have taken the answer.";
}

std::string late(const ending& it)
{
    return "Given up after " + std::string(it.last.get("ms")) +
           " ms: the route's or the caller's time was over. It may have run " +
           std::string(it.last.get("may_have_run")) + " times." + target_of(it);
}

std::string unknown(const ending& it)
{
    return "Sent, and no whole answer came; it may have run, and must not be "
           "sent again. Whether it ran, only the target's owner can say." +
           target_of(it);
}

std::string cut(const ending& it)
{
    return "The stream was cut after " + std::string(it.last.get("events")) +
           " events, and couldn't be taken up elsewhere." + target_of(it);
}

std::string passed_on(const ending& it)
{
    return "The target's own failure, passed on as it was (" +
           std::string(it.last.get("reason")) + ")." + target_of(it);
}

std::string not_run(const ending& it)
{
    return "Refused, and not run: no target took it (" +
           std::string(it.last.get("reason")) + "). " +
           std::string(it.last.get("rejections")) + " rejected it." +
           target_of(it);
}

/// How the connection ended, where that isn't the caller's closing it, and
/// what may have kept the request waiting before it was read.
std::string end_of_connection(const ending& it)
{
    std::string out;
    const auto end = it.last.get("caller_end");
    if (!end.empty() && end != "closed")
        out += " Its connection ended by: " + std::string(end) + ".";
    const auto lag = it.last.get("lag_ms");
    if (!lag.empty() && lag != "0")
        out += " The node's loop had stood still for up to " +
               std::string(lag) + " ms within the second before.";
    return out;
}

std::string left(const ending& it)
{
    return "The caller left after " + std::string(it.last.get("ms")) +
           " ms, while this was awaited: " +
           std::string(it.last.get("reason")) + "." + end_of_connection(it) +
           target_of(it);
}

std::string other_refusal(const ending& it)
{
    return "Refused, and not run: " + std::string(it.last.get("reason")) +
           " (status " + std::string(it.last.get("outcome")) + ").";
}

struct wording
{
    int event;
    std::string_view field; ///< Which field decides; empty: none.
    std::string_view value;
    std::string (*say)(const ending&);
};

constexpr std::array wordings{
    wording{event::request_answered, "", "", answered},
    wording{event::request_refused, "reason", "short of tokens",
            short_of_tokens},
    wording{event::request_refused, "outcome", "not_run", not_run},
    wording{event::request_refused, "", "", other_refusal},
    wording{event::call_rejected, "", "", other_refusal},
    wording{event::request_failed, "outcome", "late", late},
    wording{event::request_failed, "outcome", "unknown", unknown},
    wording{event::request_failed, "outcome", "cut", cut},
    wording{event::request_failed, "outcome", "passed_on", passed_on},
    wording{event::caller_left, "", "", left},
};

const wording* wording_of(const log_line& line)
{
    const auto it = std::ranges::find_if(wordings, [&](const wording& o) {
        return o.event == line.event &&
               (o.field.empty() || line.get(std::string(o.field)) == o.value);
    });
    return it == wordings.end() ? nullptr : &*it;
}

/// Where lines were left out, the request's own may be among them.
std::string left_out(const around_map& around)
{
    const auto found = around.find(event::log_lines_dropped);
    if (found == around.end())
        return "";
    return "Note: " + std::to_string(found->second.size()) +
           " times a node left lines out (event " +
           std::to_string(event::log_lines_dropped) + ").\n";
}

std::optional<instant> parse_time(const std::string& text)
{
    std::tm parts{};
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    if (in.fail())
        return std::nullopt;
    double fraction = 0;
    if (in.peek() == '.')
        in >> fraction;
    return instant(seconds(timegm(&parts)) + from_seconds(fraction));
}

} // namespace

std::string_view log_line::get(const std::string& field) const
{
    const auto it = fields.find(field);
    return it == fields.end() ? std::string_view() : it->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    const auto read = nlohmann::json::parse(text.substr(begin), nullptr, false);
    if (!read.is_object() || !read.contains("event"))
        return std::nullopt;
    log_line out;
    for (const auto& [key, value] : read.items())
        out.fields[key] =
            value.is_string() ? value.get<std::string>() : value.dump();
    out.time = out.get("time");
    const auto at = parse_time(out.time);
    if (!at || !read["event"].is_number_integer())
        return std::nullopt;
    out.at = *at;
    out.host = out.get("host");
    out.event = read["event"].get<int>();
    out.name = out.get("name");
    return out;
}

bool request_timeline::add(std::string_view text)
{
    const auto line = parse_log_line(text);
    if (!line)
        return false;
    if (line->get("id") == id_) {
        own_.push_back(*line);
        return true;
    }
    const bool kept =
        std::ranges::find(around_events, line->event) != around_events.end();
    if (!kept)
        return true;
    auto& lines = around_[line->event];
    lines.push_back(*line);
    if (lines.size() > most_around)
        lines.pop_front();
    return true;
}

std::vector<log_line> request_timeline::ordered() const
{
    std::vector<log_line> out = own_;
    std::ranges::stable_sort(out, {}, &log_line::time);
    return out;
}

std::string request_timeline::explain() const
{
    std::ostringstream out;
    if (own_.empty()) {
        out << "No line tells of request " << id_ << ".\n" << left_out(around_);
        return out.str();
    }
    const auto lines = ordered();
    const log_line* attempt = nullptr;
    const log_line* last = nullptr;
    for (const log_line& it : lines) {
        out << it.time << ' ' << it.host << ' ' << it.name;
        for (const auto& [key, value] : it.fields)
            if (key != "time" && key != "host" && key != "name" &&
                key != "event" && key != "id" && key != "level" &&
                !value.empty())
                out << ' ' << key << '=' << value;
        out << '\n';
        if (it.event == event::attempt_ended)
            attempt = &it;
        if (wording_of(it) != nullptr)
            last = &it;
    }
    out << '\n';
    if (last == nullptr)
        out << "How it ended isn't in these logs.\n" << left_out(around_);
    else
        out << wording_of(*last)->say({*last, attempt, around_}) << '\n';
    return out.str();
}

} // namespace fennelladder::report
