#include "fennelladder/dispatch/accept_bound.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

double accept_bound::most_saved() const
{
    return std::max(*rate_ * to_seconds(options_.burst), 1.0);
}

double accept_bound::saved_at(instant now) const
{
    return std::min(saved_ + *rate_ * to_seconds(now - saved_as_of_),
                    most_saved());
}

void accept_bound::set_rate(std::optional<double> rate, instant now)
{
    if (rate_)
        saved_ = saved_at(now);
    saved_as_of_ = now;
    rate_ = rate;
    if (rate_)
        saved_ = std::min(saved_, most_saved());
}

bool accept_bound::take(instant now)
{
    if (!rate_)
        return true;
    saved_ = saved_at(now);
    saved_as_of_ = now;
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

void accept_bound::give_back()
{
    if (rate_)
        saved_ = std::min(saved_ + 1, most_saved());
}

duration accept_bound::time_to_next(instant now) const
{
    if (!rate_)
        return duration(0);
    // Rounded up, so that the time that it names is enough.
    return from_seconds(std::max(1 - saved_at(now), 0.0) / *rate_) +
           duration(1);
}

int accept_bound::queue_length(int longest) const
{
    if (!rate_)
        return longest;
    const double fits = *rate_ * to_seconds(options_.max_wait);
    return std::clamp(
        static_cast<int>(std::min(fits, static_cast<double>(longest))),
        std::min(options_.min_queue, longest), longest);
}

} // namespace fennelladder::dispatch
