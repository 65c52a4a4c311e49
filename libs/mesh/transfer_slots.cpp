#include "fennelladder/mesh/transfer_slots.hpp"

#include <algorithm>

namespace fennelladder::mesh {

namespace {

/// A transfer over a link of 200 Mbit/s is bounded by the link of the one that
/// asks, mostly 10 Mbit/s: so much link can carry another transfer.
constexpr double link_per_slot = 25e6;

/// With one, a single asker that stalls would hold up all others.
constexpr double fewest_slots = 2;
constexpr double most_slots = 8;

/// Share of the link for all transfers together. A configuration of a
/// megabyte, 126 kB packed, then takes 0.2 s over 10 Mbit/s.
constexpr double link_share = 0.5;

/// What went unused for so long may be sent at once: a node that serves one or
/// two others then doesn't pace the first of them.
constexpr duration longest_burst = milliseconds(200);

/// What a younger transfer waits for an older one that is about to send.
constexpr duration turn_wait = milliseconds(1);

/// Without having sent for so long, a transfer goes before older ones. Less
/// than half of `transfer_idle_timeout`: a piece that is late or lost must not
/// end the transfer. A shorter one would hold up the one that is to be done
/// first.
constexpr duration longest_yield = milliseconds(300);
static_assert(2 * longest_yield < transfer_idle_timeout);

/// A settings file may say 0; waits must stay finite.
constexpr double slowest_link = 1e5;

} // namespace

transfer_slots::transfer_slots(double link_bits_per_second)
    : size_(static_cast<std::size_t>(std::clamp(
          link_bits_per_second / link_per_slot, fewest_slots, most_slots))),
      bytes_per_second_(std::max(link_bits_per_second, slowest_link) *
                        link_share / 8)
{}

std::optional<transfer_id> transfer_slots::begin(instant now)
{
    std::erase_if(begun_, [&](const auto& it) {
        return now - it.second.begun >= transfer_timeout;
    });
    if (begun_.size() >= size_)
        return std::nullopt;
    last_id_ = last_id_.next();
    begun_[last_id_] = {now, now};
    return last_id_;
}

void transfer_slots::end(transfer_id id)
{
    begun_.erase(id);
}

duration transfer_slots::pacing_delay(transfer_id id, std::size_t bytes,
                                      instant now)
{
    const auto own = begun_.find(id);
    const bool yields = yields_now(id, now);
    next_send_ = std::max(next_send_, now - longest_burst);
    duration wait = std::max<duration>(next_send_ - now, duration(0));
    if (yields)
        wait = std::max<duration>(wait, turn_wait);
    if (own != begun_.end())
        own->second.waits = wait > duration(0);
    if (wait > duration(0))
        return wait;
    if (own != begun_.end())
        own->second.sent = now;
    next_send_ += from_seconds(static_cast<double>(bytes) / bytes_per_second_);
    return wait;
}

/// Whether one that waits goes first: those that haven't sent for long before
/// the others, the longest first, and of equals the one that began first.
bool transfer_slots::yields_now(transfer_id id, instant now) const
{
    const auto own = begun_.find(id);
    const bool own_due = own != begun_.end() && is_due(own->second, now);
    return std::ranges::any_of(begun_, [&](const auto& other) {
        if (other.first == id || !other.second.waits)
            return false;
        const bool due = is_due(other.second, now);
        if (due != own_due)
            return due;
        if (due && other.second.sent != own->second.sent)
            return other.second.sent < own->second.sent;
        return own == begun_.end() || other.first < id;
    });
}

bool transfer_slots::is_due(const transfer& it, instant now)
{
    return now - it.sent >= longest_yield;
}

void transfer_slots::note_served(catalog::configuration_version version,
                                 const std::string& address)
{
    if (version < served_version_)
        return;
    if (version > served_version_)
        served_.clear();
    served_version_ = version;
    std::erase(served_, address);
    served_.push_front(address);
    if (served_.size() > max_referrals)
        served_.pop_back();
}

std::vector<std::string>
transfer_slots::served(catalog::configuration_version version) const
{
    if (version != served_version_)
        return {};
    return {served_.begin(), served_.end()};
}

} // namespace fennelladder::mesh
