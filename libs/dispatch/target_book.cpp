// Averages fade: an observation's weight is halved every forget_half, so a
// target that gets no requests drifts back to "as predicted" and is tried
// again.

#include "fennelladder/dispatch/target_book.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::dispatch {

namespace {

/// Bounds of one slowness observation; a single odd wait must not condemn a
/// target for long.
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 30;

/// Waits shorter than this say more of the network than of the target.
constexpr double shortest_wait = 0.005;

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

std::string_view to_string(absence value)
{
    switch (value) {
    case absence::none_usable:
        return "no usable target";
    case absence::leaving:
        return "its targets leave";
    case absence::evacuated:
        return "its data centres are evacuated";
    case absence::cold:
        return "its targets are cold";
    case absence::resting:
        return "its targets asked for rest";
    case absence::limited:
        return "its targets take no more at present";
    case absence::outside:
        return "no target in the regions allowed";
    }
    return "unknown";
}

target_book::target_book(target_book_options options)
    : options_(std::move(options)), carriers_(options_.self, options_.carriers)
{}

std::vector<catalog::target_entry>
target_book::sync(const catalog::target_list::entry_map& listed,
                  bool list_in_doubt, instant now)
{
    std::vector<catalog::target_entry> replaced;
    for (auto& [id, state] : targets_) {
        if (listed.contains(id) || state.gone)
            continue;
        if (!list_in_doubt)
            state.gone = true;
        else if (!state.use_until)
            state.use_until = now + options_.lapsed_grace;
    }
    for (const auto& [id, entry] : listed)
        take_entry(targets_[id], entry, now, replaced);
    std::erase_if(targets_, [&](const auto& it) {
        const target_state& state = it.second;
        return (state.gone || state.other_life) && state.running == 0 &&
               !state.said.holds(now) && !listed.contains(it.first);
    });
    by_service_.clear();
    for (const auto& [id, state] : targets_)
        if (!state.gone || state.running > 0)
            by_service_[state.entry.service].push_back(id);
    recount_peers();
    return replaced;
}

/// What was learned by an address that the process has left.
void target_book::forget_address(target_state& it)
{
    it.other_life = false;
    it.rests = 0;
    it.trying = false;
    it.rest_until = instant();
    it.failures = {};
}

/// A later start empties the row: kept, the averages, rests and counts of a
/// process that is over would shun the next one, and the prompt's parts would
/// send requests to where nothing is held. An earlier start is passed over, so
/// that no row gets the ends of requests that it didn't count as started.
void target_book::take_entry(target_state& it,
                             const catalog::target_entry& entry, instant now,
                             std::vector<catalog::target_entry>& replaced)
{
    const bool fresh = it.entry.id.empty();
    if (!fresh && entry.start < it.entry.start)
        return;
    const bool same_process = entry.start == it.entry.start;
    const bool moved = entry.address != it.entry.address;
    if (!fresh && (!same_process || moved))
        replaced.push_back(it.entry);
    // An entry that comes again says nothing new of when its target is warm.
    const bool cold_anew =
        !same_process || entry.remaining_warm_up != it.entry.remaining_warm_up;
    if (!same_process)
        it = target_state();
    // Without starts, only a move shows that another process has the id.
    if (moved && !catalog::is_known(entry.start))
        it.said = signal_state();
    if (cold_anew && entry.remaining_warm_up > duration(0))
        it.said.cool_until(now + entry.remaining_warm_up);
    if (moved)
        forget_address(it);
    it.entry = entry;
    it.gone = false;
    it.use_until.reset();
}

/// Targets came and went: counts are taken from what peers said last.
void target_book::recount_peers()
{
    for (auto& [id, state] : targets_) {
        state.peers_running = 0;
        state.peers_reading = 0;
    }
    for (const auto& [peer, load] : peer_loads_)
        add_peer(load, 1);
}

void target_book::add_peer(const std::vector<target_load>& load, int sign)
{
    for (const target_load& it : load)
        if (target_state* state = find(it)) {
            state->peers_running += sign * static_cast<int>(it.running);
            state->peers_reading +=
                sign * static_cast<std::int64_t>(it.reading);
        }
}

double target_book::faded(const fading_average& of, instant now) const
{
    const double halves =
        to_seconds(now - of.at) / to_seconds(options_.forget_half);
    return of.value * std::exp2(-std::max(halves, 0.0));
}

void target_book::observe(fading_average& of, double value, instant now) const
{
    const double old = faded(of, now);
    of.value = old + options_.newest_weight * (value - old);
    of.at = now;
}

bool target_book::is_gone(const target_state& it, instant now)
{
    const bool lapsed = it.use_until && now >= *it.use_until;
    return it.gone || it.other_life || lapsed;
}

bool target_book::is_leaving(const target_state& it)
{
    return it.entry.leaving || it.said.leaving();
}

bool target_book::is_evacuated(const target_state& it) const
{
    return std::ranges::binary_search(evacuated_, it.entry.data_center);
}

bool target_book::usable(const target_state& it, instant now) const
{
    return !is_gone(it, now) && !is_leaving(it) && !is_evacuated(it);
}

std::size_t target_book::set_evacuated(std::vector<data_center_id> data_centers,
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
        if (const cold_traits* traits = traits_of(state))
            state.said.cool_until(now + traits->lasts);
    }
    evacuated_ = std::move(data_centers);
    return ended;
}

bool target_book::resting(const target_state& it, instant now) const
{
    const bool one_at_a_time = it.rests > 0 || it.on_trial;
    return now < it.rest_until || (one_at_a_time && it.trying) ||
           is_quiet(it, now);
}

bool target_book::asked_for_rest(const target_state& it, instant now)
{
    return it.said.rest_left(now) > duration(0);
}

/// An answer to a request that was under way as the target asked for rest says
/// nothing of the time after.
void target_book::end_trial(target_state& it, instant now)
{
    if (!asked_for_rest(it, now))
        it.on_trial = false;
}

/// Guards against a host that goes dark: its requests may not be sent again
/// and therefore wait for their deadlines, and until the first of them ends
/// nothing else says that the target is gone, so that it would get its share
/// of new ones for seconds. One that lives again answers, or its connections
/// are reset; both end the quiet.
bool target_book::is_quiet(const target_state& it, instant now) const
{
    return options_.longest_quiet > duration(0) && it.unread > 0 &&
           now - it.quiet_since > options_.longest_quiet;
}

void target_book::hear(target_state& it, instant now)
{
    it.quiet_since = std::max(it.quiet_since, now);
}

void target_book::heard(const catalog::target_process& target, instant now)
{
    if (target_state* it = find(target))
        hear(*it, now);
}

bool target_book::may_use(const target_id& target, instant now) const
{
    const auto it = targets_.find(target);
    return it != targets_.end() && usable(it->second, now) &&
           !asked_for_rest(it->second, now);
}

std::optional<catalog::target_entry>
target_book::entry_of(const target_id& target) const
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return std::nullopt;
    return it->second.entry;
}

std::size_t target_book::count(const service_id& service) const
{
    const auto it = by_service_.find(service);
    return it == by_service_.end() ? 0 : it->second.size();
}

target_book::target_state*
target_book::find(const catalog::target_process& target)
{
    const auto it = targets_.find(target.id);
    if (it == targets_.end() || it->second.entry.start != target.start)
        return nullptr;
    return &it->second;
}

/// A load without a start is of whichever process is known.
target_book::target_state* target_book::find(const target_load& load)
{
    if (catalog::is_known(load.start))
        return find(catalog::target_process{load.target, load.start});
    const auto it = targets_.find(load.target);
    return it == targets_.end() ? nullptr : &it->second;
}

void target_book::started(const choice& made, const work_wish& of, instant now)
{
    target_state* it = find(made.process());
    if (it == nullptr)
        return;
    ++it->running;
    if (it->unread++ == 0)
        hear(*it, now);
    it->reading += made.work.reading;
    if (it->rests > 0 || it->on_trial)
        it->trying = true;
    if (cold_share(*it, now) || limited_share(*it, now))
        it->sends.note(now);
    for (const shared_part& part : of.prompt)
        it->parts[part.id] = now;
    forget_parts(*it, now);
}

void target_book::forget_parts(target_state& it, instant now) const
{
    if (it.parts.size() <= options_.most_parts)
        return;
    std::erase_if(it.parts, [&](const auto& part) {
        return now - part.second > options_.part_memory;
    });
    if (it.parts.size() > options_.most_parts)
        it.parts.clear();
}

void target_book::first_byte(const choice& made, duration waited, instant now)
{
    target_state* it = find(made.process());
    if (it == nullptr)
        return;
    it->reading -= made.work.reading;
    --it->unread;
    hear(*it, now);
    end_trial(*it, now);
    const double predicted =
        std::max(to_seconds(made.predicted), shortest_wait);
    const double slowness = std::clamp(to_seconds(waited) / predicted,
                                       least_slowness, most_slowness);
    observe(it->log_slowness, std::log(slowness), now);
}

void target_book::finished(const choice& made, bool read,
                           target_evidence evidence, instant now)
{
    target_state* it = find(made.process());
    if (it == nullptr)
        return;
    assert(it->running > 0);
    --it->running;
    if (!read) {
        it->reading -= made.work.reading;
        --it->unread;
    }
    const bool spoke = evidence == target_evidence::answered ||
                       evidence == target_evidence::failed ||
                       evidence == target_evidence::full;
    if (spoke)
        hear(*it, now);
    learned(made.process(), evidence, now);
}

void target_book::rest(target_state& it, duration first, instant now)
{
    duration length = first;
    for (int i = 0; i < it.rests && length < options_.longest_rest; ++i)
        length *= 2;
    it.rest_until = now + std::min(length, options_.longest_rest);
    ++it.rests;
    it.trying = false;
}

void target_book::learned(const catalog::target_process& target,
                          target_evidence evidence, instant now)
{
    target_state* it = find(target);
    if (it == nullptr)
        return;
    switch (evidence) {
    case target_evidence::answered:
        suspect_start(*it, now);
        it->rests = 0;
        it->trying = false;
        end_trial(*it, now);
        observe(it->failures, 0, now);
        return;
    case target_evidence::failed:
        suspect_start(*it, now);
        it->rests = 0;
        it->trying = false;
        end_trial(*it, now);
        observe(it->failures, 0.5, now);
        return;
    case target_evidence::broke:
    case target_evidence::silent:
        it->trying = false;
        observe(it->failures, 1, now);
        return;
    case target_evidence::unreachable:
        observe(it->failures, 1, now);
        // Several requests may fail at once; that is one rest.
        if (now >= it->rest_until)
            rest(*it, options_.first_rest, now);
        return;
    case target_evidence::full:
        it->trying = false;
        it->rest_until = std::max(it->rest_until, now + options_.full_rest);
        return;
    case target_evidence::other_life:
        it->other_life = true;
        return;
    case target_evidence::nothing:
        it->trying = false;
        return;
    }
}

void target_book::peer_load(const host_id& peer, std::vector<target_load> load)
{
    if (!options_.counts_peers)
        return;
    forget_peer(peer);
    add_peer(load, 1);
    peer_loads_[peer] = std::move(load);
}

void target_book::forget_peer(const host_id& peer)
{
    const auto known = peer_loads_.find(peer);
    if (known == peer_loads_.end())
        return;
    add_peer(known->second, -1);
    peer_loads_.erase(known);
}

std::vector<target_load> target_book::own_load() const
{
    std::vector<target_load> out;
    for (const auto& [id, state] : targets_)
        if (state.running > 0)
            out.push_back({id, static_cast<std::uint32_t>(state.running),
                           static_cast<std::uint32_t>(
                               std::max<std::int64_t>(state.reading, 0)),
                           state.entry.start});
    return out;
}

} // namespace fennelladder::dispatch
