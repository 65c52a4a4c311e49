// Keeps retries to a share of the live traffic of one node, so that a fault
// that makes everything fail doesn't multiply the load.
//
//     retry_budget budget({.share = 0.1}, now);
//     budget.on_success();             // of each answered request
//     if (budget.take(now))
//         retry();
//
// Answered requests fill the budget; a small trickle lets a node without
// traffic retry at all. In any stretch of t seconds with n answers at most
// burst + share * n + trickle * t retries are granted.

#ifndef FENNELLADDER_REQUEST_RETRY_BUDGET_HPP
#define FENNELLADDER_REQUEST_RETRY_BUDGET_HPP

#include "fennelladder/base/time.hpp"

#include <mutex>

namespace fennelladder::request {

struct retry_budget_options
{
    double share = 0.1;   ///< Retries per answered request.
    double burst = 20;    ///< Most that is saved up.
    double trickle = 0.5; ///< Retries a second beside the share.
};

/// Thread safe; its lock is a leaf: no other is taken under it.
class retry_budget
{
public:
    /// Starts full.
    retry_budget(retry_budget_options options, instant now);

    /// A request was answered.
    void on_success();

    /// Takes one retry; false if none is left.
    bool take(instant now);

    /// Retries left.
    double left(instant now);

private:
    void add_trickle(instant now);

    const retry_budget_options options_;
    std::mutex mutex_;
    double left_;    // guarded by mutex_; in [0, burst]
    instant filled_; // guarded by mutex_; never goes back
};

} // namespace fennelladder::request

#endif
