// The report on budgets: what was prepaid, where it is, and what is lost.
//
//     budget_report report;
//     for (const budget_books* shard : shards)
//         report.add(*shard, {.limit = 50});
//     std::cout << report.to_text();
//
// For every budget and team: prepaid = spent + free + out + stranded, where
// `out` is with nodes that serve and `stranded` with nodes that are gone.
// `uncollected` ran but was not charged; `released` came back on an operator's
// word and is that operator's risk.

#ifndef FENNELLADDER_BUDGET_REPORT_HPP
#define FENNELLADDER_BUDGET_REPORT_HPP

#include "fennelladder/budget/budget_books.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fennelladder::budget {

/// Sums of one budget, one team or all.
struct budget_sums
{
    tokens prepaid;
    tokens spent;
    tokens free;
    tokens out;
    tokens stranded;
    tokens uncollected;
    tokens released;

    budget_sums& operator+=(const budget_sums& other);
};

/// The sums of one budget.
budget_sums sums_of(const budget_view& view);

struct report_options
{
    /// Show only this team; empty: all.
    team_id team;

    /// Most budgets listed, those with most stranded first, then those
    /// nearest to running out; teams and sums count all.
    std::size_t limit = 100;
};

/// Not thread safe. Memory: the listed budgets and one line a team.
class budget_report
{
public:
    explicit budget_report(const report_options& options = {});

    /// Takes in the books of one shard. Call once per shard.
    void add(const budget_books& books);

    const budget_sums& total() const { return total_; }
    const std::map<team_id, budget_sums>& teams() const { return teams_; }

    /// Listed budgets in the order described at report_options::limit.
    std::vector<budget_view> budgets() const;

    /// A table for people.
    std::string to_text() const;

    /// One JSON object: {"total": {...}, "teams": [...], "budgets": [...]}.
    std::string to_json() const;

private:
    void shorten(std::size_t to);

    report_options options_;
    budget_sums total_;
    std::map<team_id, budget_sums> teams_;
    std::vector<budget_view> budgets_;
    std::size_t count_ = 0;
};

} // namespace fennelladder::budget

#endif
