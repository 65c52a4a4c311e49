// Keeps the retries that all nodes send to a service below the operator's
// limit, in every sliding window, without a message between nodes.
//
//     allowance.set_hosts(known, now);             // as the fleet is known
//     allowance.count_request(service, now);       // a caller's request came
//     if (allowance.take_retry(service, now))
//         ... send it once more ...
//
// The operator allows, over all nodes, a share of the requests of a window plus
// a fixed slack. Each request that comes to a node, and its part of the slack
// as time passes, earn it a part of a retry. Half of what is earned is for
// retries as they come; the other half is what may be saved up for a burst:
// never more than the latest window would have earned of it.
//
// The sum over all nodes keeps the limit in whatever order nodes die, start and
// lose their callers to others. What a node has saved at a moment was earned
// in the window before it, by its own requests; a new process has nothing
// saved, so a start can only lose allowance. Of any window, the nodes spend at
// most the half saved up before it and the half earned in it.
//
// That needs the parts of the slack to add up to no more than the whole: the
// hosts are those known for long, living or not, and none share the slack
// while a node doesn't know them.

#ifndef FENNELLADDER_DISPATCH_RETRY_BUDGET_HPP
#define FENNELLADDER_DISPATCH_RETRY_BUDGET_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace fennelladder::dispatch {

struct retry_budget_options
{
    double share = 0.2; ///< Retries per request.
    double slack = 50;  ///< Retries beside the share, over all nodes.
    duration window = seconds(10);
    /// Part of the limit that is used. The rest covers what the operator counts
    /// in another window than this node does: retries under way, and requests
    /// that were long on their way here.
    double safety_factor = 0.85;
    /// Part of what is earned that may be saved up.
    double burst_share = 0.5;
};

/// Not thread safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    /// How many hosts share the slack; 0: not known, so that this node has no
    /// part of it.
    void set_hosts(std::size_t hosts, instant now);

    std::size_t hosts() const { return hosts_; }

    void count_request(const service_id& service, instant now);

    /// Takes one retry; false if none is left.
    bool take_retry(const service_id& service, instant now);

    /// Retries left now.
    double left(const service_id& service, instant now);

private:
    struct slice
    {
        instant start;
        int requests = 0;
    };

    struct account
    {
        std::deque<slice> slices; ///< Oldest first, none older than a window.
        double balance = 0;
        instant settled; ///< Up to when the slack was earned.
    };

    account& account_of(const service_id& service, instant now);
    void settle(account& it, instant now) const;
    double own_slack() const;
    double max_balance(const account& it) const;

    static constexpr int slices_per_window = 20;

    retry_budget_options options_;
    std::size_t hosts_ = 0;
    instant hosts_known_since_; ///< Since when `hosts_` isn't 0.
    std::unordered_map<service_id, account> accounts_;
};

} // namespace fennelladder::dispatch

#endif
