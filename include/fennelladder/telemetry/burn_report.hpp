// Report on the use of error budgets by objective, caller kind and team.
//
//     burn_report report = make_report(snapshot, {.team_limit = 20});
//     std::cout << to_table(report);
//
// All functions are pure and thread safe.

#ifndef FENNELLADDER_TELEMETRY_BURN_REPORT_HPP
#define FENNELLADDER_TELEMETRY_BURN_REPORT_HPP

#include "fennelladder/telemetry/service_level.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace fennelladder::telemetry {

/// Alert level of a burn rate.
enum class burn_state : std::uint8_t
{
    quiet,  ///< No alert.
    ticket, ///< The budget won't last its window; act in working hours.
    page    ///< The budget will run out within days or hours; act now.
};

std::string_view to_string(burn_state state);

/// Alert rule over a pair of windows. Both must reach the rate: the longer one
/// so that a brief spike raises no alert, the shorter one so that the alert
/// clears soon after the problem ends.
struct burn_alert
{
    burn_window shorter;
    burn_window longer;
    double rate;
    burn_state state;
};

/// Most severe first. A rate of 14.4 uses a fiftieth of a 30-day budget in an
/// hour.
constexpr std::array<burn_alert, 3> burn_alerts = {
    {{burn_window::minutes_5, burn_window::hour_1, 14.4, burn_state::page},
     {burn_window::minutes_30, burn_window::hours_6, 6.0, burn_state::page},
     {burn_window::hours_6, burn_window::days_3, 1.0, burn_state::ticket}}};

/// Share of bad requests divided by the share that `target` allows; 0 without
/// requests. A target of 1 is treated as allowing one request in a million.
double burn_rate(const burn_counts& counts, double target);

/// Share of the error budget left over the window of `counts`: 1 if untouched,
/// 0 if used up, negative if exceeded.
double budget_left(const burn_counts& counts, double target);

/// Report row of one objective.
struct objective_row
{
    service_level_objective objective;
    std::array<burn_counts, window_count> counts{}; ///< By window.
    std::array<double, window_count> rates{};       ///< Burn rates by window.
    double left = 1; ///< Share of the error budget.
    burn_state state = burn_state::quiet;
};

/// Report row of one caller kind. Shows its objective with the least budget
/// left, since a sum over its objectives would count each request several
/// times.
struct kind_row
{
    caller_kind kind;
    std::string objective;
    burn_counts counts; ///< Whole window.
    double left = 1;
    burn_state state = burn_state::quiet; ///< Most severe over all objectives.
};

/// Report row of one team under one objective.
struct team_row
{
    std::string objective;
    std::string team;
    burn_counts counts; ///< Whole window.
    double rate = 0;    ///< Burn rate over an hour.
    double share = 0;   ///< Of the objective's bad requests.
};

struct burn_report
{
    std::vector<objective_row> objectives; ///< Least budget left first.
    std::vector<kind_row> kinds;           ///< Least budget left first.
    std::vector<team_row> teams;           ///< Most bad requests first.
};

struct burn_report_options
{
    std::size_t team_limit = 20; ///< Maximum number of team rows.
};

burn_report make_report(const burn_snapshot& snapshot,
                        const burn_report_options& options);

/// Plain-text tables for a terminal.
std::string to_table(const burn_report& report);

/// The report as one JSON object.
std::string to_json(const burn_report& report);

/// A self-contained HTML page with inline styles and plot.
std::string to_html(const burn_report& report);

} // namespace fennelladder::telemetry

#endif
