// The part of target_registry that applies the signals of targets, from their
// answers and from peers, and reports them to peers.

#include "fennelladder/dispatch/target_registry.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::dispatch {

signal_changes
target_registry::note_signals(const catalog::target_process& target,
                              const catalog::target_signals& signals,
                              instant now)
{
    target_state* it = find(target);
    if (it == nullptr)
        return {};
    it->probe_pending |= signals.backoff.has_value();
    if (signals.max_rejections)
        brittle_services_[it->entry.service] = now;
    return it->signals.apply(signals, now);
}

std::vector<limit_signal>
target_registry::signals_for_peers(signal_for_peers which, instant now) const
{
    std::vector<limit_signal> out;
    for (const auto& [id, state] : targets_)
        if (const auto signal = (state.signals.*which)(now))
            out.push_back({id, state.entry.start, signal->rate, signal->ago});
    return out;
}

std::vector<limit_signal> target_registry::own_limits(instant now) const
{
    return signals_for_peers(&signal_state::limit_for_peers, now);
}

std::vector<limit_signal>
target_registry::merge_peer_limits(const std::vector<limit_signal>& signals,
                                   instant at)
{
    std::vector<limit_signal> out;
    for (const limit_signal& signal : signals) {
        target_state* it =
            find(catalog::target_process{signal.target, signal.start});
        if (it != nullptr &&
            it->signals.apply_peer_limit(signal.rate, at - signal.ago))
            out.push_back(signal);
    }
    return out;
}

std::vector<limit_signal> target_registry::own_brittle(instant now) const
{
    return signals_for_peers(&signal_state::brittle_for_peers, now);
}

std::vector<limit_signal>
target_registry::merge_peer_brittle(const std::vector<limit_signal>& signals,
                                    instant at)
{
    std::vector<limit_signal> out;
    for (const limit_signal& signal : signals) {
        target_state* it =
            find(catalog::target_process{signal.target, signal.start});
        if (it == nullptr)
            continue;
        const instant heard = at - signal.ago;
        if (it->signals.apply_peer_brittle(signal.rate, heard))
            out.push_back(signal);
        if (signal.rate) {
            instant& last = brittle_services_[it->entry.service];
            last = std::max(last, heard);
        }
    }
    return out;
}

std::vector<catalog::target_process>
target_registry::own_leaving(std::size_t most, instant now) const
{
    std::vector<std::pair<duration, catalog::target_process>> reported;
    for (const auto& [id, state] : targets_) {
        const auto ago = state.signals.leaving_for_peers(now);
        if (ago && !state.entry.leaving)
            reported.emplace_back(*ago, state.entry.process());
    }
    std::ranges::sort(reported);
    std::vector<catalog::target_process> out;
    for (const auto& [ago, process] : reported)
        if (out.size() < most)
            out.push_back(process);
    return out;
}

std::vector<catalog::target_process> target_registry::merge_peer_leaving(
    const std::vector<catalog::target_process>& targets, instant now)
{
    std::vector<catalog::target_process> out;
    for (const catalog::target_process& each : targets) {
        target_state* it = find(each);
        if (it != nullptr && it->signals.apply_peer_leaving(now))
            out.push_back(each);
    }
    return out;
}

} // namespace fennelladder::dispatch
