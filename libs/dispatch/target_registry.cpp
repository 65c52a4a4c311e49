// Averages decay: an observation's weight is halved every average_half_life, so
// a target that gets no requests drifts back to "as predicted" and is tried
// again.

#include "fennelladder/dispatch/target_registry.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fennelladder::dispatch {

namespace {

/// Bounds of one slowness observation, so that a single outlier doesn't exclude
/// a target for long.
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 30;

/// Seconds. Shorter waits reflect the network rather than the target.
constexpr double min_wait = 0.005;

/// Weight of a request in the mean of the tokens that requests may use.
constexpr double mean_tokens_weight = 0.05;

/// Growth of recent work after which its epoch is moved.
constexpr double max_work_growth = 1e6;

} // namespace

std::string_view to_string(target_evidence value)
{
    switch (value) {
    case target_evidence::answered:
        return "answered";
    case target_evidence::failed:
        return "failed";
    case target_evidence::broke:
        return "broke";
    case target_evidence::silent:
        return "silent";
    case target_evidence::unreachable:
        return "unreachable";
    case target_evidence::full:
        return "full";
    case target_evidence::other_life:
        return "other_life";
    case target_evidence::nothing:
        return "nothing";
    }
    return "unknown";
}

std::string_view to_string(no_target_reason value)
{
    switch (value) {
    case no_target_reason::none_usable:
        return "no usable target";
    case no_target_reason::too_large:
        return "its targets' memory is too small";
    case no_target_reason::no_memory:
        return "its targets' memory is taken";
    case no_target_reason::other_version:
        return "no target of the version that began the stream";
    case no_target_reason::leaving:
        return "its targets leave";
    case no_target_reason::evacuated:
        return "its data centres are evacuated";
    case no_target_reason::cold:
        return "its targets are cold";
    case no_target_reason::unreached:
        return "nobody reaches its targets";
    case no_target_reason::backing_off:
        return "its targets asked for rest";
    case no_target_reason::limited:
        return "its targets take no more at present";
    case no_target_reason::no_room:
        return "its targets have no room";
    case no_target_reason::outside_regions:
        return "no target in the regions allowed";
    }
    return "unknown";
}

target_registry::target_registry(target_registry_options options)
    : options_(std::move(options)),
      assignments_(options_.self, options_.assignment), reach_(options_.reach)
{}

std::vector<catalog::target_entry>
target_registry::sync(const catalog::target_list::entry_map& listed,
                      bool list_in_doubt, instant now)
{
    std::vector<catalog::target_entry> replaced;
    for (auto& [id, state] : targets_) {
        if (listed.contains(id) || state.gone)
            continue;
        if (!list_in_doubt)
            state.gone = true;
        else if (!state.usable_until)
            state.usable_until = now + options_.lapsed_grace;
    }
    for (const auto& [id, entry] : listed)
        apply_entry(targets_[id], entry, now, replaced);
    std::erase_if(targets_, [&](const auto& it) {
        const target_state& state = it.second;
        return (state.gone || state.address_reused) &&
               state.own->requests == 0 && !state.signals.is_active(now) &&
               !listed.contains(it.first);
    });
    by_service_.clear();
    std::vector<listed_process> processes;
    for (auto& [id, state] : targets_) {
        if (state.gone && state.own->requests == 0)
            continue;
        by_service_[state.entry.service].push_back(&state);
        processes.push_back({state.process, state.entry.service});
    }
    reach_.set_targets(processes);
    forget_services();
    recount_peers();
    return replaced;
}

/// Removes services without targets.
void target_registry::forget_services()
{
    std::erase_if(services_, [&](const auto& service) {
        return std::ranges::none_of(targets_, [&](const auto& it) {
            return it.second.service == &service.second;
        });
    });
}

/// Resets the state learned at an address that the process has left.
void target_registry::forget_address(target_state& it)
{
    it.address_reused = false;
    it.consecutive_backoffs = 0;
    it.probe_running = false;
    it.backoff_until = instant();
    it.full_until = instant();
    it.failure_rate = {};
}

/// A later start resets the state: the averages, backoffs and counts of a
/// process that ended would exclude the next one, and its prompt parts would
/// attract requests to a target that doesn't hold them. An earlier start is
/// ignored, so that no state gets the ends of requests that it didn't count as
/// started.
void target_registry::apply_entry(target_state& it,
                                  const catalog::target_entry& entry,
                                  instant now,
                                  std::vector<catalog::target_entry>& replaced)
{
    const bool is_new = it.entry.id.empty();
    if (!is_new && entry.start < it.entry.start)
        return;
    const bool same_process = entry.start == it.entry.start;
    const bool moved = entry.address != it.entry.address;
    if (!is_new && (!same_process || moved))
        replaced.push_back(it.entry);
    // A repeated entry says nothing new about when its target is warm.
    const bool warm_up_changed =
        !same_process || entry.remaining_warm_up != it.entry.remaining_warm_up;
    if (!same_process)
        it = target_state();
    // Without start times, only a new address shows that another process has
    // the id.
    if (moved && !catalog::is_known(entry.start))
        it.signals = signal_state();
    if (warm_up_changed && entry.remaining_warm_up > duration(0))
        it.signals.extend_cold_until(now + entry.remaining_warm_up);
    if (moved)
        forget_address(it);
    it.entry = entry;
    it.process = entry.process();
    it.service =
        &services_
             .try_emplace(entry.service,
                          service_state{service_curve(options_.curve), 0})
             .first->second;
    it.gone = false;
    it.usable_until.reset();
}

/// Recomputes the peers' load of all targets from their latest reports, after
/// targets were added or removed.
void target_registry::recount_peers()
{
    for (auto& [id, state] : targets_) {
        state.peers_running = 0;
        state.peers_reading = 0;
        state.peers_max_tokens = 0;
        state.peers_unreported = 0;
    }
    for (const auto& [peer, load] : peer_loads_)
        add_peer(load, 1);
}

void target_registry::add_peer(const std::vector<target_load>& load, int sign)
{
    for (const target_load& it : load)
        if (target_state* state = find(it)) {
            state->peers_running += sign * static_cast<int>(it.running);
            state->peers_reading +=
                sign * static_cast<std::int64_t>(it.reading);
            state->peers_max_tokens +=
                sign * static_cast<std::int64_t>(it.max_tokens);
            if (it.max_tokens == 0)
                state->peers_unreported += sign * static_cast<int>(it.running);
        }
}

double target_registry::decayed(const decaying_average& of, instant now) const
{
    if (of.value == 0)
        return 0;
    const double halves =
        to_seconds(now - of.at) / to_seconds(options_.average_half_life);
    return of.value * std::exp2(-std::max(halves, 0.0));
}

void target_registry::observe(decaying_average& of, double value,
                              instant now) const
{
    const double old = decayed(of, now);
    of.value = old + options_.newest_weight * (value - old);
    of.at = now;
}

bool target_registry::is_gone(const target_state& it, instant now)
{
    const bool expired = it.usable_until && now >= *it.usable_until;
    return it.gone || it.address_reused || expired;
}

bool target_registry::is_leaving(const target_state& it)
{
    return it.entry.leaving || it.signals.leaving();
}

bool target_registry::is_evacuated(const target_state& it) const
{
    return std::ranges::binary_search(evacuated_, it.entry.data_center);
}

bool target_registry::usable(const target_state& it, instant now) const
{
    return !is_gone(it, now) && !is_leaving(it) && !is_evacuated(it);
}

std::size_t
target_registry::set_evacuated(std::vector<data_center_id> data_centers,
                               instant now)
{
    std::ranges::sort(data_centers);
    std::size_t ended = 0;
    for (auto& [id, state] : targets_) {
        const data_center_id& place = state.entry.data_center;
        const bool ends = std::ranges::binary_search(evacuated_, place) &&
                          !std::ranges::binary_search(data_centers, place);
        if (!ends)
            continue;
        ++ended;
        if (const cold_start_profile* profile = profile_of(state))
            state.signals.extend_cold_until(now + profile->warm_up);
    }
    evacuated_ = std::move(data_centers);
    return ended;
}

bool target_registry::is_backing_off(const target_state& it, instant now) const
{
    // Failures to connect from here say nothing about a relayed target.
    const bool failed_here = it.consecutive_backoffs > 0 && !is_relayed(it);
    const bool needs_probe = failed_here || it.probe_pending;
    return (now < it.backoff_until && !is_relayed(it)) || now < it.full_until ||
           (needs_probe && it.probe_running) || is_silent(it, now);
}

bool target_registry::is_relayed(const target_state& it) const
{
    return reach_.needs_relay(it.process);
}

bool target_registry::backoff_requested(const target_state& it, instant now)
{
    return it.signals.backoff_left(now) > duration(0);
}

/// Keeps the probe pending if the target's backoff still lasts: the answer is
/// then to a request sent before, and shows nothing about the time after.
void target_registry::end_probe(target_state& it, instant now)
{
    if (!backoff_requested(it, now))
        it.probe_pending = false;
}

/// Detects a host that disappears without closing its connections: requests
/// there that may not be retried wait for their deadlines, and until the first
/// of them ends nothing else shows that the target is gone, so it would get its
/// share of new ones for seconds. If it is alive again it answers, or its
/// connections are reset; both end the silence. Requests that were sent before
/// the target was lost to this node show nothing about it.
bool target_registry::is_silent(const target_state& it, instant now) const
{
    if (options_.max_silence <= duration(0) || it.own->awaiting_first_byte == 0)
        return false;
    const auto lost = reach_.lost_since(it.process);
    const instant since = std::max(it.silent_since, lost.value_or(instant()));
    return now - since > options_.max_silence;
}

void target_registry::mark_active(target_state& it, instant now)
{
    it.silent_since = std::max(it.silent_since, now);
}

/// Records that bytes came. Those of a relayed answer don't show that this node
/// reaches the target.
void target_registry::note_bytes(target_state& it, const choice& made,
                                 instant now)
{
    mark_active(it, now);
    if (!made.relayed)
        reach_.note_contact(it.process, now);
}

void target_registry::note_activity(const target_use& use, instant now)
{
    if (target_state* it = find(use.made()))
        note_bytes(*it, use.made(), now);
}

bool target_registry::may_use(const target_id& target, instant now) const
{
    const auto it = targets_.find(target);
    return it != targets_.end() && usable(it->second, now) &&
           !backoff_requested(it->second, now);
}

bool target_registry::may_use(const catalog::target_process& target,
                              instant now) const
{
    const auto it = targets_.find(target.id);
    return it != targets_.end() && it->second.process == target &&
           may_use(target.id, now);
}

bool target_registry::may_relay_to(const catalog::target_process& target,
                                   instant now) const
{
    const auto it = targets_.find(target.id);
    return it != targets_.end() && may_use(target, now) &&
           !cold_quota(it->second, now);
}

std::optional<catalog::target_entry>
target_registry::entry_of(const target_id& target) const
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return std::nullopt;
    return it->second.entry;
}

std::size_t target_registry::count(
    const service_id& service,
    const std::optional<catalog::software_version>& software) const
{
    const auto known = by_service_.find(service);
    if (known == by_service_.end())
        return 0;
    if (!software)
        return known->second.size();
    return static_cast<std::size_t>(
        std::ranges::count_if(known->second, [&](const target_state* it) {
            return it->entry.software == *software;
        }));
}

target_registry::target_state*
target_registry::find(const target_id& target, catalog::target_start start)
{
    const auto it = targets_.find(target);
    if (it == targets_.end() || it->second.entry.start != start)
        return nullptr;
    return &it->second;
}

target_registry::target_state*
target_registry::find(const catalog::target_process& target)
{
    return find(target.id, target.start);
}

target_registry::target_state* target_registry::find(const choice& made)
{
    target_state* it = find(made.target, made.start);
    return it != nullptr && it->entry.address == made.address ? it : nullptr;
}

/// A load without a start time is attributed to the known process.
target_registry::target_state* target_registry::find(const target_load& load)
{
    if (catalog::is_known(load.start))
        return find(load.target, load.start);
    const auto it = targets_.find(load.target);
    return it == targets_.end() ? nullptr : &it->second;
}

target_use target_registry::started(const choice& made,
                                    const routing_request& of, instant now)
{
    target_state* it = find(made);
    if (it == nullptr)
        return {made, nullptr};
    if (it->own->awaiting_first_byte == 0)
        mark_active(*it, now);
    note_work(*it, made, now);
    if (made.work.max_tokens > 0) {
        double& mean = it->service->mean_tokens;
        mean = mean == 0
                   ? made.work.max_tokens
                   : mean + mean_tokens_weight * (made.work.max_tokens - mean);
    }
    // A target that peers hear from didn't restart, so it isn't cold.
    if (made.relayed)
        it->consecutive_backoffs = 0;
    if (it->consecutive_backoffs > 0 || it->probe_pending)
        it->probe_running = true;
    if (cold_quota(*it, now) || limited_quota(*it, now))
        it->sends.note(now);
    for (const shared_part& part : of.prompt)
        it->parts[part.id] = now;
    trim_parts(*it, now);
    return {made, it->own};
}

/// By how much a second of work sent now counts more than one sent at the epoch
/// of recent work. All targets decay alike, so that choose() needs one factor.
double target_registry::work_growth(instant now) const
{
    return std::exp2(to_seconds(now - recent_work_epoch_) /
                     to_seconds(options_.recent_work_half_life));
}

void target_registry::note_work(target_state& it, const choice& made,
                                instant now)
{
    if (!made.teaches_curve)
        return;
    if (work_growth(now) > max_work_growth) {
        const double growth = work_growth(now);
        for (auto& [id, state] : targets_)
            state.recent_work /= growth;
        recent_work_epoch_ = now;
    }
    const service_curve& curve = it.curve ? *it.curve : it.service->curve;
    const double seconds = made.work.reading / curve.tokens_per_ms() / 1000;
    it.recent_work += seconds * work_growth(now);
}

/// Feeds the curves of the target and of its service.
void target_registry::learn(target_state& it, const choice& made,
                            duration waited, instant now)
{
    const load_point at{made.work.reading + made.work.ahead, made.running,
                        it.entry.slots};
    if (!it.curve)
        it.curve = service_curve::with_prior(it.service->curve, now);
    it.curve->observe(at, waited, now);
    it.service->curve.observe(at, waited, now);
}

void target_registry::trim_parts(target_state& it, instant now) const
{
    if (it.parts.size() <= options_.max_parts)
        return;
    std::erase_if(it.parts, [&](const auto& part) {
        return now - part.second > options_.part_retention;
    });
    if (it.parts.size() > options_.max_parts)
        it.parts.clear();
}

void target_registry::first_byte(target_use& use, duration waited, instant now)
{
    if (!use.end_waiting())
        return;
    const choice& made = use.made();
    target_state* it = find(made);
    if (it == nullptr)
        return;
    note_bytes(*it, made, now);
    end_probe(*it, now);
    if (made.teaches_curve) {
        learn(*it, made, waited, now);
        return;
    }
    const double predicted = std::max(to_seconds(made.predicted), min_wait);
    const double slowness =
        std::clamp(to_seconds(waited) / predicted, min_slowness, max_slowness);
    observe(it->log_slowness, std::log(slowness), now);
}

void target_registry::finished(target_use use, target_evidence evidence,
                               instant now)
{
    use.end();
    const choice& made = use.made();
    target_state* it = find(made);
    if (it == nullptr)
        return;
    const bool answered = evidence == target_evidence::answered ||
                          evidence == target_evidence::failed ||
                          evidence == target_evidence::full;
    if (answered)
        note_bytes(*it, made, now);
    note_evidence(made.process(), evidence, now);
}

void target_registry::back_off(target_state& it, duration first, instant now)
{
    duration length = first;
    for (int i = 0;
         i < it.consecutive_backoffs && length < options_.max_backoff; ++i)
        length *= 2;
    it.backoff_until = now + std::min(length, options_.max_backoff);
    ++it.consecutive_backoffs;
    it.probe_running = false;
}

void target_registry::note_reported_death(const catalog::target_process& target,
                                          instant died, instant now)
{
    const auto contact = reach_.last_contact(target);
    if (!contact || *contact <= died)
        note_evidence(target, target_evidence::unreachable, now);
}

void target_registry::note_evidence(const catalog::target_process& target,
                                    target_evidence evidence, instant now)
{
    target_state* it = find(target);
    if (it == nullptr)
        return;
    switch (evidence) {
    case target_evidence::answered:
        suspect_restart(*it, now);
        it->consecutive_backoffs = 0;
        it->probe_running = false;
        end_probe(*it, now);
        observe(it->failure_rate, 0, now);
        return;
    case target_evidence::failed:
        suspect_restart(*it, now);
        it->consecutive_backoffs = 0;
        it->probe_running = false;
        end_probe(*it, now);
        observe(it->failure_rate, 0.5, now);
        return;
    case target_evidence::broke:
    case target_evidence::silent:
        it->probe_running = false;
        observe(it->failure_rate, 1, now);
        return;
    case target_evidence::unreachable:
        observe(it->failure_rate, 1, now);
        // Several requests may fail at once; that counts as one backoff.
        if (now >= it->backoff_until)
            back_off(*it, options_.initial_backoff, now);
        return;
    case target_evidence::full:
        it->probe_running = false;
        it->full_until =
            std::max(it->full_until,
                     now + (is_brittle(*it, now) ? options_.brittle_backoff
                                                 : options_.full_backoff));
        return;
    case target_evidence::other_life:
        it->address_reused = true;
        return;
    case target_evidence::nothing:
        it->probe_running = false;
        return;
    }
}

void target_registry::set_peer_load(const host_id& peer,
                                    std::vector<target_load> load)
{
    if (!options_.counts_peer_load)
        return;
    forget_peer(peer);
    add_peer(load, 1);
    peer_loads_[peer] = std::move(load);
}

void target_registry::forget_peer(const host_id& peer)
{
    const auto known = peer_loads_.find(peer);
    if (known == peer_loads_.end())
        return;
    add_peer(known->second, -1);
    peer_loads_.erase(known);
}

std::vector<target_load> target_registry::own_load() const
{
    std::vector<target_load> out;
    for (const auto& [id, state] : targets_)
        if (state.own->requests > 0)
            out.push_back({id, static_cast<std::uint32_t>(state.own->requests),
                           static_cast<std::uint32_t>(std::min<std::int64_t>(
                               state.own->reading,
                               std::numeric_limits<std::uint32_t>::max())),
                           state.entry.start,
                           static_cast<std::uint64_t>(state.own->max_tokens)});
    return out;
}

} // namespace fennelladder::dispatch
