// Keeps the budgets that matter most in a list that is cut back to its limit
// whenever it has grown to twice that.

#include "fennelladder/budget/report.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <tuple>

namespace fennelladder::budget {

namespace {

using json = nlohmann::ordered_json;

std::string_view standing_name(standing state)
{
    switch (state) {
    case standing::good:
        return "serving";
    case standing::fenced:
        return "fenced";
    case standing::settled:
        return "gone";
    case standing::released:
        return "released";
    case standing::unknown:
        break;
    }
    return "unknown";
}

// Most stranded first; then those with the smallest part left.
bool matters_more(const budget_view& a, const budget_view& b)
{
    const auto rank = [](const budget_view& it) {
        const budget_sums sums = sums_of(it);
        const double prepaid =
            std::max<double>(1, static_cast<double>(sums.prepaid.count()));
        const auto spent = static_cast<double>(sums.spent.count());
        return std::make_pair(sums.stranded.count(), spent / prepaid);
    };
    const auto left = rank(a);
    const auto right = rank(b);
    return left != right ? left > right : a.budget < b.budget;
}

json to_json_object(const budget_sums& it)
{
    return {{"prepaid", it.prepaid.count()},
            {"spent", it.spent.count()},
            {"free", it.free.count()},
            {"out", it.out.count()},
            {"stranded", it.stranded.count()},
            {"uncollected", it.uncollected.count()},
            {"released", it.released.count()}};
}

std::string row(const std::string& name, const budget_sums& it)
{
    char buf[256];
    std::snprintf(buf, sizeof buf,
                  "%-32.32s %14lld %14lld %14lld %14lld %12lld %12lld %12lld\n",
                  name.c_str(), static_cast<long long>(it.prepaid.count()),
                  static_cast<long long>(it.spent.count()),
                  static_cast<long long>(it.free.count()),
                  static_cast<long long>(it.out.count()),
                  static_cast<long long>(it.stranded.count()),
                  static_cast<long long>(it.uncollected.count()),
                  static_cast<long long>(it.released.count()));
    return buf;
}

std::string head(const char* name)
{
    char buf[256];
    std::snprintf(buf, sizeof buf, "%-32s %14s %14s %14s %14s %12s %12s %12s\n",
                  name, "prepaid", "spent", "free", "out", "stranded",
                  "uncollected", "released");
    return buf;
}

} // namespace

budget_sums& budget_sums::operator+=(const budget_sums& other)
{
    prepaid += other.prepaid;
    spent += other.spent;
    free += other.free;
    out += other.out;
    stranded += other.stranded;
    uncollected += other.uncollected;
    released += other.released;
    return *this;
}

budget_sums sums_of(const budget_view& view)
{
    budget_sums made{.prepaid = view.topped_up,
                     .spent = view.spent,
                     .free = view.free,
                     .out = {},
                     .stranded = {},
                     .uncollected = view.uncollected,
                     .released = view.released};
    for (const holding& it : view.holdings)
        made.stranded += it.stranded;
    made.out = made.prepaid - made.spent - made.free - made.stranded;
    return made;
}

budget_report::budget_report(const report_options& options) : options_(options)
{}

void budget_report::add(const budget_books& books)
{
    books.for_each([this](const budget_view& it) {
        if (!options_.team.empty() && it.team != options_.team)
            return;
        const budget_sums sums = sums_of(it);
        total_ += sums;
        teams_[it.team] += sums;
        ++count_;
        budgets_.push_back(it);
        if (budgets_.size() >= 2 * options_.limit + 16)
            shorten(options_.limit);
    });
    shorten(options_.limit);
}

void budget_report::shorten(std::size_t to)
{
    std::sort(budgets_.begin(), budgets_.end(), matters_more);
    if (budgets_.size() > to)
        budgets_.erase(budgets_.begin() + static_cast<std::ptrdiff_t>(to),
                       budgets_.end());
}

std::vector<budget_view> budget_report::budgets() const
{
    return budgets_;
}

std::string budget_report::to_text() const
{
    std::string out = head("team");
    for (const auto& [team, sums] : teams_)
        out += row(team.str(), sums);
    out += row("all", total_);
    out += '\n' + head("budget");
    for (const budget_view& it : budgets_) {
        out += row(it.budget.str(), sums_of(it));
        for (const holding& part : it.holdings) {
            char buf[200];
            std::snprintf(
                buf, sizeof buf,
                "  %-38.38s %-9s holds %lld, billed %lld, stranded %lld\n",
                part.holder.str().c_str(),
                std::string(standing_name(part.state)).c_str(),
                static_cast<long long>((part.effective - part.spent).count()),
                static_cast<long long>(part.spent.count()),
                static_cast<long long>(part.stranded.count()));
            out += buf;
        }
    }
    if (count_ > budgets_.size())
        out += "(" + std::to_string(count_ - budgets_.size()) +
               " more budgets, counted above)\n";
    return out;
}

std::string budget_report::to_json() const
{
    json teams = json::array();
    for (const auto& [team, sums] : teams_) {
        json one = to_json_object(sums);
        one["team"] = team.str();
        teams.push_back(std::move(one));
    }
    json budgets = json::array();
    for (const budget_view& it : budgets_) {
        json one = to_json_object(sums_of(it));
        one["budget"] = it.budget.str();
        one["team"] = it.team.str();
        one["holders"] = json::array();
        for (const holding& part : it.holdings) {
            one["holders"].push_back(
                {{"node", part.holder.str()},
                 {"standing", standing_name(part.state)},
                 {"holds", (part.effective - part.spent).count()},
                 {"billed", part.spent.count()},
                 {"stranded", part.stranded.count()}});
        }
        budgets.push_back(std::move(one));
    }
    const json all = {{"total", to_json_object(total_)},
                      {"budget_count", count_},
                      {"teams", std::move(teams)},
                      {"budgets", std::move(budgets)}};
    return all.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace fennelladder::budget
