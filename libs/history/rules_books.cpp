// Bills and top-ups. Both rules sort the bills and walk them once.

#include "rules.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace fennelladder::history {

namespace {

using bill_iterator = std::vector<bill_record>::const_iterator;

/// Sums stop at the largest number instead of wrapping around.
tokens add_saturating(tokens a, tokens b)
{
    std::int64_t sum = 0;
    if (__builtin_add_overflow(a.count(), b.count(), &sum))
        return tokens(std::numeric_limits<std::int64_t>::max());
    return tokens(sum);
}

/// The bills, each once, by its first line; in order of time.
std::vector<bill_record> distinct_bills(const history_tables& tables)
{
    std::vector<bill_record> bills = tables.bills;
    std::ranges::sort(bills, {}, [](const bill_record& it) {
        return std::tuple(it.bill, it.when);
    });
    remove_repeated(bills, &bill_record::bill);
    std::ranges::sort(bills, {}, &bill_record::when);
    return bills;
}

/// A top-up (positive) or a bill (negative) of a budget.
struct booking
{
    mark when;
    budget_index budget{};
    tokens topped_up;
    tokens spent;
};

using booking_iterator = std::vector<booking>::const_iterator;

std::vector<booking> bookings_by_budget(const history_tables& tables)
{
    std::vector<booking> all;
    for (const topup_record& it : tables.topups)
        all.push_back({it.when, it.budget, it.amount, {}});
    for (const bill_record& it : distinct_bills(tables))
        all.push_back({it.when, it.budget, {}, it.amount});
    std::ranges::sort(all, {}, [](const booking& it) {
        return std::tuple(it.budget, it.when);
    });
    return all;
}

/// The top-ups of [first, last) and as few of its bills as exceed them.
std::vector<line_number> lines_of_overspend(booking_iterator first,
                                            booking_iterator last,
                                            tokens topped_up)
{
    std::vector<line_number> lines;
    std::vector<booking> bills;
    for (auto it = first; it != last; ++it) {
        if (it->topped_up > tokens())
            lines.push_back(it->when.line);
        if (it->spent > tokens())
            bills.push_back(*it);
    }
    std::ranges::sort(bills, std::ranges::greater(), &booking::spent);
    tokens spent;
    for (const booking& it : bills) {
        lines.push_back(it.when.line);
        spent = add_saturating(spent, it.spent);
        if (spent > topped_up)
            break;
    }
    return lines;
}

} // namespace

void check_overspend(const history_tables& tables, const check_options&,
                     violation_log& log)
{
    const auto same = [](const booking& a, const booking& b) {
        return a.budget == b.budget;
    };
    const auto check = [&](booking_iterator first, booking_iterator last) {
        tokens topped_up;
        tokens spent;
        for (auto it = first; it != last; ++it) {
            topped_up = add_saturating(topped_up, it->topped_up);
            spent = add_saturating(spent, it->spent);
            if (spent <= topped_up)
                continue;
            log.add(rule::overspend,
                    "budget '" + tables.budget_names.name(it->budget) +
                        "' had " + std::to_string(topped_up.count()) +
                        " tokens and spent " + std::to_string(spent.count()),
                    lines_of_overspend(first, it + 1, topped_up));
            return;
        }
    };
    for_each_group(bookings_by_budget(tables), same, check);
}

namespace {

/// One bill written with different fields.
void check_bills_agree(const history_tables& tables, violation_log& log)
{
    std::vector<bill_record> bills = tables.bills;
    std::ranges::sort(bills, {}, [](const bill_record& it) {
        return std::tuple(it.bill, it.when);
    });
    const auto same = [](const bill_record& a, const bill_record& b) {
        return a.bill == b.bill;
    };
    const auto check = [&](bill_iterator first, bill_iterator last) {
        const auto differs = [first](const bill_record& it) {
            return std::tuple(it.key, it.budget, it.amount) !=
                   std::tuple(first->key, first->budget, first->amount);
        };
        const auto it = std::find_if(first, last, differs);
        if (it != last)
            log.add(rule::billed_once,
                    "bill '" + tables.bill_names.name(it->bill) +
                        "' is written with different fields",
                    {first->when.line, it->when.line});
    };
    for_each_group(bills, same, check);
}

} // namespace

void check_billed_once(const history_tables& tables, const check_options&,
                       violation_log& log)
{
    check_bills_agree(tables, log);
    std::vector<bool> ran(tables.keys.size());
    for (const run_record& it : tables.executions)
        ran[position(it.key)] = true;
    std::vector<bill_record> bills = distinct_bills(tables);
    std::ranges::sort(bills, {}, [](const bill_record& it) {
        return std::tuple(it.key, it.when);
    });
    const auto same = [](const bill_record& a, const bill_record& b) {
        return a.key == b.key;
    };
    const auto check = [&](bill_iterator first, bill_iterator last) {
        const std::string key = "key '" + tables.key_names.name(first->key);
        if (last - first > 1)
            log.add(rule::billed_once,
                    key + "' has " + std::to_string(last - first) + " bills",
                    {first->when.line, (first + 1)->when.line});
        if (!ran[position(first->key)])
            log.add(rule::billed_once, key + "' is billed and never ran",
                    {first->when.line});
    };
    for_each_group(bills, same, check);
}

} // namespace fennelladder::history
