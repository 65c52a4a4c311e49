// The split keeps what a node has used of its part only for parts that were
// ever drawn on.

#include "fennelladder/budget_rig/baselines.hpp"

#include <algorithm>

namespace fennelladder::budget_rig {

baseline::baseline(kind which, int nodes, int budgets)
    : which_(which), nodes_(nodes), budgets_(budgets),
      prepaid_(static_cast<std::size_t>(budgets)),
      used_(static_cast<std::size_t>(budgets))
{}

void baseline::top_up(int budget, tokens amount)
{
    prepaid_[static_cast<std::size_t>(budget)] += amount.count();
}

std::int64_t& baseline::part(int node, int budget)
{
    return parts_[static_cast<std::int64_t>(node) * budgets_ + budget];
}

bool baseline::admit(int node, int budget, tokens worst, bool reaches_store)
{
    const auto index = static_cast<std::size_t>(budget);
    const std::int64_t n = worst.count();
    const bool left = used_[index] + n <= prepaid_[index];
    bool fits = left && reaches_store;
    if (which_ == kind::static_split)
        fits = part(node, budget) + n <= prepaid_[index] / nodes_;
    else
        figures_.writes += reaches_store ? 1 : 0;
    if (!fits) {
        ++figures_.refused;
        figures_.false_refused += left ? 1 : 0;
        return false;
    }
    used_[index] += n;
    if (which_ == kind::static_split)
        part(node, budget) += n;
    const tokens over(used_[index] - prepaid_[index]);
    figures_.overspent = std::max(figures_.overspent, over);
    return true;
}

void baseline::finish(int node, int budget, tokens worst, tokens actual)
{
    const std::int64_t back = (worst - actual).count();
    used_[static_cast<std::size_t>(budget)] -= back;
    if (which_ == kind::static_split)
        part(node, budget) -= back;
}

} // namespace fennelladder::budget_rig
