// Probes and messages of member_table.
//
// Whom to probe: members are laid on a ring by the hash of their names, and a
// node probes those at distance 1, 2, 4, 8 ... from itself, once in the ring
// of its data center and once in that of the fleet, in turn. So a node talks
// to O(log n) others over connections that last, each member is probed by as
// many, and the graph is an expander: news needs O(log n) steps. Probing
// random members (SWIM) gives the same rates but touches every other node.
//
// Every second probe goes to the next member of the ring of the data center
// (of the fleet, where there is no other), so that each member has one that
// looks after it at short and bounded intervals; the others are spread over
// the rest.
//
// Every eighth probe goes to a host that the host list has and the table
// doesn't, that is dead, or that didn't answer last time: so that halves of a
// partition find each other again, whoever noticed the end of it.
//
// Cost a period: one probe sent, one received on average; an expiry pass over
// the rows, which are a few hundred.

#include "fennelladder/membership/member_table.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <functional>
#include <utility>

namespace fennelladder::membership {

namespace {

constexpr std::size_t max_probes = 8;
constexpr std::size_t max_queue = 64;
constexpr std::size_t join_messages = 3;
constexpr std::size_t backlog_factor = 3;
constexpr std::size_t steady_page_limit = 12;
constexpr std::uint64_t successor_turn = 2;
constexpr std::uint64_t lost_host_turn = 8;
constexpr duration sample_memory = seconds(20);
constexpr std::size_t sample_walk = 64;
constexpr duration sequence_step = milliseconds(100);

} // namespace

std::vector<outgoing> member_table::tick(instant now)
{
    note_start(now);
    if (!ticked_) {
        ticked_ = true;
        last_tick_ = now;
        refilled_at_ = now;
        urgent_allowance_ = options_.urgent_rate;
        next_probe_ = now + from_seconds(random_.unit() *
                                         to_seconds(options_.probe_period));
        page_cursor_ = host_id();
        join(now);
    }
    forget_own_pause(now);
    check_probes(now);
    if (now >= next_probe_) {
        next_probe_ = std::max(next_probe_ + options_.probe_period,
                               now + options_.probe_period / 2);
        expire(now);
        start_probe(now);
    }
    send_news(now);
    return std::exchange(queue_, {});
}

void member_table::note_start(instant now)
{
    if (!started_)
        started_ = now;
}

// A new node asks a few hosts at once, so that one that is down doesn't hold
// it up for a period.
void member_table::join(instant now)
{
    for (std::size_t n = 0; n < join_messages; ++n) {
        if (const auto host = some_lost_host()) {
            heartbeat message;
            message.page_after = page_cursor_;
            message.page_limit =
                static_cast<std::uint32_t>(options_.page_limit);
            send(*host, std::move(message), now);
        } else {
            send_to_seed(now);
        }
    }
}

void member_table::send_to_seed(instant now)
{
    if (seeds_.empty())
        return;
    outgoing out;
    out.peer_address = seeds_[random_.below(seeds_.size())];
    out.message.gossip = make_gossip(host_id(), true, now);
    out.message.describe = true;
    queue_.push_back(std::move(out));
}

void member_table::start_probe(instant now)
{
    const host_id target = next_probe_target();
    if (target.empty()) {
        send_to_seed(now);
        return;
    }
    heartbeat message;
    if (page_cursor_) {
        message.page_after = page_cursor_;
        message.page_limit = static_cast<std::uint32_t>(
            synced_ ? steady_page_limit : options_.page_limit);
    }
    ++counters_.probes;
    if (probes_.size() < max_probes)
        probes_.push_back({target, find(target)->version, now, false, {}});
    send(target, std::move(message), now);
}

host_id member_table::next_probe_target()
{
    ++probe_count_;
    if (fingers_stale_)
        rebuild_fingers();
    if (probe_count_ % successor_turn == 0 && !successor_.empty())
        return successor_;
    if (probe_count_ % lost_host_turn == 1 || fingers_.empty()) {
        if (const auto host = some_lost_host())
            return *host;
    }
    if (!questions_.empty()) {
        host_id host = std::move(questions_.front());
        questions_.pop_front();
        if (find(host) != nullptr)
            return host;
    }
    if (fingers_.empty())
        return {};
    finger_ = (finger_ + 1) % fingers_.size();
    return fingers_[finger_];
}

std::optional<host_id> member_table::some_lost_host()
{
    std::vector<const member*> lost;
    for (const auto& [host, row] : members_) {
        const bool left =
            row.version > 0 && row.state == member_state::gone && !row.listed;
        if (!left && (!row.up() || !row.reachable))
            lost.push_back(&row);
    }
    if (lost.empty())
        return std::nullopt;
    return lost[random_.below(lost.size())]->host;
}

void member_table::rebuild_fingers()
{
    struct place
    {
        std::uint64_t hash;
        const member* row;
        auto operator<=>(const place&) const = default;
    };
    fingers_stale_ = false;
    fingers_.clear();
    successor_ = host_id();
    finger_ = 0;
    const std::uint64_t own = hash64(self_.host.str());
    const auto add_ring = [&](bool everywhere) {
        std::vector<place> ring;
        for (const auto& [host, row] : members_) {
            const bool near =
                row.description.data_center == self_.description.data_center;
            if (row.up() && (everywhere || near))
                ring.push_back({hash64(host.str()) - own, &row});
        }
        // Hashes are counted from our own, so index 0 is the next member.
        std::ranges::sort(ring);
        for (std::size_t step = 1; step <= ring.size(); step *= 2) {
            const host_id& host = ring[step - 1].row->host;
            if (std::ranges::find(fingers_, host) == fingers_.end())
                fingers_.push_back(host);
        }
    };
    add_ring(false);
    add_ring(true);
    if (!fingers_.empty())
        successor_ = fingers_.front();
    for (std::size_t n = fingers_.size(); n > 1; --n)
        std::swap(fingers_[n - 1], fingers_[random_.below(n)]);
}

std::vector<host_id> member_table::some_members(std::size_t limit,
                                                const host_id& except)
{
    if (fingers_stale_)
        rebuild_fingers();
    std::vector<host_id> out;
    for (const host_id& it : fingers_) {
        const member* row = find(it);
        if (it != except && row != nullptr && row->up() && row->reachable &&
            row->health == member_health::alive)
            out.push_back(it);
    }
    for (std::size_t n = out.size(); n > 1; --n)
        std::swap(out[n - 1], out[random_.below(n)]);
    out.resize(std::min(limit, out.size()));
    return out;
}

// Failures of probes.

void member_table::send_failed(const host_id& host, instant now)
{
    const auto it = std::ranges::find(probes_, host, &probe::host);
    if (it == probes_.end())
        question(host);
    else if (!it->indirect)
        ask_helpers(*it, now);
}

void member_table::check_probes(instant now)
{
    for (std::size_t n = 0; n < probes_.size();) {
        probe& it = probes_[n];
        if (!it.indirect && now - it.sent >= options_.probe_timeout)
            ask_helpers(it, now);
        const bool over =
            it.indirect && now - it.asked_helpers >= options_.indirect_timeout;
        if (!over) {
            ++n;
            continue;
        }
        const probe failed = it;
        probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(n));
        give_up(failed, now);
    }
}

// Guards against a partition between just the two of us, in one direction or
// both: the probe stays unanswered though the member is well. Nodes that
// reach both of us find out.
void member_table::ask_helpers(probe& it, instant now)
{
    it.indirect = true;
    it.asked_helpers = now;
    const member* row = find(it.host);
    if (row == nullptr || !row->up())
        return;
    for (const host_id& helper : some_members(options_.helpers, it.host)) {
        heartbeat message;
        message.relay_target = it.host;
        send(helper, std::move(message), now);
    }
}

void member_table::give_up(const probe& it, instant now)
{
    member* row = find(it.host);
    if (row == nullptr)
        return;
    // It sent us something since: alive, and only our way to it is cut.
    const bool heard = row->heard_at >= it.sent;
    if (row->reachable) {
        row->reachable = heard;
        ++revision_;
    }
    // A new version since then: the probe went to a life that has ended, and
    // its silence says nothing of the present one.
    if (!row->up() || heard || row->version != it.version)
        return;
    ++counters_.probe_failures;
    // Nobody answered us, not even the helpers: it's our own link, or the
    // whole fleet, and in both cases saying so of one member helps nobody.
    const bool isolated = last_answer_ < it.sent;
    if (isolated || row->health != member_health::alive)
        return;
    ++counters_.suspicions;
    suspect(*row, now);
    spread(it.host, false);
    send(it.host, {}, now);
}

// Sending.

const std::string& member_table::address_of(const member& row) const
{
    const bool own_word = row.up() && row.described;
    if (own_word || row.listed_address.empty())
        return row.description.peer_address;
    return row.listed_address;
}

void member_table::send(const host_id& to, heartbeat message, instant now)
{
    member* row = find(to);
    if (row == nullptr || queue_.size() >= max_queue)
        return;
    outgoing out;
    out.host = to;
    out.peer_address = address_of(*row);
    if (out.peer_address.empty())
        return;
    message.gossip = make_gossip(to, !row->knows_us, now);
    message.describe = !row->described;
    row->knows_us = true;
    out.message = std::move(message);
    queue_.push_back(std::move(out));
}

bool member_table::spend_allowance(double messages)
{
    if (urgent_allowance_ < messages)
        return false;
    urgent_allowance_ -= messages;
    return true;
}

void member_table::send_news(instant now)
{
    const double grown = to_seconds(now - refilled_at_) * options_.urgent_rate;
    refilled_at_ = now;
    urgent_allowance_ =
        std::min(urgent_allowance_ + grown, options_.urgent_rate);
    const auto fanout = static_cast<double>(options_.urgent_fanout);
    if (!news_ || !spend_allowance(fanout))
        return;
    news_ = false;
    for (const host_id& it : some_members(options_.urgent_fanout, host_id())) {
        ++counters_.urgent_messages;
        send(it, {}, now);
    }
}

void member_table::spread(const host_id& host, bool describe)
{
    news_ = true;
    agreements_ = 0;
    const auto it = std::ranges::find(rumors_, host, &rumor::host);
    if (it == rumors_.end()) {
        rumors_.push_back({host, 0, describe});
        return;
    }
    it->sent = 0;
    it->describe = it->describe || describe;
}

// Often enough that everyone hears of it with near certainty: the usual
// multiple of log n of epidemic protocols.
std::uint32_t member_table::transmissions() const
{
    constexpr std::uint32_t multiple = 2;
    return multiple *
           static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

gossip member_table::make_gossip(const host_id& to, bool describe, instant now)
{
    gossip out;
    out.sender = update_of(self_, describe);
    out.sample = self_.sample;
    out.sample.sequence =
        static_cast<std::uint64_t>((now - *started_) / sequence_step) + 1;
    out.highest_generation = highest_;
    out.digest = digest();
    out.extension = self_.extension;
    add_updates(out, to);
    add_samples(out, to, now);
    return out;
}

member_update member_table::update_of(const member& row, bool describe) const
{
    member_update out;
    out.host = row.host;
    out.version = row.version;
    out.state = row.state;
    out.health = row.health;
    out.life_tag = row.life_tag;
    if (describe && row.described)
        out.description = row.description;
    return out;
}

void member_table::add_updates(gossip& out, const host_id& to)
{
    // Whoever is doubted hears it from everyone it talks to.
    const member* row = find(to);
    if (row != nullptr && row->version > 0 &&
        row->health != member_health::alive)
        out.updates.push_back(update_of(*row, false));
    // With a backlog (many nodes came at once) a message carries more of it.
    const bool backlog = rumors_.size() > backlog_factor * options_.max_updates;
    const std::size_t share =
        options_.max_updates * (backlog ? backlog_factor : 1);
    const std::size_t n = std::min(share, rumors_.size());
    std::ranges::partial_sort(rumors_,
                              rumors_.begin() + static_cast<std::ptrdiff_t>(n),
                              {}, &rumor::sent);
    for (std::size_t i = 0; i < n; ++i) {
        rumor& it = rumors_[i];
        ++it.sent;
        const member* about = find(it.host);
        if (about != nullptr && it.host != to)
            out.updates.push_back(update_of(*about, it.describe));
    }
    const std::uint32_t limit = transmissions();
    std::erase_if(rumors_, [&](const rumor& it) { return it.sent >= limit; });
}

// The other one's table differs, and most likely in what changed last: news
// that passed it by, of which nobody speaks any more.
void member_table::add_recent(gossip& out) const
{
    std::vector<const member*> rows;
    for (const auto& [host, row] : members_) {
        if (row.version > 0)
            rows.push_back(&row);
    }
    const std::size_t n = std::min(options_.max_updates, rows.size());
    std::ranges::partial_sort(rows,
                              rows.begin() + static_cast<std::ptrdiff_t>(n),
                              std::greater<>(), &member::changed_at);
    for (std::size_t i = 0; i < n && out.updates.size() < n; ++i) {
        const bool there =
            std::ranges::any_of(out.updates, [&](const member_update& u) {
                return u.host == rows[i]->host;
            });
        if (!there)
            out.updates.push_back(update_of(*rows[i], true));
    }
}

void member_table::add_samples(gossip& out, const host_id& to, instant now)
{
    const member* row = find(to);
    if (row == nullptr)
        return;
    auto it = members_.upper_bound(sample_cursor_);
    const std::size_t walk = std::min(sample_walk, members_.size());
    for (std::size_t n = 0; n < walk; ++n, ++it) {
        if (it == members_.end())
            it = members_.begin();
        const member& other = it->second;
        const bool fresh = other.sample.sequence > 0 && other.up() &&
                           now - other.sampled_at < sample_memory;
        const bool near =
            other.description.data_center == row->description.data_center;
        sample_cursor_ = it->first;
        if (!fresh || !near || &other == row)
            continue;
        out.samples.push_back(other.sample);
        if (out.samples.size() >= options_.max_samples)
            return;
    }
}

} // namespace fennelladder::membership
