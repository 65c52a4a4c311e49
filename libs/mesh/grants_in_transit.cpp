#include "fennelladder/mesh/grants_in_transit.hpp"

#include <algorithm>

namespace fennelladder::mesh {

namespace {

/// A heartbeat of an earlier incarnation may arrive after those of its
/// successor, which is then taken for the earlier one for a moment.
constexpr duration restart_grace = seconds(2);

/// How long it is remembered that an asker acknowledges grants.
constexpr duration acknowledger_retention = hours(1);

/// The node that listens at an address; null if it isn't known.
const peer_record* node_at(const std::string& address, const peer_view& peers)
{
    const auto it = std::ranges::find_if(peers.rows(), [&](const auto& row) {
        return row.second.last.peer_address == address;
    });
    return it == peers.rows().end() ? nullptr : &it->second;
}

} // namespace

void grants_in_transit::add(const token_grant& grant, const std::string& to,
                            instant now)
{
    const key number{grant.incarnation, grant.number};
    rows_[number] = {
        {to, grant}, now, now + first_grant_pause, first_grant_pause};
    if (grant.amount > tokens(0))
        open_.insert(number);
}

const token_grant* grants_in_transit::find(node_incarnation asker,
                                           transfer_number number) const
{
    const auto it = rows_.find({asker, number});
    return it == rows_.end() ? nullptr : &it->second.what.grant;
}

void grants_in_transit::acknowledge(const token_grant_ack& ack, instant now)
{
    const key number{ack.incarnation, ack.number};
    if (!rows_.contains(number))
        return;
    open_.erase(number);
    acknowledged_[ack.incarnation] = now;
}

std::vector<addressed_grant> grants_in_transit::take_due(instant now)
{
    std::vector<addressed_grant> out;
    for (const key& number : open_) {
        row& it = rows_.at(number);
        if (now < it.due)
            continue;
        out.push_back(it.what);
        it.pause = std::min(it.pause * 2, max_grant_pause);
        it.due = now + it.pause;
    }
    return out;
}

void grants_in_transit::hasten(instant now)
{
    for (const key& number : open_) {
        row& it = rows_.at(number);
        it.due = std::min(it.due, now);
        it.pause = first_grant_pause;
    }
}

grants_in_transit::fate grants_in_transit::fate_of(const row& it,
                                                   const peer_view& peers,
                                                   instant now) const
{
    const node_incarnation asker = it.what.grant.incarnation;
    const duration age = now - it.given;
    const peer_record* there = node_at(it.what.to, peers);
    const bool same = there != nullptr && there->last.incarnation == asker;
    const bool restarted = there != nullptr && !same && there->heard > it.given;
    if (restarted && age > restart_grace)
        return fate::stranded;
    if (age <= transfer_retention)
        return fate::open;
    if (!acknowledged_.contains(asker))
        return fate::delivered;
    const bool alive = same && peers.is_alive(*there, now);
    return alive && age <= unreachable_retention ? fate::open : fate::stranded;
}

std::vector<addressed_grant> grants_in_transit::end_lost(const peer_view& peers,
                                                         instant now)
{
    std::vector<addressed_grant> out;
    for (auto it = open_.begin(); it != open_.end();) {
        const row& given = rows_.at(*it);
        const fate end = fate_of(given, peers, now);
        if (end == fate::stranded)
            out.push_back(given.what);
        it = end == fate::open ? std::next(it) : open_.erase(it);
    }
    return out;
}

void grants_in_transit::forget_old(instant now)
{
    std::erase_if(rows_, [&](const auto& it) {
        return !open_.contains(it.first) &&
               now - it.second.given > transfer_retention;
    });
    std::erase_if(acknowledged_, [&](const auto& it) {
        return now - it.second > acknowledger_retention;
    });
}

std::vector<addressed_grant> grants_in_transit::open() const
{
    std::vector<addressed_grant> out;
    for (const key& it : open_)
        out.push_back(rows_.at(it).what);
    return out;
}

tokens grants_in_transit::in_transit() const
{
    tokens out;
    for (const key& it : open_)
        out += rows_.at(it).what.grant.amount;
    return out;
}

} // namespace fennelladder::mesh
