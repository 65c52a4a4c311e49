// Renders the report as an HTML page. The plot has a group of bars for each
// objective with one bar per window, stacked by cause. The height of a bar is
// the burn rate on a square-root scale, so that 1 and 14.4 can both be read;
// lines mark the rates that raise an alert.

#include "fennelladder/telemetry/burn_report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace fennelladder::telemetry {

namespace {

constexpr double plot_height = 260;
constexpr double plot_top = 20;
constexpr double bar_width = 16;
constexpr double group_gap = 30;
constexpr double left_margin = 60;
constexpr double max_rate = 40; ///< Higher rates are drawn at this one.

constexpr std::array<std::string_view, cause_count> colors = {
    "#ffffff", "#d98c00", "#b3261e", "#6a3fa0", "#4f6d7a"};

std::string escape(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

double height_of(double rate)
{
    return plot_height * std::sqrt(std::min(rate, max_rate) / max_rate);
}

double y_of(double rate)
{
    return plot_top + plot_height - height_of(rate);
}

void draw_rate_line(std::ostream& out, double rate, double width)
{
    const double y = y_of(rate);
    out << "<line x1=\"" << left_margin << "\" x2=\"" << width << "\" y1=\""
        << y << "\" y2=\"" << y << "\" class=\"rate\"/><text x=\"5\" y=\""
        << y + 4 << "\">" << rate << "</text>\n";
}

void draw_bar(std::ostream& out, double x, const burn_counts& counts,
              double rate, std::string_view title)
{
    const double height = height_of(rate);
    double y = plot_top + plot_height;
    for (std::size_t n = 1; n < cause_count; ++n) {
        if (counts.by_cause[n] == 0)
            continue;
        const double part =
            height * double(counts.by_cause[n]) / double(counts.bad());
        y -= part;
        out << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\""
            << bar_width - 2 << "\" height=\"" << part << "\" fill=\""
            << colors[n] << "\"><title>" << escape(title) << ": "
            << counts.by_cause[n] << ' ' << to_string(burn_cause(n))
            << ", burn rate " << rate << "</title></rect>\n";
    }
}

void draw_plot(std::ostream& out, const burn_report& report)
{
    const double group = bar_width * window_count + group_gap;
    const double width = left_margin + group * double(report.objectives.size());
    out << "<svg viewBox=\"0 0 " << width << ' ' << plot_height + 80
        << "\" width=\"" << width << "\" role=\"img\" "
        << "aria-label=\"burn rates\">\n";
    for (const burn_alert& it : burn_alerts)
        draw_rate_line(out, it.rate, width);
    double x = left_margin;
    for (const objective_row& row : report.objectives) {
        for (std::size_t n = 0; n < window_count; ++n) {
            const auto name = to_string(burn_window(n));
            const double at = x + bar_width * double(n);
            draw_bar(out, at, row.counts[n], row.rates[n],
                     row.objective.name + ", " + std::string(name));
            out << "<text x=\"" << at << "\" y=\""
                << plot_top + plot_height + 14 << "\" class=\"window\">" << name
                << "</text>\n";
        }
        out << "<text x=\"" << x << "\" y=\"" << plot_top + plot_height + 36
            << "\">" << escape(row.objective.name) << "</text>\n";
        x += group;
    }
    out << "</svg>\n<p>";
    for (std::size_t n = 1; n < cause_count; ++n)
        out << "<span style=\"color:" << colors[n] << "\">&#9632;</span> "
            << to_string(burn_cause(n)) << ' ';
    out << "&mdash; height: burn rate, square-root scale up to " << max_rate
        << "</p>\n";
}

void write_causes(std::ostream& out, const burn_counts& counts)
{
    out << "<td>" << counts.total() << "</td>";
    for (std::size_t n = 1; n < cause_count; ++n)
        out << "<td>" << counts.by_cause[n] << "</td>";
}

constexpr std::string_view cause_headers =
    "<th>requests</th><th>slow</th><th>missing</th><th>doubled</th>"
    "<th>refused</th></tr>\n";

void write_objectives(std::ostream& out, const burn_report& report)
{
    out << "<table><tr><th>objective</th><th>caller kind</th><th>target</th>"
           "<th>left</th><th>5m</th><th>30m</th><th>1h</th><th>6h</th>"
           "<th>3d</th><th>state</th>"
        << cause_headers;
    for (const objective_row& it : report.objectives) {
        out << "<tr class=\"" << to_string(it.state) << "\"><td>"
            << escape(it.objective.name) << "</td><td>"
            << escape(it.objective.kind.str()) << "</td><td>"
            << it.objective.target * 100 << "%</td><td>" << it.left * 100
            << "%</td>";
        for (std::size_t n = 0; n + 1 < window_count; ++n)
            out << "<td>" << it.rates[n] << "</td>";
        out << "<td>" << to_string(it.state) << "</td>";
        write_causes(out, it.counts[std::size_t(burn_window::whole)]);
        out << "</tr>\n";
    }
    out << "</table>\n";
}

void write_kinds(std::ostream& out, const burn_report& report)
{
    out << "<table><tr><th>caller kind</th><th>worst "
           "objective</th><th>left</th>"
           "<th>state</th>"
        << cause_headers;
    for (const kind_row& it : report.kinds) {
        out << "<tr class=\"" << to_string(it.state) << "\"><td>"
            << escape(it.kind.str()) << "</td><td>" << escape(it.objective)
            << "</td><td>" << it.left * 100 << "%</td><td>"
            << to_string(it.state) << "</td>";
        write_causes(out, it.counts);
        out << "</tr>\n";
    }
    out << "</table>\n";
}

void write_teams(std::ostream& out, const burn_report& report)
{
    out << "<table><tr><th>team</th><th>objective</th><th>of bad</th>"
           "<th>1h</th>"
        << cause_headers;
    for (const team_row& it : report.teams) {
        out << "<tr><td>" << escape(it.team) << "</td><td>"
            << escape(it.objective) << "</td><td>" << it.share * 100
            << "%</td><td>" << it.rate << "</td>";
        write_causes(out, it.counts);
        out << "</tr>\n";
    }
    out << "</table>\n";
}

constexpr std::string_view style =
    "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;"
    "margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px "
    "solid #ccc}td:first-child,th:first-child{text-align:left}.page{"
    "background:#fbe3e1}.ticket{background:#fdf1d8}svg text{font-size:11px}"
    "svg .window{font-size:8px}svg .rate{stroke:#888;stroke-dasharray:4 3}";

} // namespace

std::string to_html(const burn_report& report)
{
    std::ostringstream out;
    out << std::setprecision(4);
    out << "<!doctype html>\n<html lang=\"en\"><head><meta "
           "charset=\"utf-8\"><title>Service-level burn</title><style>"
        << style << "</style></head><body>\n<h1>Service-level burn</h1>\n";
    draw_plot(out, report);
    out << "<h2>Objectives</h2>\n";
    write_objectives(out, report);
    out << "<h2>Kinds of caller</h2>\n";
    write_kinds(out, report);
    out << "<h2>Teams</h2>\n";
    write_teams(out, report);
    out << "</body></html>\n";
    return out.str();
}

} // namespace fennelladder::telemetry
