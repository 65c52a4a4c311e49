// Two plain ways to keep spend within budgets, to measure against.
//
//   * static_split: every top-up is split evenly between the nodes, which
//     never talk about it again. Told in its favour: a top-up reaches all
//     nodes at once, also cut off ones, and a node's next life knows what the
//     last one had spent.
//   * write_per_request: every request first takes its worst case from the
//     budget by a conditional write to the store, so that it works as long as
//     the node reaches the store. Told in its favour: the store takes any
//     rate, and no write is ever retried.

#ifndef FENNELLADDER_BUDGET_RIG_BASELINES_HPP
#define FENNELLADDER_BUDGET_RIG_BASELINES_HPP

#include "fennelladder/base/tokens.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace fennelladder::budget_rig {

struct baseline_figures
{
    std::uint64_t refused = 0;
    std::uint64_t false_refused = 0;
    std::uint64_t writes = 0;
    tokens overspent;
};

/// One of the two. Not thread safe.
class baseline
{
public:
    enum class kind : std::uint8_t
    {
        static_split,
        write_per_request
    };

    baseline(kind which, int nodes, int budgets);

    void top_up(int budget, tokens amount);

    /// Whether the request may run.
    bool admit(int node, int budget, tokens worst, bool reaches_store);

    void finish(int node, int budget, tokens worst, tokens actual);

    const baseline_figures& figures() const { return figures_; }

private:
    std::int64_t& part(int node, int budget);

    kind which_;
    int nodes_;
    int budgets_;
    std::vector<std::int64_t> prepaid_;
    std::vector<std::int64_t> used_; // spent and running, by all
    std::unordered_map<std::int64_t, std::int64_t> parts_;
    baseline_figures figures_;
};

} // namespace fennelladder::budget_rig

#endif
