// A model of a fleet that refills its stock while its nodes die: one team,
// whose stock is spread evenly over the nodes.
//
//     failing_fleet it({{8, 0.6}, {34, 1}}, 5);
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
    double share; ///< Of the nodes, and hence of the stock.
};

/// The team has prepaid 60 s of its spending.
class failing_fleet
{
public:
    failing_fleet(std::vector<death> deaths, double outage_s)
        : deaths_(std::move(deaths)), outage_s_(outage_s)
    {}

    /// Runs for `length_s`; the platform becomes unreachable at 17 s.
    void run(double length_s)
    {
        for (now_ = 0; now_ < length_s; now_ += step_s) {
            apply_deaths();
            refill();
            spend();
        }
    }

    double lost_share() const { return lost_ / prepaid; }
    double served_share() const { return spent_ / wanted_; }

private:
    static constexpr double step_s = 0.25;
    static constexpr double prepaid = 6'000'000;
    static constexpr double spending = 100'000;

    instant at() const { return instant(seconds(100)) + from_seconds(now_); }

    bool reaches_platform() const
    {
        return now_ < 17 || now_ >= 17 + outage_s_;
    }

    void apply_deaths()
    {
        while (!deaths_.empty() && now_ >= deaths_.front().at_s) {
            lost_ += stock_ * deaths_.front().share;
            stock_ -= stock_ * deaths_.front().share;
            record_loss(deaths_.front().share);
            deaths_.erase(deaths_.begin());
        }
    }

    void record_loss(double share)
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
        wanted_ += wanted;
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
    double wanted_ = 0;
};

} // namespace fennelladder::prepaid

#endif
