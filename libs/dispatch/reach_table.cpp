#include "fennelladder/dispatch/reach_table.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::dispatch {

namespace {

/// Whether something was last heard after `since`.
bool is_after(const std::optional<instant>& heard, instant since)
{
    return heard && *heard > since;
}

/// The last row with this key.
template <class Rows, class Key>
std::optional<instant> value_of(const Rows& rows, const Key& key)
{
    const auto it =
        std::find_if(rows.rbegin(), rows.rend(),
                     [&](const auto& row) { return row.first == key; });
    return it == rows.rend() ? std::nullopt : std::optional(it->second);
}

} // namespace

process_mark mark_of(const catalog::target_process& process)
{
    return static_cast<process_mark>(
        hash64(process.id.str(), process.start.value()));
}

void reach_table::set_targets(const std::vector<listed_process>& all)
{
    state_map next;
    std::unordered_map<process_mark, marked_target> marked;
    for (const listed_process& it : all) {
        const auto known = targets_.find(it.process);
        target_state& state = next[it.process];
        if (known != targets_.end())
            state = std::move(known->second);
        state.service = it.service;
        state.mark = mark_of(it.process);
        marked[state.mark] = {&services_[it.service],
                              heard_by_peers(state.mark)};
    }
    targets_ = std::move(next);
    marked_targets_ = std::move(marked);
    for (auto& [service, state] : services_)
        std::erase_if(state.failed,
                      [&](const auto& it) { return !targets_.contains(it); });
    lost_count_ = static_cast<std::size_t>(std::ranges::count_if(
        targets_, [](const auto& it) { return it.second.lost.has_value(); }));
}

void reach_table::forget_failures(const service_id& service)
{
    service_state& state = services_[service];
    state.failed.clear();
    state.first_failure.reset();
}

void reach_table::note_contact(const catalog::target_process& process,
                               instant now)
{
    const auto it = targets_.find(process);
    if (it == targets_.end())
        return;
    it->second.contact = now;
    // Without lost targets no failures are recorded.
    if (lost_count_ > 0)
        forget_failures(it->second.service);
}

void reach_table::note_connected(const catalog::target_process& process,
                                 instant now)
{
    const auto it = targets_.find(process);
    if (it == targets_.end())
        return;
    target_state& state = it->second;
    note_contact(process, now);
    if (!state.lost)
        return;
    // The others are likely to be reached again, too.
    next_probe_ = now;
    if (++state.successes < state.confirmations) {
        state.probed.reset();
        return;
    }
    state.lost.reset();
    state.found = now;
    assert(lost_count_ > 0);
    --lost_count_;
}

void reach_table::note_dial_failed(const catalog::target_process& process,
                                   instant started, instant now)
{
    const auto it = targets_.find(process);
    if (it == targets_.end())
        return;
    target_state& state = it->second;
    state.successes = 0;
    state.probed = now;
    if (!state.lost) {
        const bool relapsed =
            state.found && now - *state.found < options_.relapse_span;
        state.confirmations = relapsed ? std::min(state.confirmations + 1,
                                                  options_.max_confirmations)
                                       : 1;
        state.lost = started;
        ++lost_count_;
    }
    service_state& service = services_[state.service];
    if (service.failed.empty())
        service.first_failure = started;
    service.failed.insert(process);
}

void reach_table::note_unreachable_by_peer(
    const catalog::target_process& process, instant now)
{
    const auto it = targets_.find(process);
    if (it != targets_.end())
        it->second.unreachable_by_peer = now;
}

void reach_table::note_relay_failed(const host_id& peer, instant now)
{
    const auto it = peers_.find(peer);
    if (it != peers_.end())
        it->second.failed = now;
}

void reach_table::set_peer(const host_id& peer,
                           const std::vector<reached_target>& all, instant sent)
{
    peer_state& state = peers_[peer];
    state.reported = sent;
    state.heard.clear();
    state.heard_services.clear();
    state.heard.reserve(all.size());
    for (const reached_target& it : all) {
        const auto known = marked_targets_.find(it.mark);
        if (known == marked_targets_.end())
            continue;
        marked_target& target = known->second;
        const instant at = sent - it.ago;
        state.heard.emplace_back(it.mark, at);
        target.heard = std::max(target.heard.value_or(at), at);
        auto& of_all = target.service->heard_by_peers;
        of_all = std::max(of_all.value_or(at), at);
        const auto of_peer =
            std::ranges::find(state.heard_services, target.service,
                              &std::pair<const service_state*, instant>::first);
        if (of_peer == state.heard_services.end())
            state.heard_services.emplace_back(target.service, at);
        else
            of_peer->second = std::max(of_peer->second, at);
    }
}

void reach_table::forget_peer(const host_id& peer)
{
    peers_.erase(peer);
}

bool reach_table::may_relay(const peer_state& peer, instant now) const
{
    return now - peer.reported <= options_.peer_memory &&
           (!peer.failed || now - *peer.failed >= options_.relay_backoff);
}

std::optional<instant> reach_table::heard_by_peers(process_mark mark) const
{
    const auto it = marked_targets_.find(mark);
    return it == marked_targets_.end() ? std::nullopt : it->second.heard;
}

std::optional<instant>
reach_table::heard_by_peers(const catalog::target_process& process) const
{
    return heard_by_peers(mark_of(process));
}

bool reach_table::is_reported(const catalog::target_process& process) const
{
    const auto it = targets_.find(process);
    if (it == targets_.end())
        return false;
    const auto service = services_.find(it->second.service);
    return service != services_.end() &&
           service->second.heard_by_peers.has_value();
}

/// Whether connections to enough targets failed to suspect all of them.
bool reach_table::has_failed(const service_state& service) const
{
    return service.first_failure &&
           service.failed.size() >= options_.targets_of_cut;
}

bool reach_table::is_cut_off(const service_id& service) const
{
    const auto it = services_.find(service);
    return it != services_.end() && has_failed(it->second) &&
           is_after(it->second.heard_by_peers, *it->second.first_failure);
}

std::vector<service_id> reach_table::impaired_services() const
{
    std::vector<service_id> out;
    if (lost_count_ == 0)
        return out;
    struct counts
    {
        std::size_t all = 0;
        std::size_t relayed = 0;
    };
    std::map<service_id, counts> services;
    for (const auto& [process, state] : targets_) {
        counts& it = services[state.service];
        ++it.all;
        if (needs_relay(process))
            ++it.relayed;
    }
    for (const auto& [service, it] : services)
        if (it.relayed > 0 && 2 * it.relayed >= it.all)
            out.push_back(service);
    return out;
}

bool reach_table::needs_relay(const catalog::target_process& process) const
{
    if (lost_count_ == 0)
        return false;
    const auto it = targets_.find(process);
    if (it == targets_.end())
        return false;
    const target_state& state = it->second;
    const auto heard = heard_by_peers(state.mark);
    if (state.unreachable_by_peer &&
        !is_after(heard, *state.unreachable_by_peer))
        return false;
    return (state.lost && is_after(heard, *state.lost)) ||
           is_cut_off(state.service);
}

bool reach_table::is_unreached(const catalog::target_process& process) const
{
    if (lost_count_ == 0)
        return false;
    const auto it = targets_.find(process);
    return it != targets_.end() && it->second.lost &&
           !is_after(it->second.contact, *it->second.lost) &&
           !needs_relay(process);
}

std::optional<instant>
reach_table::last_contact(const catalog::target_process& process) const
{
    const auto it = targets_.find(process);
    return it == targets_.end() ? std::nullopt : it->second.contact;
}

std::optional<instant>
reach_table::lost_since(const catalog::target_process& process) const
{
    if (lost_count_ == 0)
        return std::nullopt;
    const auto it = targets_.find(process);
    if (it == targets_.end())
        return std::nullopt;
    if (it->second.lost)
        return it->second.lost;
    const auto service = services_.find(it->second.service);
    if (service == services_.end() || !has_failed(service->second))
        return std::nullopt;
    return service->second.first_failure;
}

bool reach_table::may_use_open(const catalog::target_process& process) const
{
    const auto lost = lost_since(process);
    return !lost || is_after(targets_.at(process).contact, *lost);
}

std::vector<host_id> reach_table::relays(const catalog::target_process& process,
                                         instant now) const
{
    std::vector<host_id> of_target;
    std::vector<host_id> of_service;
    const auto lost = lost_since(process);
    if (!lost)
        return of_target;
    const target_state& target = targets_.at(process);
    const service_state* service = &services_.at(target.service);
    for (const auto& [host, peer] : peers_) {
        if (!may_relay(peer, now))
            continue;
        if (is_after(value_of(peer.heard, target.mark), *lost))
            of_target.push_back(host);
        // Its first report after the loss may still be under way.
        if (is_after(value_of(peer.heard_services, service),
                     *lost - options_.report_span))
            of_service.push_back(host);
    }
    return of_target.empty() ? of_service : of_target;
}

std::optional<catalog::target_process> reach_table::next_probe(instant now)
{
    if (lost_count_ == 0 || now < next_probe_)
        return std::nullopt;
    const auto probe_time = [](const target_state& it) {
        return it.probed.value_or(instant());
    };
    state_map::value_type* next = nullptr;
    for (auto& it : targets_) {
        const bool relayed = it.second.lost || is_cut_off(it.second.service);
        if (relayed && (next == nullptr ||
                        probe_time(it.second) < probe_time(next->second)))
            next = &it;
    }
    assert(next != nullptr);
    next_probe_ = now + options_.probe_interval;
    next->second.probed = now;
    return next->first;
}

std::vector<reached_target> reach_table::own_report(std::size_t most,
                                                    instant now) const
{
    std::vector<reached_target> out;
    for (const auto& [process, state] : targets_)
        if (state.contact && now - *state.contact <= options_.report_span)
            out.push_back({state.mark, now - *state.contact});
    std::ranges::sort(out, {}, &reached_target::ago);
    if (out.size() > most)
        out.resize(most);
    return out;
}

} // namespace fennelladder::dispatch
