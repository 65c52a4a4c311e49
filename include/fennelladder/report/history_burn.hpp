// Service-level burn from a recorded history (docs/HISTORY.md).
//
//     history_burn burn;
//     while (std::getline(in, line))
//         burn.add(*history::parse_event(line));
//     telemetry::burn_snapshot seen =
//         burn.finish(service_levels_of(manifest.objectives));
//
// A caller's retries under one key count as one request, from the first try to
// the first whole answer, since that is what the caller went through.
//
// Caveat: memory grows with the keys of the history; it is for files.

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

/// Objectives for a history without a manifest: for each kind of caller seen,
/// 99% whole and once, whatever the latency.
std::vector<telemetry::service_level_objective>
default_objectives(const std::set<caller_kind>& kinds);

/// Gathers what became of each key. Not thread safe.
class history_burn
{
public:
    /// Takes in one event. Events may come in any order.
    void add(const history::event& it);

    /// Kinds of caller seen so far.
    const std::set<caller_kind>& kinds() const { return kinds_; }

    /// The counts at the time of the last event. Keys without an outcome are
    /// `missing`.
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

    // One try of a key: its pieces, until it is answered.
    struct request_state
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
              const std::vector<const request_state*>& tries) const;

    std::set<caller_kind> kinds_;
    std::unordered_map<request_key, key_state> keys_;
    std::unordered_map<request_id, request_state> requests_;
    instant last_;
};

} // namespace fennelladder::report

#endif
