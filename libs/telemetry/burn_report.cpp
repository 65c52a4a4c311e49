#include "fennelladder/telemetry/burn_report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fennelladder::telemetry {

namespace {

using nlohmann::json;

// With a target of 1, one bad request would give an infinite burn rate.
constexpr double min_allowance = 1e-6;

double allowance(double target)
{
    return std::max(1 - target, min_allowance);
}

burn_state alert_state(const std::array<double, window_count>& rates)
{
    for (const burn_alert& it : burn_alerts) {
        if (rates[std::size_t(it.shorter)] >= it.rate &&
            rates[std::size_t(it.longer)] >= it.rate)
            return it.state;
    }
    return burn_state::quiet;
}

objective_row make_objective_row(const service_level_objective& objective,
                                 const burn_snapshot& snapshot)
{
    objective_row row;
    row.objective = objective;
    for (std::size_t n = 0; n < window_count; ++n) {
        row.counts[n] = snapshot.of(objective.name, {}, burn_window(n));
        row.rates[n] = burn_rate(row.counts[n], objective.target);
    }
    row.left = budget_left(row.counts[std::size_t(burn_window::whole)],
                           objective.target);
    row.state = alert_state(row.rates);
    return row;
}

// Rows are sorted by budget left, least first, so a kind's first row is its
// worst objective.
std::vector<kind_row> make_kind_rows(const std::vector<objective_row>& rows)
{
    std::vector<kind_row> list;
    for (const objective_row& it : rows) {
        const auto known =
            std::ranges::find(list, it.objective.kind, &kind_row::kind);
        if (known != list.end()) {
            known->state = std::max(known->state, it.state);
            continue;
        }
        list.push_back({it.objective.kind, it.objective.name,
                        it.counts[std::size_t(burn_window::whole)], it.left,
                        it.state});
    }
    return list;
}

std::vector<team_row> make_team_rows(const burn_snapshot& snapshot,
                                     std::size_t limit)
{
    std::vector<team_row> rows;
    for (const auto& [key, counts] : snapshot.counts) {
        const bool team = !key.team.empty() &&
                          key.window == burn_window::whole && counts.bad() > 0;
        const auto objective = snapshot.objectives.find(key.objective);
        if (!team || objective == snapshot.objectives.end())
            continue;
        const auto hour =
            snapshot.of(key.objective, key.team, burn_window::hour_1);
        const auto all = snapshot.of(key.objective, {}, burn_window::whole);
        rows.push_back({key.objective, key.team, counts,
                        burn_rate(hour, objective->second.target),
                        double(counts.bad()) /
                            double(std::max<std::uint64_t>(1, all.bad()))});
    }
    std::ranges::stable_sort(rows, [](const team_row& a, const team_row& b) {
        return a.counts.bad() > b.counts.bad();
    });
    rows.resize(std::min(rows.size(), limit));
    return rows;
}

std::string rounded(double value, int decimals)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(decimals) << value;
    return out.str();
}

std::string percent(double share)
{
    return rounded(share * 100, 2) + "%";
}

// Prints the columns of counts, which all tables share.
void print_causes(std::ostream& out, const burn_counts& counts)
{
    out << std::setw(11) << counts.total();
    for (const burn_cause it : {burn_cause::slow, burn_cause::missing,
                                burn_cause::doubled, burn_cause::refused})
        out << std::setw(9) << counts.of(it);
}

constexpr std::string_view cause_headers =
    "   requests     slow  missing  doubled  refused";

json causes_json(const burn_counts& counts)
{
    json it = {{"requests", counts.total()}};
    for (std::size_t n = 1; n < cause_count; ++n)
        it[std::string(to_string(burn_cause(n)))] = counts.by_cause[n];
    return it;
}

} // namespace

std::string_view to_string(burn_state state)
{
    constexpr std::array<std::string_view, 3> names = {"quiet", "ticket",
                                                       "page"};
    return names[std::size_t(state)];
}

double burn_rate(const burn_counts& counts, double target)
{
    if (counts.total() == 0)
        return 0;
    const double bad = double(counts.bad()) / double(counts.total());
    return bad / allowance(target);
}

double budget_left(const burn_counts& counts, double target)
{
    return 1 - burn_rate(counts, target);
}

burn_report make_report(const burn_snapshot& snapshot,
                        const burn_report_options& options)
{
    burn_report report;
    report.objectives.reserve(snapshot.objectives.size());
    for (const auto& [name, objective] : snapshot.objectives)
        report.objectives.push_back(make_objective_row(objective, snapshot));
    std::ranges::stable_sort(report.objectives, {}, &objective_row::left);
    report.kinds = make_kind_rows(report.objectives);
    report.teams = make_team_rows(snapshot, options.team_limit);
    return report;
}

std::string to_table(const burn_report& report)
{
    std::ostringstream out;
    out << std::left << std::setw(24) << "objective" << std::setw(16)
        << "caller kind" << std::right << std::setw(9) << "target"
        << std::setw(11) << "left";
    for (std::size_t n = 0; n + 1 < window_count; ++n)
        out << std::setw(8) << to_string(burn_window(n));
    out << std::setw(8) << "state" << cause_headers << '\n';
    for (const objective_row& it : report.objectives) {
        out << std::left << std::setw(24) << it.objective.name << std::setw(16)
            << it.objective.kind.str() << std::right << std::setw(9)
            << percent(it.objective.target) << std::setw(11)
            << percent(it.left);
        for (std::size_t n = 0; n + 1 < window_count; ++n)
            out << std::setw(8) << rounded(it.rates[n], 2);
        out << std::setw(8) << to_string(it.state);
        print_causes(out, it.counts[std::size_t(burn_window::whole)]);
        out << '\n';
    }
    out << '\n'
        << std::left << std::setw(24) << "caller kind" << std::setw(24)
        << "worst objective" << std::right << std::setw(12) << "left"
        << std::setw(8) << "state" << cause_headers << '\n';
    for (const kind_row& it : report.kinds) {
        out << std::left << std::setw(24) << it.kind.str() << std::setw(24)
            << it.objective << std::right << std::setw(12) << percent(it.left)
            << std::setw(8) << to_string(it.state);
        print_causes(out, it.counts);
        out << '\n';
    }
    out << '\n'
        << std::left << std::setw(40) << "team" << std::setw(24) << "objective"
        << std::right << std::setw(10) << "of bad" << std::setw(8) << "1h"
        << cause_headers << '\n';
    for (const team_row& it : report.teams) {
        out << std::left << std::setw(40) << it.team << std::setw(24)
            << it.objective << std::right << std::setw(10) << percent(it.share)
            << std::setw(8) << rounded(it.rate, 2);
        print_causes(out, it.counts);
        out << '\n';
    }
    return out.str();
}

std::string to_json(const burn_report& report)
{
    json out = {{"objectives", json::array()},
                {"caller_kinds", json::array()},
                {"teams", json::array()}};
    for (const objective_row& it : report.objectives) {
        json row = {{"objective", it.objective.name},
                    {"caller_kind", it.objective.kind.str()},
                    {"target", it.objective.target},
                    {"latency_seconds", to_seconds(it.objective.latency)},
                    {"budget_left", it.left},
                    {"state", to_string(it.state)}};
        for (std::size_t n = 0; n < window_count; ++n) {
            json window = causes_json(it.counts[n]);
            window["burn_rate"] = it.rates[n];
            row["windows"][std::string(to_string(burn_window(n)))] =
                std::move(window);
        }
        out["objectives"].push_back(std::move(row));
    }
    for (const kind_row& it : report.kinds) {
        json row = causes_json(it.counts);
        row["caller_kind"] = it.kind.str();
        row["worst_objective"] = it.objective;
        row["budget_left"] = it.left;
        row["state"] = to_string(it.state);
        out["caller_kinds"].push_back(std::move(row));
    }
    for (const team_row& it : report.teams) {
        json row = causes_json(it.counts);
        row["team"] = it.team;
        row["objective"] = it.objective;
        row["burn_rate_1h"] = it.rate;
        row["share_of_bad"] = it.share;
        out["teams"].push_back(std::move(row));
    }
    return out.dump();
}

} // namespace fennelladder::telemetry
