#include "fennelladder/prepaid/loss_tracker.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fennelladder::prepaid {

namespace {

double faded(double value, duration ago, duration half_life)
{
    const double halves = to_seconds(ago) / to_seconds(half_life);
    return value * std::exp2(-std::max(halves, 0.0));
}

} // namespace

loss_tracker::loss_tracker(bool first_start, instant now,
                           loss_tracker_options options)
    : options_(options), started_(now), presumes_all_(!first_start),
      changed_(now)
{}

double loss_tracker::at(instant now) const
{
    const double counted = faded(counted_, now - changed_, options_.half_life);
    if (!presumes_all_)
        return counted;
    return std::max(counted, faded(1, now - started_, options_.half_life));
}

std::optional<double> loss_tracker::known(instant now) const
{
    if (presumes_all_ && now - started_ < options_.discovery_time)
        return std::nullopt;
    return at(now);
}

void loss_tracker::note_death(std::size_t hosts, instant now)
{
    assert(hosts > 0);
    counted_ = faded(counted_, now - changed_, options_.half_life) +
               1 / static_cast<double>(hosts);
    changed_ = now;
}

void loss_tracker::merge_peer(double said, instant now)
{
    presumes_all_ = false;
    counted_ = std::max(at(now), said);
    changed_ = now;
}

} // namespace fennelladder::prepaid
