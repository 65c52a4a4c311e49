// A model of a fleet that keeps its stock filled up while its nodes die: one
// team, stock spread evenly.
//
//     mortal_fleet it({{8, 0.6}, {34, 1}}, 5);
//     it.run(50);
//     it.lost_share();

#ifndef FENNELLADDER_PREPAID_FAILING_FLEET_HPP
#define FENNELLADDER_PREPAID_FAILING_FLEET_HPP

#include "fennelladder/prepaid/loss_tracker.hpp"
#include "fennelladder/prepaid/outage_tracker.hpp"
#include "fennelladder/prepaid/stock_plan.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fennelladder::prepaid {

struct death
{
    double at_s;
    double share; ///< Of the nodes, and so of the stock.
};

/// The team prepays for 60 s of its spending.
class mortal_fleet
{
public:
    mortal_fleet(std::vector<death> deaths, double outage_s)
        : deaths_(std::move(deaths)), outage_s_(outage_s)
    {}

    /// Runs for `length_s`; the platform is away from 17 s on.
    void run(double length_s)
    {
        for (now_ = 0; now_ < length_s; now_ += step_s) {
            die();
            refill();
            spend();
        }
    }

    double lost_share() const { return lost_ / prepaid; }
    double served_share() const { return spent_ / asked_; }

private:
    static constexpr double step_s = 0.25;
    static constexpr double prepaid = 6'000'000;
    static constexpr double spending = 100'000;

    instant at() const { return instant(seconds(100)) + from_seconds(now_); }

    bool reaches_platform() const
    {
        return now_ < 17 || now_ >= 17 + outage_s_;
    }

    void die()
    {
        while (!deaths_.empty() && now_ >= deaths_.front().at_s) {
            lost_ += stock_ * deaths_.front().share;
            stock_ -= stock_ * deaths_.front().share;
            remember(deaths_.front().share);
            deaths_.erase(deaths_.begin());
        }
    }

    void remember(double share)
    {
        if (share == 1) {
            outages_ = outage_tracker();
            losses_ = loss_tracker(false, at());
            return;
        }
        constexpr std::size_t hosts = 100;
        for (std::size_t i = 0; i < hosts * share; ++i)
            losses_.note_death(hosts, at());
    }

    void spend()
    {
        const double wanted = spending * step_s;
        const double got = std::min(wanted, stock_);
        asked_ += wanted;
        spent_ += got;
        stock_ -= got;
    }

    void refill()
    {
        outages_.note(reaches_platform(), at());
        if (!reaches_platform())
            return;
        stock_state state;
        state.prepaid = tokens(static_cast<std::int64_t>(prepaid));
        state.left = tokens(
            static_cast<std::int64_t>(prepaid - spent_ - lost_ - stock_));
        state.fleet_free = tokens(static_cast<std::int64_t>(stock_));
        state.stocked = state.fleet_free;
        state.fleet_spending = spending;
        state.longest_outage = outages_.longest(at());
        state.losses = losses_.at(at());
        state.is_holder = true;
        stock_ += static_cast<double>(tokens_to_take(state, {}).count());
    }

    std::vector<death> deaths_;
    double outage_s_;
    outage_tracker outages_;
    loss_tracker losses_{true, at()};
    double now_ = 0;
    double stock_ = 0;
    double spent_ = 0;
    double lost_ = 0;
    double asked_ = 0;
};

} // namespace fennelladder::prepaid

#endif
