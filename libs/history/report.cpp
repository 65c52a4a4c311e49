// The report as text for people and as JSON for programs.

#include "fennelladder/history/checker.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fennelladder::history {

namespace {

double to_milliseconds(duration length)
{
    return to_seconds(length) * 1e3;
}

void write_violations(std::ostream& out, const history_report& report,
                      const line_texts& texts)
{
    for (const violation& it : report.violations) {
        out << to_string(it.broken) << ": " << it.message << " [event "
            << telemetry::event::history_violation << "]\n";
        for (const line_number line : it.lines) {
            const auto text = texts.find(line);
            out << "  line " << line;
            if (text != texts.end())
                out << ": " << text->second;
            out << '\n';
        }
    }
}

void write_totals(std::ostream& out, const history_report& report)
{
    const history_counts& n = report.counts;
    out << n.lines << " lines, " << n.requests << " requests (" << n.answered
        << " answered, " << n.not_run << " not run, " << n.unknown
        << " unknown, " << n.refused << " refused), " << n.executions
        << " executions, " << n.bills << " bills\n";
    for (const kind_figure& it : report.kinds)
        out << "urgent-first: " << it.kind << ": " << it.dispatched << " of "
            << it.sent << " dispatched, wait p50 "
            << to_milliseconds(it.wait_p50) << " ms, p95 "
            << to_milliseconds(it.wait_p95) << " ms, max "
            << to_milliseconds(it.wait_max) << " ms, overtaken " << it.overtaken
            << '\n';
    if (report.violations.empty())
        out << "all rules hold\n";
    for (std::size_t n_rule = 0; n_rule < rule_count; ++n_rule) {
        if (report.broken[n_rule] > 0)
            out << to_string(static_cast<rule>(n_rule)) << " broken "
                << report.broken[n_rule] << " times\n";
    }
}

nlohmann::json findings_of(const history_report& report)
{
    auto list = nlohmann::json::array();
    for (const finding& it : report.bad.all())
        list.push_back({{"source", it.place.source},
                        {"inside", it.place.inside},
                        {"event", it.event},
                        {"message", it.message}});
    return list;
}

nlohmann::json violations_of(const history_report& report)
{
    auto list = nlohmann::json::array();
    for (const violation& it : report.violations)
        list.push_back({{"rule", to_string(it.broken)},
                        {"message", it.message},
                        {"lines", it.lines}});
    return list;
}

nlohmann::json urgency_of(const history_report& report)
{
    auto list = nlohmann::json::array();
    for (const kind_figure& it : report.kinds)
        list.push_back({{"kind", it.kind.str()},
                        {"sent", it.sent},
                        {"dispatched", it.dispatched},
                        {"wait_p50_ms", to_milliseconds(it.wait_p50)},
                        {"wait_p95_ms", to_milliseconds(it.wait_p95)},
                        {"wait_max_ms", to_milliseconds(it.wait_max)},
                        {"overtaken", it.overtaken}});
    return list;
}

nlohmann::json counts_of(const history_counts& n)
{
    return {{"lines", n.lines},           {"requests", n.requests},
            {"answered", n.answered},     {"not_run", n.not_run},
            {"unknown", n.unknown},       {"refused", n.refused},
            {"executions", n.executions}, {"bills", n.bills}};
}

} // namespace

line_texts read_named_lines(const std::string& path,
                            const history_report& report)
{
    line_texts texts;
    for (const violation& it : report.violations) {
        for (const line_number line : it.lines)
            texts[line];
    }
    std::ifstream in(path);
    std::string text;
    line_number line = 0;
    for (auto it = texts.begin(); it != texts.end(); ++it) {
        while (line < it->first && std::getline(in, text))
            ++line;
        it->second = text;
    }
    return texts;
}

std::string to_text(const history_report& report, const line_texts& texts)
{
    std::ostringstream out;
    out << report.bad.to_text();
    if (report.bad_beyond > 0)
        out << "and " << report.bad_beyond << " findings more\n";
    if (!report.bad.empty())
        return out.str();
    write_violations(out, report, texts);
    write_totals(out, report);
    return out.str();
}

std::string to_json(const history_report& report)
{
    nlohmann::json broken = nlohmann::json::object();
    for (std::size_t n = 0; n < rule_count; ++n)
        broken[std::string(to_string(static_cast<rule>(n)))] = report.broken[n];
    const nlohmann::json all{{"holds", report.holds()},
                             {"findings", findings_of(report)},
                             {"findings_beyond", report.bad_beyond},
                             {"violations", violations_of(report)},
                             {"broken", broken},
                             {"counts", counts_of(report.counts)},
                             {"urgent_first", urgency_of(report)}};
    return all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fennelladder::history
