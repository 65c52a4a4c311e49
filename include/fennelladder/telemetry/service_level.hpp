// Measures how fast requests use up the error budgets of service-level
// objectives.
//
// An objective states which share of a caller kind's requests must be answered
// completely, exactly once and in time. Other requests are bad, for one of four
// causes, and use up its error budget. The burn rate is the share of bad
// requests divided by the share allowed: at 1 the budget lasts exactly its
// window.
//
//     service_level_meter meter(objectives, {});
//     meter.add({team, kind, request_end::answered, false, first, gap, total},
//               now);
//     burn_snapshot counts = meter.snapshot(now);
//     page += to_prometheus(counts);          // on a node's /metrics
//     counts.merge(*parse_prometheus(other)); // in the report
//
// Counts are kept per objective over six sliding windows, and per objective and
// team over two, in ring buffers of cells, so that memory doesn't grow with the
// number of requests. A window's count lacks up to one cell at its old end (a
// twelfth of the window, for teams a sixth).

#ifndef FENNELLADDER_TELEMETRY_SERVICE_LEVEL_HPP
#define FENNELLADDER_TELEMETRY_SERVICE_LEVEL_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::telemetry {

/// The latency that an objective limits.
enum class latency_measure : std::uint8_t
{
    first_byte,
    inter_token, ///< Longest gap between two tokens.
    total
};

/// A service-level objective, as defined in the manifest.
struct service_level_objective
{
    std::string name;
    caller_kind kind;
    latency_measure measure = latency_measure::total;
    duration latency{};   ///< Upper limit, inclusive.
    double target = 0.99; ///< Share that must be good, 0 to 1.
    duration window = hours(24 * 28);

    bool operator==(const service_level_objective&) const = default;
};

/// How a request ended for its caller.
enum class request_end : std::uint8_t
{
    answered,
    refused, ///< The caller was told "not run".
    missing  ///< The caller got "unknown", a cut answer, or nothing.
};

/// A finished request.
struct request_sample
{
    team_id team;
    caller_kind kind;
    request_end end = request_end::answered;
    bool doubled = false; ///< Ran or was billed more than once.
    duration first_byte{};
    duration longest_gap{};
    duration total{};
};

/// Whether a request is good, or the cause why it is bad.
enum class burn_cause : std::uint8_t
{
    good,
    slow,
    missing,
    doubled,
    refused
};

constexpr std::size_t cause_count = 5;

/// "good", "slow", ...
std::string_view to_string(burn_cause cause);

/// The cause under which `sample` counts for `objective`. If several apply, the
/// worst one wins: doubled, then missing, refused, slow.
burn_cause classify(const service_level_objective& objective,
                    const request_sample& sample);

/// Requests by cause.
struct burn_counts
{
    std::array<std::uint64_t, cause_count> by_cause{};

    std::uint64_t of(burn_cause cause) const
    {
        return by_cause[std::size_t(cause)];
    }

    std::uint64_t total() const;
    std::uint64_t bad() const { return total() - of(burn_cause::good); }

    burn_counts& operator+=(const burn_counts& other);
    bool operator==(const burn_counts&) const = default;
};

/// Windows over which burn rates are computed; `whole` is the objective's own.
enum class burn_window : std::uint8_t
{
    minutes_5,
    minutes_30,
    hour_1,
    hours_6,
    days_3,
    whole
};

constexpr std::size_t window_count = 6;

/// "5m", "30m", "1h", "6h", "3d", "whole".
std::string_view to_string(burn_window window);

/// Length of `window` for `objective`.
duration length_of(burn_window window,
                   const service_level_objective& objective);

/// Counts over one sliding window. Not thread safe.
class window_ring
{
public:
    /// Precondition: 1 <= cells, length >= cells nanoseconds.
    window_ring(duration length, std::size_t cells);

    void add(burn_cause cause, instant now);
    burn_counts sum(instant now) const;

private:
    struct cell
    {
        std::int64_t number = -1; ///< Start time divided by the cell length.
        std::array<std::uint32_t, cause_count> by_cause{};
    };

    std::int64_t number_of(instant at) const;

    duration cell_length_;
    std::vector<cell> cells_;
};

/// Key of a count. An empty team stands for all teams together.
struct burn_key
{
    std::string objective;
    std::string team;
    burn_window window = burn_window::whole;

    friend auto operator<=>(const burn_key&, const burn_key&) = default;
};

/// Counts at one point in time, of one node or merged from several.
struct burn_snapshot
{
    std::map<std::string, service_level_objective> objectives;
    std::map<burn_key, burn_counts> counts;

    /// Adds another node's counts. Objectives of the same name are assumed to
    /// be the same; the definition present first is kept.
    void merge(const burn_snapshot& other);

    /// The counts of a key, zero if there are none.
    burn_counts of(const std::string& objective, const std::string& team,
                   burn_window window) const;
};

struct meter_options
{
    /// Maximum number of team series, summed over all objectives. Further
    /// teams count under `other_teams` until the process ends. A series takes
    /// 700 bytes.
    std::size_t max_team_series = 10'000;

    /// Maximum number of teams per objective in a snapshot, those with the
    /// most bad requests. Bounds the size of a node's /metrics page.
    std::size_t max_snapshot_teams = 50;
};

/// Name under which teams beyond the limit are counted.
constexpr std::string_view other_teams = "(other)";

/// Counts requests by objective, cause and team. Thread safe; add() holds a
/// lock for a few additions.
class service_level_meter
{
public:
    service_level_meter(std::vector<service_level_objective> objectives,
                        meter_options options);

    /// Counts a request under every objective of its caller kind. `now` must
    /// not go back by more than a cell.
    void add(const request_sample& sample, instant now);

    burn_snapshot snapshot(instant now) const;

    /// Replaces the objectives; unchanged ones keep their counts.
    void set_objectives(std::vector<service_level_objective> objectives);

private:
    struct series
    {
        std::map<burn_window, window_ring> windows;
    };

    struct tracked_objective
    {
        service_level_objective objective;
        series all;
        std::unordered_map<std::string, series> teams;
    };

    series make_series(const service_level_objective& objective,
                       bool team) const;
    series& team_series(tracked_objective& it, const team_id& team);
    void add_worst_teams(const tracked_objective& it, instant now,
                         burn_snapshot& out) const;

    const meter_options options_;

    // No other lock is taken while this one is held.
    mutable std::mutex mutex_;
    std::vector<tracked_objective> tracked_; // Guarded by mutex_.
};

/// Formats a snapshot as lines of the Prometheus text format:
///
///   fennelladder_service_level_objective{objective="..",kind="..",
///     measure="total",latency_ns="..",window_ns=".."} 0.999
///   fennelladder_service_level_requests{objective="..",team="..",
///     window="1h",cause="slow"} 17
///
/// Zero counts are omitted.
std::string to_prometheus(const burn_snapshot& snapshot);

/// Parses such lines from a /metrics page and skips all others. Fails with
/// `corrupt` if one of them is malformed.
result<burn_snapshot> parse_prometheus(std::string_view page);

} // namespace fennelladder::telemetry

#endif
