// Error-budget burn of service levels, computed from a recorded history
// (docs/HISTORY.md).
//
//     history_burn burn;
//     while (std::getline(in, line))
//         burn.add(*history::parse_event(line));
//     telemetry::burn_snapshot snapshot =
//         burn.finish(service_levels_of(manifest.objectives));
//
// A caller's attempts with the same key count as one request, from the first
// attempt to the first complete answer, since that is what the caller
// experienced.
//
// Memory grows with the number of keys in the history, so this is meant for
// files, not for endless streams.

#ifndef FENNELLADDER_REPORT_HISTORY_BURN_HPP
#define FENNELLADDER_REPORT_HISTORY_BURN_HPP

#include "fennelladder/history/event.hpp"
#include "fennelladder/telemetry/service_level.hpp"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fennelladder::report {

/// Objectives for a history without a manifest: for each of the given kinds of
/// caller, 99% of requests answered completely and not executed or billed
/// twice, at any latency.
std::vector<telemetry::service_level_objective>
default_objectives(const std::set<caller_kind>& kinds);

/// Collects the outcome of each key. Not thread safe.
class history_burn
{
public:
    /// Adds an event; events may be added in any order.
    void add(const history::event& it);

    /// Kinds of caller in the events added so far.
    const std::set<caller_kind>& kinds() const { return kinds_; }

    /// Counts as of the time of the last event. Keys without an outcome count
    /// as `missing`.
    telemetry::burn_snapshot
    finish(std::vector<telemetry::service_level_objective> objectives) const;

private:
    struct key_state
    {
        team_id team;
        caller_kind kind;
        bool idempotent = true;
        std::optional<instant> sent;
        std::set<std::string> bills;
        std::set<std::pair<target_id, std::uint64_t>> executions;
    };

    // One attempt of a key: its chunks, and its outcome once there is one.
    struct attempt_state
    {
        request_key key;
        std::vector<instant> chunks;
        std::optional<instant> answered;
        std::optional<instant> not_run;
        std::optional<instant> unknown;
    };

    struct visitor;

    telemetry::request_sample
    sample_of(const key_state& key,
              const std::vector<const attempt_state*>& attempts) const;

    std::set<caller_kind> kinds_;
    std::unordered_map<request_key, key_state> keys_;
    std::unordered_map<request_id, attempt_state> attempts_;
    instant last_event_at_;
};

} // namespace fennelladder::report

#endif
