// A token bucket. O(1) each call.

#include "fennelladder/request/retry_budget.hpp"

#include <algorithm>

namespace fennelladder::request {

retry_budget::retry_budget(retry_budget_options options, instant now)
    : options_(options), left_(options.burst), filled_(now)
{}

void retry_budget::add_trickle(instant now)
{
    if (now <= filled_)
        return;
    const double gained = options_.trickle * to_seconds(now - filled_);
    left_ = std::min(options_.burst, left_ + gained);
    filled_ = now;
}

void retry_budget::on_success()
{
    const std::lock_guard lock(mutex_);
    left_ = std::min(options_.burst, left_ + options_.share);
}

bool retry_budget::take(instant now)
{
    const std::lock_guard lock(mutex_);
    add_trickle(now);
    if (left_ < 1)
        return false;
    left_ -= 1;
    return true;
}

double retry_budget::left(instant now)
{
    const std::lock_guard lock(mutex_);
    add_trickle(now);
    return left_;
}

} // namespace fennelladder::request
