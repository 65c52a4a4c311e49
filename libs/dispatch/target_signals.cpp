// The part of target_registry that takes what targets say of themselves, from
// their answers and from peers, and tells it to peers.

#include "fennelladder/dispatch/target_registry.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::dispatch {

signal_changes
target_registry::note_signals(const catalog::target_process& target,
                              const catalog::target_signals& said, instant now)
{
    target_state* it = find(target);
    if (it == nullptr)
        return {};
    it->probe_pending |= said.rest.has_value();
    return it->signals.apply(said, now);
}

std::vector<limit_signal> target_registry::own_limits(instant now) const
{
    std::vector<limit_signal> out;
    for (const auto& [id, state] : targets_)
        if (const auto word = state.signals.limit_for_peers(now))
            out.push_back({id, state.entry.start, word->rate, word->ago});
    return out;
}

std::vector<limit_signal>
target_registry::merge_peer_limits(const std::vector<limit_signal>& words,
                                   instant at)
{
    std::vector<limit_signal> out;
    for (const limit_signal& word : words) {
        target_state* it =
            find(catalog::target_process{word.target, word.start});
        if (it != nullptr &&
            it->signals.apply_peer_limit(word.rate, at - word.ago))
            out.push_back(word);
    }
    return out;
}

std::vector<catalog::target_process>
target_registry::own_leaving(std::size_t most, instant now) const
{
    std::vector<std::pair<duration, catalog::target_process>> told;
    for (const auto& [id, state] : targets_) {
        const auto ago = state.signals.leaving_for_peers(now);
        if (ago && !state.entry.leaving)
            told.emplace_back(*ago, state.entry.process());
    }
    std::ranges::sort(told);
    std::vector<catalog::target_process> out;
    for (const auto& [ago, process] : told)
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
