// The last line of a request with an outcome decides how it ended. A table maps
// that line to the function that explains the cause, using other lines about
// the same node, team or target from about the same time.

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

/// Lines kept for each event number: some minutes of a fleet's logs.
constexpr std::size_t max_lines_per_event = 5'000;

/// Events further than this from the end of the request aren't reported as its
/// cause. Longer than any request lasts and than any stock of tokens covers.
constexpr duration max_cause_distance = seconds(30);

constexpr std::array context_events{
    event::node_started, event::platform_out,    event::platform_well,
    event::target_died,  event::tokens_allotted, event::log_lines_dropped};

using context_map = std::map<int, std::deque<log_line>>;

/// The latest line with event `number` that matches, at most
/// `max_cause_distance` before `end`; null if there is none.
template <class Predicate>
const log_line* latest(const context_map& context, int number,
                       const log_line& end, Predicate matches)
{
    const auto found = context.find(number);
    if (found == context.end())
        return nullptr;
    const log_line* out = nullptr;
    for (const log_line& it : found->second) {
        const bool recent =
            it.at <= end.at && end.at - it.at <= max_cause_distance;
        if (recent && matches(it) && (out == nullptr || it.at >= out->at))
            out = &it;
    }
    return out;
}

std::string time_before(const log_line& it, const log_line& end)
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

/// What was known of the request's mark (itself, or a part of its prompt) that
/// may crash targets, and what followed.
std::string describe_suspicion(const log_line& it)
{
    const std::string mark(it.get("mark"));
    std::string out = "With its " + mark + ", " +
                      std::string(it.get("deaths")) + " targets died in " +
                      std::string(it.get("rounds")) +
                      " successive rounds (target and milliseconds before: " +
                      std::string(it.get("targets")) + "). ";
    const auto answered = it.get("last_answer_ms");
    if (answered == "none")
        out += "No target has answered it since it is known.";
    else
        out += "A target last answered it " + std::string(answered) +
               " ms before.";
    if (it.get("decision") != "refused")
        return out + " The request ran alone with it, by leave of host " +
               std::string(it.get("giver")) + ".";
    if (it.get("level") == "condemned")
        return out + " It is condemned: one request with it runs as a trial " +
               "in " + std::string(it.get("trial_in_ms")) + " ms.";
    return out + " It is under suspicion: one request with it runs at a " +
           "time, and host " + std::string(it.get("giver")) + " gave no leave.";
}

/// What a request, or its response, gave way to.
std::string describe_displacement(const log_line& it)
{
    const std::string of(it.get("of"));
    std::string out = "Its " + of + " held " + std::string(it.get("bytes")) +
                      " bytes and gave way, ";
    if (it.get("reason") == "larger")
        out += "as the largest of those that arrived";
    else if (of == "response")
        out += "since its caller read it too slowly";
    else
        out += "since it arrived too slowly";
    return out + ": others needed its memory or its connection's place (" +
           std::string(it.get("held")) + " bytes held and " +
           std::string(it.get("connections")) + " connections at the node).";
}

/// What a target sent instead of a proper answer.
std::string describe_malformed(const log_line& it)
{
    const std::string relay(it.get("relay"));
    return "Target " + std::string(it.get("target")) +
           " sent what isn't proper HTTP, " +
           (relay.empty() ? "" : "through " + relay + ", ") + "in the " +
           std::string(it.get("where")) + " (" + std::string(it.get("fault")) +
           "): " +
           (it.get("begun") == "yes" ? "the rest of it was not passed on."
                                     : "none of it was passed on.");
}

struct request_ending
{
    const log_line& last;
    const log_line* attempt; ///< The last attempt; null if nothing was sent.
    const context_map& context;
};

std::string describe_platform(const request_ending& it)
{
    if (it.last.get("platform") != "out")
        return " The node reached the platform.";
    const auto* since =
        latest(it.context, event::platform_out, it.last,
               [&](const log_line& o) { return o.host == it.last.host; });
    if (since == nullptr)
        return " The node was cut off from the platform.";
    return " The node was cut off from the platform, since " +
           time_before(*since, it.last) + ".";
}

std::string explain_short_of_tokens(const request_ending& it)
{
    const std::string team(it.last.get("team"));
    std::string out = "Refused, and not run: team " + team + " had " +
                      std::string(it.last.get("tokens_free")) +
                      " tokens free at this node, less than the request may "
                      "cost, and no other node gave the rest in time.";
    out += describe_platform(it);
    const auto* got = latest(
        it.context, event::tokens_allotted, it.last, [&](const log_line& o) {
            const std::string amounts = "," + std::string(o.get("amounts"));
            return amounts.find("," + team + ":") != std::string::npos;
        });
    if (got != nullptr)
        out += " The team last got tokens " + time_before(*got, it.last) +
               ", by host " + got->host + ".";
    else
        out += " The team got no tokens in the 30 s before: what it prepaid "
               "is used up, or its stock holders couldn't write.";
    const auto* started = latest(it.context, event::node_started, it.last,
                                 [](const log_line&) { return true; });
    if (started != nullptr)
        out += " Host " + started->host + " started " +
               time_before(*started, it.last) +
               "; tokens that the previous process held are lost to the team.";
    return out;
}

/// Describes the last attempt, and whether its target died around that time.
std::string describe_last_attempt(const request_ending& it)
{
    const std::string target(it.last.get("target"));
    if (it.attempt == nullptr)
        return "";
    std::string out = " The last attempt, at target " + target + ", ended " +
                      quoted(it.attempt->get("ended")) + " at " +
                      quoted(it.attempt->get("detail")) + ".";
    const auto died = it.context.find(event::target_died);
    if (died == it.context.end())
        return out;
    for (const log_line& o : died->second)
        if (o.get("target") == target &&
            o.at + max_cause_distance >= it.last.at &&
            o.at <= it.last.at + max_cause_distance)
            return out + " No connection to the target could be opened "
                         "afterwards: it died.";
    return out;
}

std::string explain_answered(const request_ending& it)
{
    std::string out =
        "Answered, after " + std::string(it.last.get("ms")) + " ms.";
    if (it.last.get("caller_end").empty())
        return out;
    return out + " The caller had ended its connection, or its sending side, "
                 "before; it may not have received the answer.";
}

std::string explain_late(const request_ending& it)
{
    return "Failed after " + std::string(it.last.get("ms")) +
           " ms: the deadline of the route or of the caller had passed. It may "
           "have run " +
           std::string(it.last.get("may_have_run")) + " times." +
           describe_last_attempt(it);
}

std::string explain_unknown(const request_ending& it)
{
    return "Sent, but no complete answer arrived; it may have run, and must "
           "not "
           "be sent again. Whether it ran, only the target's owner can say." +
           describe_last_attempt(it);
}

std::string explain_cut(const request_ending& it)
{
    return "The stream was cut after " + std::string(it.last.get("events")) +
           " events, and couldn't be resumed at another target." +
           describe_last_attempt(it);
}

std::string explain_passed_on(const request_ending& it)
{
    return "The target answered with a failure, which was passed on unchanged "
           "(" +
           std::string(it.last.get("reason")) + ")." +
           describe_last_attempt(it);
}

std::string explain_not_run(const request_ending& it)
{
    return "Refused, and not run: no target accepted it (" +
           std::string(it.last.get("reason")) +
           "). Rejections: " + std::string(it.last.get("rejections")) + "." +
           describe_last_attempt(it);
}

/// How the caller's connection ended, unless the caller closed it, and whether
/// a stalled event loop may have delayed reading the request.
std::string describe_connection_end(const request_ending& it)
{
    std::string out;
    const auto end = it.last.get("caller_end");
    if (!end.empty() && end != "closed")
        out += " Its connection ended by: " + std::string(end) + ".";
    const auto lag = it.last.get("lag_ms");
    if (!lag.empty() && lag != "0")
        out += " The node's event loop had stalled for up to " +
               std::string(lag) + " ms within the second before.";
    return out;
}

std::string explain_caller_left(const request_ending& it)
{
    return "The caller left after " + std::string(it.last.get("ms")) +
           " ms, while the node was waiting for: " +
           std::string(it.last.get("reason")) + "." +
           describe_connection_end(it) + describe_last_attempt(it);
}

std::string explain_other_refusal(const request_ending& it)
{
    return "Refused, and not run: " + std::string(it.last.get("reason")) +
           " (status " + std::string(it.last.get("outcome")) + ").";
}

/// Which software version began the stream that the caller came back for, and
/// who knew; empty for other requests.
std::string describe_resumption(const log_line& it)
{
    const std::string began =
        "The caller came back for a stream after event " +
        std::string(it.get("resume_after")) +
        (it.get("resumes").empty()
             ? ", without naming the attempt that began it."
             : ", begun by its attempt " + std::string(it.get("resumes")) +
                   ".");
    const std::string version = quoted(it.get("version"));
    const auto decision = it.get("decision");
    if (decision == "at_origin")
        return began + " It began at version " + version + ", by the record " +
               "of host " + std::string(it.get("source")) + ", which was " +
               std::string(it.get("age_ms")) + " ms old.";
    if (decision == "at_only")
        return began + " No record was found; the service had no other " +
               "version than " + version + ".";
    if (decision == "other_service")
        return began + " Its route leads to another service now.";
    return began + " Which version began it wasn't known: " +
           std::string(it.get("answered")) + " of " +
           std::string(it.get("asked")) + " nodes answered, and none had a " +
           "record.";
}

struct explanation_rule
{
    int event;
    std::string_view field; ///< Field to compare; empty: any line matches.
    std::string_view value;
    std::string (*explain)(const request_ending&);
};

constexpr std::array explanation_rules{
    explanation_rule{event::request_answered, "", "", explain_answered},
    explanation_rule{event::request_refused, "reason", "short of tokens",
                     explain_short_of_tokens},
    explanation_rule{event::request_refused, "outcome", "not_run",
                     explain_not_run},
    explanation_rule{event::request_refused, "", "", explain_other_refusal},
    explanation_rule{event::call_rejected, "", "", explain_other_refusal},
    explanation_rule{event::request_failed, "outcome", "late", explain_late},
    explanation_rule{event::request_failed, "outcome", "unknown",
                     explain_unknown},
    explanation_rule{event::request_failed, "outcome", "cut", explain_cut},
    explanation_rule{event::request_failed, "outcome", "passed_on",
                     explain_passed_on},
    explanation_rule{event::caller_left, "", "", explain_caller_left},
};

const explanation_rule* find_rule(const log_line& line)
{
    const auto it =
        std::ranges::find_if(explanation_rules, [&](const explanation_rule& o) {
            return o.event == line.event &&
                   (o.field.empty() ||
                    line.get(std::string(o.field)) == o.value);
        });
    return it == explanation_rules.end() ? nullptr : &*it;
}

/// A note if nodes dropped log lines, since lines of the request may be among
/// them; otherwise empty.
std::string dropped_lines_note(const context_map& context)
{
    const auto found = context.find(event::log_lines_dropped);
    if (found == context.end())
        return "";
    return "Note: nodes reported " + std::to_string(found->second.size()) +
           " times that they dropped log lines (event " +
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
        request_lines_.push_back(*line);
        return true;
    }
    const bool kept =
        std::ranges::find(context_events, line->event) != context_events.end();
    if (!kept)
        return true;
    auto& lines = context_[line->event];
    lines.push_back(*line);
    if (lines.size() > max_lines_per_event)
        lines.pop_front();
    return true;
}

std::vector<log_line> request_timeline::sorted_lines() const
{
    std::vector<log_line> out = request_lines_;
    std::ranges::stable_sort(out, {}, &log_line::time);
    return out;
}

std::string request_timeline::explain() const
{
    std::ostringstream out;
    if (request_lines_.empty()) {
        out << "No log line mentions request " << id_ << ".\n"
            << dropped_lines_note(context_);
        return out.str();
    }
    const auto lines = sorted_lines();
    const log_line* attempt = nullptr;
    const log_line* resumption = nullptr;
    const log_line* suspicion = nullptr;
    const log_line* displacement = nullptr;
    const log_line* malformed = nullptr;
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
        if (it.event == event::stream_resumed)
            resumption = &it;
        if (it.event == event::request_suspected)
            suspicion = &it;
        if (it.event == event::exchange_displaced)
            displacement = &it;
        if (it.event == event::answer_malformed)
            malformed = &it;
        if (find_rule(it) != nullptr)
            last = &it;
    }
    out << '\n';
    if (resumption != nullptr)
        out << describe_resumption(*resumption) << '\n';
    if (suspicion != nullptr)
        out << describe_suspicion(*suspicion) << '\n';
    if (displacement != nullptr)
        out << describe_displacement(*displacement) << '\n';
    if (malformed != nullptr)
        out << describe_malformed(*malformed) << '\n';
    if (last == nullptr)
        out << "These logs don't contain the outcome.\n"
            << dropped_lines_note(context_);
    else
        out << find_rule(*last)->explain({*last, attempt, context_}) << '\n';
    return out.str();
}

} // namespace fennelladder::report
