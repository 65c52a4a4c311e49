// Shares are cumulated once and searched by bisection. A budget's data centers
// follow from its number, so that nothing is stored for them.

#include "fennelladder/budget_rig/workload.hpp"

#include <algorithm>
#include <cmath>

namespace fennelladder::budget_rig {

namespace {

// The largest budgets are drawn on evenly from everywhere, others mostly from
// one data center.
constexpr int everywhere = 20;
constexpr double mostly = 0.7;

constexpr double mean_actual = 900;   // tokens, of sizes drawn below
constexpr double mean_seconds = 8;    // of a request
constexpr double least_prepaid = 2e4; // tokens

} // namespace

workload::workload(const workload_options& options, std::uint64_t seed)
    : options_(options), random_(seed)
{
    double sum = 0;
    for (int n = 0; n < options.budgets; ++n) {
        sum += 1 / std::pow(n + 1, options.zipf);
        up_to_.push_back(sum);
    }
    double before = 0;
    for (double& it : up_to_) {
        it /= sum;
        const double expected = (it - before) * options.rate *
                                to_seconds(options.length) * mean_actual;
        before = it;
        const double factor = 0.5 * std::pow(40, random_.unit());
        prepaid_.emplace_back(static_cast<std::int64_t>(
            std::max(least_prepaid, expected * factor)));
    }
}

duration workload::gap()
{
    return from_seconds(random_.exponential(1 / options_.rate));
}

int workload::draw_budget()
{
    const auto it =
        std::lower_bound(up_to_.begin(), up_to_.end(), random_.unit());
    const auto n = static_cast<int>(it - up_to_.begin());
    return std::min(n, options_.budgets - 1);
}

int workload::draw_data_center(int budget)
{
    const auto all = static_cast<std::uint64_t>(options_.data_centers);
    if (budget >= everywhere && random_.chance(mostly))
        return budget % options_.data_centers;
    return static_cast<int>(random_.below(all));
}

demand_item workload::draw()
{
    demand_item made;
    made.budget = draw_budget();
    const int dc = draw_data_center(made.budget);
    const int n = options_.data_centers;
    const int hosts = options_.nodes / n + (dc < options_.nodes % n ? 1 : 0);
    const auto slot = random_.below(static_cast<std::uint64_t>(hosts));
    made.node = static_cast<int>(slot) * n + dc;
    const double prompt = 100 * std::pow(20, random_.unit());
    const double output = 256 * std::pow(2, random_.below(4));
    made.worst = tokens(static_cast<std::int64_t>(prompt + output));
    const double used = prompt + output * std::pow(random_.unit(), 1.5);
    made.actual = tokens(static_cast<std::int64_t>(used));
    const double length = std::min(60.0, random_.exponential(mean_seconds));
    made.time = from_seconds(0.05 + length);
    return made;
}

} // namespace fennelladder::budget_rig
