#include "fennelladder/mesh/peer_view.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace fennelladder::mesh {

namespace {

node_heartbeat without_details(const node_heartbeat& from)
{
    node_heartbeat out = from;
    out.load.clear();
    out.stock.clear();
    out.limits.clear();
    out.leaving.clear();
    out.crash_records.clear();
    out.introduced.clear();
    out.heard.clear();
    out.target_update.reset();
    out.evacuations.reset();
    return out;
}

} // namespace

peer_view::peer_view(host_id self, peer_view_options options)
    : self_(std::move(self)), options_(options)
{}

heartbeat_effect peer_view::on_heartbeat(const node_heartbeat& from,
                                         instant now)
{
    heartbeat_effect effect;
    if (from.host == self_)
        return effect;
    const auto known = rows_.find(from.host);
    if (known == rows_.end() ||
        known->second.last.incarnation != from.incarnation) {
        effect.new_node = true;
        effect.died = known != rows_.end() &&
                      known->second.last.state != node_state::leaving;
    } else {
        effect.late = from.sequence <= known->second.last.sequence;
        if (effect.late)
            return effect;
        effect.state_changed = known->second.last.state != from.state;
    }
    transit_delay transit;
    if (!effect.new_node)
        transit = known->second.transit;
    if (from.sent)
        effect.delay = transit.record(*from.sent, now);
    rows_[from.host] = {without_details(from), now, now, transit};
    hosts_[from.host] = {from.capacity, now};
    apply_recent_peers(from, now);
    std::erase(unanswered_, from.peer_address);
    return effect;
}

/// Updates `seen` from the peers that another node reports. A report too old
/// for that has no effect, and a new incarnation is accepted only from its own
/// heartbeat.
void peer_view::apply_recent_peers(const node_heartbeat& from, instant now)
{
    for (auto& [host, row] : rows_) {
        const auto it = std::ranges::find(from.heard, row.last.incarnation,
                                          &recent_peer::incarnation);
        if (it != from.heard.end())
            row.seen = std::max(row.seen, now - it->ago);
    }
}

std::vector<recent_peer> peer_view::recent_peers(instant now) const
{
    std::vector<const peer_record*> rows;
    rows.reserve(rows_.size());
    for (const auto& [host, row] : rows_)
        rows.push_back(&row);
    const auto n = static_cast<std::ptrdiff_t>(
        std::min(options_.max_recent_peers, rows.size()));
    std::ranges::partial_sort(rows, rows.begin() + n, std::greater<>(),
                              &peer_record::heard);
    std::vector<recent_peer> out;
    for (auto it = rows.begin(); it != rows.begin() + n; ++it)
        out.push_back({(*it)->last.incarnation, now - (*it)->heard});
    return out;
}

duration peer_view::silence_limit() const
{
    const double shortest =
        options_.failure_periods * to_seconds(options_.heartbeat_period);
    const double interval =
        to_seconds(period()) /
        (1 + static_cast<double>(options_.max_recent_peers));
    return from_seconds(std::max(shortest, options_.failure_gaps * interval));
}

void peer_view::add_addresses(const std::vector<std::string>& addresses)
{
    for (const std::string& it : addresses) {
        const bool known = std::ranges::any_of(rows_, [&](const auto& row) {
            return row.second.last.peer_address == it;
        });
        if (!known && std::ranges::find(unanswered_, it) == unanswered_.end())
            unanswered_.push_back(it);
    }
}

duration peer_view::period() const
{
    const double seconds_per_round =
        static_cast<double>(rows_.size()) / options_.max_heartbeat_rate;
    return std::max(options_.heartbeat_period, from_seconds(seconds_per_round));
}

/// Phase of the heartbeats to `other`, as a fraction of the period. Nodes that
/// start together discover each other at the same moment. Without a phase per
/// pair all heartbeats of a period would arrive at once, and the ages and peers
/// they report would be a period old before the next ones.
double peer_view::phase_of(const host_id& other) const
{
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t seed = hash64(self_.str());
    const auto step = hash64(other.str(), seed) % steps;
    return static_cast<double>(step) / steps;
}

std::vector<std::string> peer_view::due(instant now)
{
    std::vector<std::string> out;
    for (const auto& [host, row] : rows_) {
        const std::string& address = row.last.peer_address;
        const auto [known, is_first] = next_due_.try_emplace(address);
        if (now < known->second)
            continue;
        const double share = is_first ? phase_of(host) : 1;
        known->second = now + from_seconds(to_seconds(period()) * share);
        out.push_back(address);
    }
    if (unanswered_.empty())
        return out;
    instant& next = next_due_[""];
    if (now < next)
        return out;
    next = now + options_.heartbeat_period;
    const std::size_t n = 1 + unanswered_.size() / options_.probe_all_periods;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(unanswered_[next_unanswered_++ % unanswered_.size()]);
    return out;
}

std::string peer_view::address_of(const host_id& host) const
{
    const auto it = rows_.find(host);
    return it == rows_.end() ? std::string() : it->second.last.peer_address;
}

std::vector<std::string> peer_view::all_addresses() const
{
    std::vector<std::string> out = unanswered_;
    for (const auto& [host, row] : rows_)
        out.push_back(row.last.peer_address);
    return out;
}

bool peer_view::is_alive(const peer_record& row, instant now) const
{
    return now - row.seen < silence_limit();
}

std::vector<const peer_record*> peer_view::alive(instant now) const
{
    std::vector<const peer_record*> out;
    for (const auto& [host, row] : rows_)
        if (is_alive(row, now))
            out.push_back(&row);
    return out;
}

std::vector<host_id> peer_view::members(instant now) const
{
    std::vector<host_id> out{self_};
    for (const peer_record* it : alive(now))
        if (it->last.state != node_state::leaving)
            out.push_back(it->last.host);
    std::ranges::sort(out);
    return out;
}

/// The nodes that rank before this one, with their keys.
std::vector<std::pair<peer_view::rank_key, const peer_record*>>
peer_view::ranked_before(std::string_view salt, bool reached, double capacity,
                         instant now) const
{
    const auto live = alive(now);
    double largest = capacity;
    for (const peer_record* it : live)
        largest = std::max(largest, it->last.capacity);
    const std::uint64_t seed = hash64(salt);
    const auto key_of = [&](bool reaches, double host_capacity,
                            const host_id& host) {
        const bool large = is_large(host_capacity, largest);
        return rank_key(reaches, large, hash64(host.str(), seed));
    };
    const rank_key own_key = key_of(reached, capacity, self_);
    std::vector<std::pair<rank_key, const peer_record*>> out;
    for (const peer_record* it : live) {
        const node_heartbeat& other = it->last;
        const rank_key key =
            key_of(other.platform_reached, other.capacity, other.host);
        if (other.state == node_state::ready && key > own_key)
            out.emplace_back(key, it);
    }
    return out;
}

/// Capacities are settings of hosts, so nodes that know the same hosts agree on
/// which are large.
std::vector<host_id> peer_view::hosts_by_size(double capacity, bool large) const
{
    double largest = capacity;
    for (const auto& [host, it] : hosts_)
        largest = std::max(largest, it.capacity);
    std::vector<host_id> out;
    if (is_large(capacity, largest) == large)
        out.push_back(self_);
    for (const auto& [host, it] : hosts_)
        if (is_large(it.capacity, largest) == large)
            out.push_back(host);
    return out;
}

std::vector<host_id> peer_view::large_hosts(double capacity) const
{
    return hosts_by_size(capacity, true);
}

std::vector<host_id> peer_view::small_hosts(double capacity) const
{
    return hosts_by_size(capacity, false);
}

std::size_t peer_view::host_count() const
{
    return hosts_.size() + unanswered_.size() + 1;
}

std::vector<host_id> peer_view::large_members(double capacity,
                                              instant now) const
{
    std::vector<host_id> out = large_hosts(capacity);
    const auto live_members = members(now);
    std::erase_if(out, [&](const host_id& it) {
        return !std::ranges::binary_search(live_members, it);
    });
    return out;
}

std::size_t peer_view::rank(std::string_view salt, bool reached,
                            double capacity, instant now) const
{
    return ranked_before(salt, reached, capacity, now).size();
}

const peer_record* peer_view::leader(std::string_view salt, bool reached,
                                     double capacity, instant now) const
{
    const auto before = ranked_before(salt, reached, capacity, now);
    const auto first = std::ranges::max_element(before);
    return first == before.end() ? nullptr : first->second;
}

size_class peer_view::classify_size(double capacity, instant now) const
{
    const auto live = alive(now);
    std::vector<double> sizes{capacity};
    for (const peer_record* it : live)
        if (it->last.platform_reached)
            sizes.push_back(it->last.capacity);
    const double largest = *std::ranges::max_element(sizes);
    const auto large = std::ranges::count_if(
        sizes, [&](double it) { return is_large(it, largest); });
    return {is_large(capacity, largest),
            static_cast<double>(large) / static_cast<double>(live.size() + 1)};
}

std::vector<std::string> peer_view::introductions(std::size_t most, instant now)
{
    const auto live = alive(now);
    const std::size_t n = std::min(most, live.size());
    std::vector<std::string> out;
    out.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
        const peer_record* it = live[introduction_count_++ % live.size()];
        out.push_back(it->last.peer_address);
    }
    return out;
}

void peer_view::forget_old(instant now)
{
    std::erase_if(rows_, [&](const auto& it) {
        return now - it.second.seen > options_.forget_after;
    });
    std::erase_if(hosts_, [&](const auto& it) {
        return now - it.second.heard > options_.host_retention;
    });
    std::erase_if(next_due_, [&](const auto& it) {
        return now - it.second > options_.forget_after;
    });
}

} // namespace fennelladder::mesh
