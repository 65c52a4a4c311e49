// What a team loses over a day on which nodes die several times, by a model of
// a fleet that keeps its stock filled up: one team, stock spread evenly.

#include "fennelladder/prepaid/outage_memory.hpp"
#include "fennelladder/prepaid/stock_plan.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

struct death
{
    double at_s;
    double share; ///< Of the nodes, and so of the stock.
};

/// The team prepays for 60 s of its spending.
class fleet
{
public:
    explicit fleet(std::vector<death> deaths, double outage_s)
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
            if (deaths_.front().share == 1)
                outages_ = outage_memory();
            deaths_.erase(deaths_.begin());
        }
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
        state.outage = outages_.longest(at());
        state.stockist = true;
        stock_ += static_cast<double>(stock_wish(state, {}).count());
    }

    std::vector<death> deaths_;
    double outage_s_;
    outage_memory outages_;
    double now_ = 0;
    double stock_ = 0;
    double spent_ = 0;
    double lost_ = 0;
    double asked_ = 0;
};

void check_at_most(double most, double value)
{
    CHECK_TEXT(value <= most, std::to_string(value).c_str());
}

} // namespace

TEST_GROUP(stock_losses){};

// Guards against stock that is filled up as if nothing had happened after each
// series of deaths, until nothing is left for those that start after the last.
TEST(stock_losses, deaths_in_series_take_less_each_time)
{
    fleet it({{8, 0.6}, {11, 0.6}, {19, 1}, {34, 1}}, 5);
    it.run(50);
    check_at_most(0.25, it.lost_share());
}

// Guards against the same without an outage between.
TEST(stock_losses, a_fleet_that_dies_whole_again_and_again)
{
    fleet it({{10, 1}, {20, 1}, {30, 1}, {40, 1}}, 0);
    it.run(50);
    check_at_most(0.25, it.lost_share());
}

// Guards against stock given up for fear of deaths that never came.
TEST(stock_losses, without_deaths_an_outage_is_covered)
{
    fleet it({}, 8);
    it.run(40);
    CHECK(it.served_share() > 0.999);
}
