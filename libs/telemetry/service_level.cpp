// Each ring cell stores the number of the time slot that it counts, so idle
// time costs nothing: an outdated cell is cleared when it is next written and
// skipped when it is read. Adding a request is O(objectives of its caller
// kind).

#include "fennelladder/telemetry/service_level.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace fennelladder::telemetry {

namespace {

constexpr std::size_t objective_cells = 12;
constexpr std::size_t team_cells = 6;

constexpr std::array<std::string_view, cause_count> cause_names = {
    "good", "slow", "missing", "doubled", "refused"};

constexpr std::array<std::string_view, window_count> window_names = {
    "5m", "30m", "1h", "6h", "3d", "whole"};

constexpr std::array<burn_window, 2> team_windows = {burn_window::hour_1,
                                                     burn_window::whole};

duration measured_latency(latency_measure measure, const request_sample& it)
{
    switch (measure) {
    case latency_measure::first_byte:
        return it.first_byte;
    case latency_measure::inter_token:
        return it.longest_gap;
    case latency_measure::total:
        break;
    }
    return it.total;
}

} // namespace

std::string_view to_string(burn_cause cause)
{
    return cause_names[std::size_t(cause)];
}

std::string_view to_string(burn_window window)
{
    return window_names[std::size_t(window)];
}

duration length_of(burn_window window, const service_level_objective& objective)
{
    switch (window) {
    case burn_window::minutes_5:
        return minutes(5);
    case burn_window::minutes_30:
        return minutes(30);
    case burn_window::hour_1:
        return hours(1);
    case burn_window::hours_6:
        return hours(6);
    case burn_window::days_3:
        return hours(72);
    case burn_window::whole:
        break;
    }
    return objective.window;
}

burn_cause classify(const service_level_objective& objective,
                    const request_sample& sample)
{
    if (sample.doubled)
        return burn_cause::doubled;
    if (sample.end == request_end::missing)
        return burn_cause::missing;
    if (sample.end == request_end::refused)
        return burn_cause::refused;
    const bool slow =
        measured_latency(objective.measure, sample) > objective.latency;
    return slow ? burn_cause::slow : burn_cause::good;
}

std::uint64_t burn_counts::total() const
{
    return std::accumulate(by_cause.begin(), by_cause.end(), std::uint64_t{});
}

burn_counts& burn_counts::operator+=(const burn_counts& other)
{
    for (std::size_t n = 0; n < cause_count; ++n)
        by_cause[n] += other.by_cause[n];
    return *this;
}

window_ring::window_ring(duration length, std::size_t cells)
    : cell_length_(length / std::int64_t(cells)), cells_(cells)
{
    assert(cells > 0 && cell_length_.count() > 0);
}

std::int64_t window_ring::number_of(instant at) const
{
    return to_nanoseconds(at) / cell_length_.count();
}

void window_ring::add(burn_cause cause, instant now)
{
    const std::int64_t number = number_of(now);
    cell& it = cells_[std::size_t(number) % cells_.size()];
    if (it.number != number)
        it = {number, {}};
    ++it.by_cause[std::size_t(cause)];
}

burn_counts window_ring::sum(instant now) const
{
    const std::int64_t last = number_of(now);
    const std::int64_t first = last - std::int64_t(cells_.size()) + 1;
    burn_counts sum;
    for (const cell& it : cells_) {
        if (it.number < first || it.number > last)
            continue;
        for (std::size_t n = 0; n < cause_count; ++n)
            sum.by_cause[n] += it.by_cause[n];
    }
    return sum;
}

void burn_snapshot::merge(const burn_snapshot& other)
{
    objectives.insert(other.objectives.begin(), other.objectives.end());
    for (const auto& [key, it] : other.counts)
        counts[key] += it;
}

burn_counts burn_snapshot::of(const std::string& objective,
                              const std::string& team, burn_window window) const
{
    const auto it = counts.find({objective, team, window});
    return it == counts.end() ? burn_counts{} : it->second;
}

service_level_meter::service_level_meter(
    std::vector<service_level_objective> objectives, meter_options options)
    : options_(options)
{
    set_objectives(std::move(objectives));
}

service_level_meter::series
service_level_meter::make_series(const service_level_objective& objective,
                                 bool team) const
{
    series created;
    if (team) {
        for (const burn_window it : team_windows)
            created.windows.emplace(
                it, window_ring(length_of(it, objective), team_cells));
        return created;
    }
    for (std::size_t n = 0; n < window_count; ++n) {
        const auto it = burn_window(n);
        created.windows.emplace(
            it, window_ring(length_of(it, objective), objective_cells));
    }
    return created;
}

void service_level_meter::set_objectives(
    std::vector<service_level_objective> objectives)
{
    const std::lock_guard lock(mutex_);
    std::vector<tracked_objective> next;
    for (service_level_objective& one : objectives) {
        const auto same =
            std::ranges::find_if(tracked_, [&](const tracked_objective& it) {
                return it.objective == one;
            });
        if (same != tracked_.end()) {
            next.push_back(std::move(*same));
            continue;
        }
        series all = make_series(one, false);
        next.push_back({std::move(one), std::move(all), {}});
    }
    tracked_ = std::move(next);
}

service_level_meter::series&
service_level_meter::team_series(tracked_objective& it, const team_id& team)
{
    const auto known = it.teams.find(team.str());
    if (known != it.teams.end())
        return known->second;
    std::size_t count = 0;
    for (const tracked_objective& each : tracked_)
        count += each.teams.size();
    const std::string name = count < options_.max_team_series
                                 ? team.str()
                                 : std::string(other_teams);
    return it.teams.try_emplace(name, make_series(it.objective, true))
        .first->second;
}

void service_level_meter::add(const request_sample& sample, instant now)
{
    const std::lock_guard lock(mutex_);
    for (tracked_objective& it : tracked_) {
        if (it.objective.kind != sample.kind)
            continue;
        const burn_cause cause = classify(it.objective, sample);
        for (auto& [window, ring] : it.all.windows)
            ring.add(cause, now);
        for (auto& [window, ring] : team_series(it, sample.team).windows)
            ring.add(cause, now);
    }
}

// Adds the teams with the most bad requests in the objective's window; teams
// without bad requests are left out.
void service_level_meter::add_worst_teams(const tracked_objective& it,
                                          instant now, burn_snapshot& out) const
{
    std::vector<std::pair<std::uint64_t, const std::string*>> worst;
    for (const auto& [team, one] : it.teams) {
        const auto bad = one.windows.at(burn_window::whole).sum(now).bad();
        if (bad > 0)
            worst.emplace_back(bad, &team);
    }
    const std::size_t limit =
        std::min(worst.size(), options_.max_snapshot_teams);
    const auto more_bad_requests = [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    };
    std::partial_sort(worst.begin(), worst.begin() + std::ptrdiff_t(limit),
                      worst.end(), more_bad_requests);
    worst.resize(limit);
    for (const auto& [bad, team] : worst) {
        for (const auto& [window, ring] : it.teams.at(*team).windows)
            out.counts[{it.objective.name, *team, window}] = ring.sum(now);
    }
}

burn_snapshot service_level_meter::snapshot(instant now) const
{
    const std::lock_guard lock(mutex_);
    burn_snapshot out;
    for (const tracked_objective& it : tracked_) {
        out.objectives.emplace(it.objective.name, it.objective);
        for (const auto& [window, ring] : it.all.windows)
            out.counts[{it.objective.name, {}, window}] = ring.sum(now);
        add_worst_teams(it, now, out);
    }
    return out;
}

} // namespace fennelladder::telemetry
