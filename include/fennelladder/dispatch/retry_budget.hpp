// Keeps the retries that all nodes send to a service below the operator's
// limit, in every sliding window, without messages between nodes.
//
//     budget.set_hosts(known, now);             // size of the fleet
//     budget.count_request(service, now);       // a caller's request came
//     if (budget.take_retry(service, now))
//         ... send it once more ...
//
// The limit over all nodes is a share of the requests of a window plus a fixed
// slack. Each request that comes to a node, and the node's part of the slack as
// time passes, earn it a fraction of a retry. Half of the limit is earned for
// retries as they come; the other half bounds the balance saved for a burst,
// which is never more than the latest window would have earned of it.
//
// The sum over all nodes keeps the limit in whatever order nodes die, start and
// lose their callers to others. The balance of a node was earned in the window
// before, by its own requests; a new process starts with an empty balance, so a
// restart can only lose retries. In any window, the nodes spend at most the
// half saved before it and the half earned in it.
//
// This requires that the nodes' parts of the slack add up to no more than the
// whole: the hosts counted are those known for long, alive or not, and a node
// that doesn't know them yet takes no part of the slack.

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
    double slack = 50;  ///< Additional retries per window, over all nodes.
    duration window = seconds(10);
    /// Share of the limit that is used. The rest covers what the operator
    /// counts in another window than this node does: retries in flight, and
    /// requests that were delayed on their way here.
    double safety_factor = 0.85;
    /// Share of the limit that may be saved for a burst.
    double burst_share = 0.5;
};

/// Not thread safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    /// How many hosts share the slack; 0: unknown, so this node has no part of
    /// it.
    void set_hosts(std::size_t hosts, instant now);

    std::size_t hosts() const { return host_count_; }

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
        instant settled; ///< The slack is credited up to here.
    };

    account& account_of(const service_id& service, instant now);
    void settle(account& it, instant now) const;
    double own_slack() const;
    double max_balance(const account& it) const;

    static constexpr int slices_per_window = 20;

    retry_budget_options options_;
    std::size_t host_count_ = 0;
    instant hosts_known_since_; ///< Since when `host_count_` isn't 0.
    std::unordered_map<service_id, account> accounts_;
};

} // namespace fennelladder::dispatch

#endif
