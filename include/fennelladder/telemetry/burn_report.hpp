// The report on service-level burn: by objective, kind of caller and team.
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

/// What the burn asks of an operator.
enum class burn_state : std::uint8_t
{
    quiet,
    ticket, ///< The budget won't last its window: look at it in working hours.
    page    ///< The budget is gone within days or hours: look at it now.
};

std::string_view to_string(burn_state state);

/// The pairs of windows that raise a state. Both must burn at the rate: the
/// long one so that a blip doesn't, the short one so that it ends soon after
/// the trouble does.
struct burn_alert
{
    burn_window shorter;
    burn_window longer;
    double rate;
    burn_state state;
};

/// Worst first. 14.4 uses a thirtieth of a 30-day budget in an hour.
constexpr std::array<burn_alert, 3> burn_alerts = {
    {{burn_window::minutes_5, burn_window::hour_1, 14.4, burn_state::page},
     {burn_window::minutes_30, burn_window::hours_6, 6.0, burn_state::page},
     {burn_window::hours_6, burn_window::days_3, 1.0, burn_state::ticket}}};

/// Share of bad requests over the share allowed; 0 without requests. A target
/// of 1 counts as one that allows a millionth.
double burn_rate(const burn_counts& counts, double target);

/// Share of the error budget left over the window of `counts`: 1 untouched, 0
/// used up, negative beyond.
double budget_left(const burn_counts& counts, double target);

/// One objective.
struct objective_row
{
    service_level_objective objective;
    std::array<burn_counts, window_count> counts{}; ///< By window.
    std::array<double, window_count> rates{};
    double left = 1;
    burn_state state = burn_state::quiet;
};

/// One kind of caller, by the objective that has least budget left. (Adding up
/// its objectives would count each request several times.)
struct kind_row
{
    caller_kind kind;
    std::string objective;
    burn_counts counts; ///< Whole window.
    double left = 1;
    burn_state state = burn_state::quiet; ///< The worst of all objectives.
};

/// One team under one objective.
struct team_row
{
    std::string objective;
    std::string team;
    burn_counts counts; ///< Whole window.
    double rate = 0;    ///< Over an hour.
    double share = 0;   ///< Of the objective's bad requests.
};

struct burn_report
{
    std::vector<objective_row> objectives; ///< Least budget left first.
    std::vector<kind_row> kinds;           ///< Likewise.
    std::vector<team_row> teams;           ///< Most bad requests first.
};

struct burn_report_options
{
    std::size_t team_limit = 20;
};

burn_report make_report(const burn_snapshot& seen,
                        const burn_report_options& options);

/// Text for a terminal.
std::string to_table(const burn_report& report);

/// One JSON object.
std::string to_json(const burn_report& report);

/// A page that needs nothing else: style and plot are inside.
std::string to_html(const burn_report& report);

} // namespace fennelladder::telemetry

#endif
