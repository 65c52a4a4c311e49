#include "fennelladder/prepaid/loss_tracker.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::prepaid {

namespace {

double decayed(double value, duration ago, duration half_life)
{
    const double halves = to_seconds(ago) / to_seconds(half_life);
    return value * std::exp2(-std::max(halves, 0.0));
}

} // namespace

loss_tracker::loss_tracker(bool first_start, instant now,
                           loss_tracker_options options)
    : options_(options), started_(now), assumes_total_loss_(!first_start),
      counted_at_(now)
{}

double loss_tracker::at(instant now) const
{
    const double counted =
        decayed(counted_, now - counted_at_, options_.half_life);
    if (!assumes_total_loss_)
        return counted;
    return std::max(counted, decayed(1, now - started_, options_.half_life));
}

std::optional<double> loss_tracker::known(instant now) const
{
    if (assumes_total_loss_ && now - started_ < options_.discovery_time)
        return std::nullopt;
    return at(now);
}

void loss_tracker::note_death(std::size_t hosts, instant now)
{
    assert(hosts > 0);
    counted_ = decayed(counted_, now - counted_at_, options_.half_life) +
               1 / static_cast<double>(hosts);
    counted_at_ = now;
}

void loss_tracker::merge_peer(double reported, instant now)
{
    assumes_total_loss_ = false;
    counted_ = std::max(at(now), reported);
    counted_at_ = now;
}

} // namespace fennelladder::prepaid
