// Requests are counted in slices of a twentieth of the window. A slice counts
// only while all of it lies in the window, so that rounding never allows more
// than the limit.

#include "fennelladder/dispatch/retry_budget.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

retry_budget::retry_budget(retry_budget_options options) : options_(options)
{}

/// This node's part of the slack of one window.
double retry_budget::own_slack() const
{
    return host_count_ == 0 ? 0
                            : options_.slack / static_cast<double>(host_count_);
}

double retry_budget::max_balance(const account& it) const
{
    int requests = 0;
    for (const slice& one : it.slices)
        requests += one.requests;
    return options_.safety_factor * options_.burst_share *
           (options_.share * requests + own_slack());
}

/// Credits the slack since the last call and drops slices older than the
/// window, which lowers the maximum balance.
void retry_budget::settle(account& it, instant now) const
{
    while (!it.slices.empty() &&
           now - it.slices.front().start > options_.window)
        it.slices.pop_front();
    const double windows = std::max(
        to_seconds(now - it.settled) / to_seconds(options_.window), 0.0);
    it.balance += options_.safety_factor * (1 - options_.burst_share) *
                  own_slack() * windows;
    it.balance = std::min(it.balance, max_balance(it));
    it.settled = now;
}

retry_budget::account& retry_budget::account_of(const service_id& service,
                                                instant now)
{
    const auto [it, is_new] = accounts_.try_emplace(service);
    if (is_new)
        it->second.settled = host_count_ == 0 ? now : hosts_known_since_;
    settle(it->second, now);
    return it->second;
}

void retry_budget::set_hosts(std::size_t hosts, instant now)
{
    if (hosts == host_count_)
        return;
    for (auto& [service, it] : accounts_)
        settle(it, now);
    if (host_count_ == 0)
        hosts_known_since_ = now;
    host_count_ = hosts;
}

double retry_budget::left(const service_id& service, instant now)
{
    return account_of(service, now).balance;
}

void retry_budget::count_request(const service_id& service, instant now)
{
    account& it = account_of(service, now);
    const duration length = options_.window / slices_per_window;
    if (it.slices.empty() || now - it.slices.back().start >= length)
        it.slices.push_back({now, 0});
    ++it.slices.back().requests;
    it.balance +=
        options_.safety_factor * (1 - options_.burst_share) * options_.share;
    it.balance = std::min(it.balance, max_balance(it));
}

bool retry_budget::take_retry(const service_id& service, instant now)
{
    account& it = account_of(service, now);
    if (it.balance < 1)
        return false;
    it.balance -= 1;
    return true;
}

} // namespace fennelladder::dispatch
