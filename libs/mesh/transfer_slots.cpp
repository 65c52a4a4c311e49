#include "fennelladder/mesh/transfer_slots.hpp"

#include <algorithm>

namespace fennelladder::mesh {

namespace {

/// Link rate per slot. A transfer over a link of 200 Mbit/s is limited by the
/// requester's link, mostly 10 Mbit/s, so each further 25 Mbit/s can carry
/// another transfer.
constexpr double link_bits_per_slot = 25e6;

/// With one slot, a requester that stalls would block all others.
constexpr double min_slots = 2;
constexpr double max_slots = 8;

/// Fraction of the link for all transfers together. A configuration of a
/// megabyte, 126 kB compressed, then takes 0.2 s over 10 Mbit/s.
constexpr double link_fraction = 0.5;

/// Up to this much unused time may be made up for in one burst, so that a node
/// that serves one or two others doesn't pace the first of them.
constexpr duration max_burst = milliseconds(200);

/// How long a younger transfer waits for an older one that is about to send.
constexpr duration yield_wait = milliseconds(1);

/// A transfer that has sent nothing for this long takes precedence over older
/// ones. Less than half of `transfer_idle_timeout`, so that a late or lost
/// chunk doesn't end the transfer. A shorter time would delay the transfer that
/// is to complete first.
constexpr duration max_yield = milliseconds(300);
static_assert(2 * max_yield < transfer_idle_timeout);

/// Lower limit of the link rate: the settings may say 0, and waits must stay
/// finite.
constexpr double min_link_bits_per_second = 1e5;

} // namespace

transfer_slots::transfer_slots(double link_bits_per_second)
    : size_(static_cast<std::size_t>(std::clamp(
          link_bits_per_second / link_bits_per_slot, min_slots, max_slots))),
      bytes_per_second_(
          std::max(link_bits_per_second, min_link_bits_per_second) *
          link_fraction / 8)
{}

std::optional<transfer_id> transfer_slots::begin(instant now)
{
    std::erase_if(transfers_, [&](const auto& it) {
        return now - it.second.started >= transfer_timeout;
    });
    if (transfers_.size() >= size_)
        return std::nullopt;
    last_id_ = last_id_.next();
    transfers_[last_id_] = {now, now};
    return last_id_;
}

void transfer_slots::end(transfer_id id)
{
    transfers_.erase(id);
}

duration transfer_slots::pacing_delay(transfer_id id, std::size_t bytes,
                                      instant now)
{
    const auto own = transfers_.find(id);
    const bool must_wait = must_yield(id, now);
    next_send_ = std::max(next_send_, now - max_burst);
    duration wait = std::max<duration>(next_send_ - now, duration(0));
    if (must_wait)
        wait = std::max<duration>(wait, yield_wait);
    if (own != transfers_.end())
        own->second.was_paced = wait > duration(0);
    if (wait > duration(0))
        return wait;
    if (own != transfers_.end())
        own->second.last_sent = now;
    next_send_ += from_seconds(static_cast<double>(bytes) / bytes_per_second_);
    return wait;
}

/// Whether another waiting transfer has precedence: starved ones before the
/// others, the longest starved first, and among equals the one that started
/// first.
bool transfer_slots::must_yield(transfer_id id, instant now) const
{
    const auto own = transfers_.find(id);
    const bool own_starved =
        own != transfers_.end() && is_starved(own->second, now);
    return std::ranges::any_of(transfers_, [&](const auto& other) {
        if (other.first == id || !other.second.was_paced)
            return false;
        const bool starved = is_starved(other.second, now);
        if (starved != own_starved)
            return starved;
        if (starved && other.second.last_sent != own->second.last_sent)
            return other.second.last_sent < own->second.last_sent;
        return own == transfers_.end() || other.first < id;
    });
}

bool transfer_slots::is_starved(const transfer& it, instant now)
{
    return now - it.last_sent >= max_yield;
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
