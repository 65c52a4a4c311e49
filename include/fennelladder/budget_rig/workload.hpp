// Demand on prepaid budgets as the bench draws it: few budgets take most of
// it, each from all data centers but not evenly.
//
//     workload demand({.budgets = 300, .nodes = 8, .data_centers = 3}, seed);
//     demand_item next = demand.draw();

#ifndef FENNELLADDER_BUDGET_RIG_WORKLOAD_HPP
#define FENNELLADDER_BUDGET_RIG_WORKLOAD_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/base/tokens.hpp"

#include <cstdint>
#include <vector>

namespace fennelladder::budget_rig {

struct workload_options
{
    int budgets = 300;
    int nodes = 8;
    int data_centers = 3;
    double rate = 100;             ///< Requests a second.
    double zipf = 1.0;             ///< Budget n gets a share like 1 / n^zipf.
    duration length = minutes(10); ///< Of the run, for sizing the budgets.
};

/// One request to come.
struct demand_item
{
    int budget = 0;
    int node = 0;
    tokens worst;
    tokens actual;
    duration time{};
};

/// Not thread safe.
class workload
{
public:
    workload(const workload_options& options, std::uint64_t seed);

    /// Time to the next request.
    duration gap();

    demand_item draw();

    /// What a budget is prepaid at the start: between half and 20 times of
    /// what it is expected to spend in the run, evenly in the logarithm.
    tokens prepaid(int budget) const
    {
        return prepaid_[static_cast<std::size_t>(budget)];
    }

    /// A budget, by its share of the demand.
    int draw_budget();

private:
    int draw_data_center(int budget);

    workload_options options_;
    random_source random_;
    std::vector<double> up_to_; // cumulated shares
    std::vector<tokens> prepaid_;
};

} // namespace fennelladder::budget_rig

#endif
