// What ran, and where it was sent. Executions and dispatches are joined by
// (key, target, attempt) after sorting both; O(n log n).

#include "rules.hpp"

#include <algorithm>
#include <span>
#include <tuple>

namespace fennelladder::history {

namespace {

auto run_order(const run_record& it)
{
    return std::tuple(it.key, it.target, it.attempt, it.when);
}

auto join_fields(const run_record& it)
{
    return std::tuple(it.key, it.target, it.attempt);
}

/// The requests of each key, as positions in one sorted list.
class requests_by_key
{
public:
    explicit requests_by_key(const history_tables& tables) : tables_(tables)
    {
        for (std::size_t n = 0; n < tables.requests.size(); ++n)
            order_.push_back(static_cast<request_index>(n));
        std::ranges::sort(order_, {}, [&tables](request_index it) {
            return std::tuple(tables.at(it).key, tables.at(it).sent);
        });
    }

    /// In order of sending.
    std::span<const request_index> of(key_index key) const
    {
        const auto key_of = [this](request_index it) {
            return tables_.at(it).key;
        };
        const auto first = std::ranges::lower_bound(order_, key, {}, key_of);
        const auto last = std::ranges::upper_bound(order_, key, {}, key_of);
        return {first, last};
    }

private:
    const history_tables& tables_;
    std::vector<request_index> order_;
};

/// Decides which of a key's executions belong to a request that was told
/// that it did not run.
//
// Executions and dispatches of one (key, target, attempt) are matched in
// order of time: a dispatch of a request that was not told so accounts for
// one execution after it. What stays unaccounted for was caused by somebody
// who was told "not run".
class execution_matcher
{
public:
    execution_matcher(const history_tables& tables, violation_log& log)
        : tables_(tables), log_(log), requests_(tables),
          dispatches_(tables.dispatches)
    {
        std::ranges::sort(dispatches_, {}, run_order);
    }

    /// All executions of one (key, target, attempt), in order of time.
    template <class Iterator>
    void match(Iterator first, Iterator last)
    {
        const std::span<const dispatch_record> sent = dispatches_like(*first);
        auto candidate = sent.begin();
        for (auto it = first; it != last; ++it) {
            candidate = std::find_if(candidate, sent.end(), [this](auto& d) {
                return !tables_.at(d.request).told_not_run();
            });
            if (candidate != sent.end() && candidate->when.at <= it->when.at)
                ++candidate;
            else
                blame(*it, sent);
        }
    }

private:
    std::span<const dispatch_record> dispatches_like(const run_record& run)
    {
        const auto wanted = join_fields(run);
        const auto first =
            std::ranges::lower_bound(dispatches_, wanted, {}, join_fields);
        const auto last =
            std::ranges::upper_bound(dispatches_, wanted, {}, join_fields);
        return {first, last};
    }

    void blame(const run_record& run, std::span<const dispatch_record> sent)
    {
        for (const dispatch_record& it : sent) {
            if (tables_.at(it.request).told_not_run()) {
                report(it.request, it.when.line, run);
                return;
            }
        }
        blame_without_dispatch(run);
    }

    // No dispatch accounts for the run. Another request of the key may have
    // caused it if it was sent before and its dispatches are not in the
    // history at all.
    void blame_without_dispatch(const run_record& run)
    {
        const auto requests = requests_.of(run.key);
        const auto may_have = [this, &run](request_index index) {
            const request_record& it = tables_.at(index);
            return !it.told_not_run() && !it.first_dispatch.happened() &&
                   it.sent < run.when;
        };
        if (std::ranges::any_of(requests, may_have))
            return;
        for (const request_index it : requests) {
            if (tables_.at(it).told_not_run()) {
                report(it, 0, run);
                return;
            }
        }
    }

    void report(request_index index, line_number dispatch,
                const run_record& run)
    {
        const request_record& it = tables_.at(index);
        // An answer shows the breach in fewer lines, see below.
        if (it.answered.happened())
            return;
        const line_number cause = dispatch != 0 ? dispatch : it.sent.line;
        const mark told = it.not_run.happened() ? it.not_run : it.refused;
        log_.add(rule::not_run_is_true,
                 "request '" + tables_.request_names.name(index) +
                     "' was told that it did not run, and ran",
                 {cause, told.line, run.when.line});
    }

    const history_tables& tables_;
    violation_log& log_;
    requests_by_key requests_;
    std::vector<dispatch_record> dispatches_;
};

} // namespace

void check_not_run_is_true(const history_tables& tables, const check_options&,
                           violation_log& log)
{
    std::vector<bool> told(tables.keys.size());
    for (std::size_t n = 0; n < tables.requests.size(); ++n) {
        const request_record& it = tables.requests[n];
        if (!it.told_not_run())
            continue;
        told[position(it.key)] = true;
        const mark said = it.not_run.happened() ? it.not_run : it.refused;
        if (it.answered.happened())
            log.add(
                rule::not_run_is_true,
                "request '" +
                    tables.request_names.name(static_cast<request_index>(n)) +
                    "' was told that it did not run, and was answered",
                {said.line, it.answered.line});
    }
    std::vector<run_record> runs;
    for (const run_record& it : tables.executions) {
        if (told[position(it.key)])
            runs.push_back(it);
    }
    std::ranges::sort(runs, {}, run_order);
    execution_matcher matcher(tables, log);
    const auto same = [](const run_record& a, const run_record& b) {
        return join_fields(a) == join_fields(b);
    };
    for_each_group(runs, same, [&matcher](auto first, auto last) {
        matcher.match(first, last);
    });
}

void check_at_most_once(const history_tables& tables, const check_options&,
                        violation_log& log)
{
    std::vector<run_record> runs;
    for (const run_record& it : tables.executions) {
        if (!tables.at(it.key).idempotent)
            runs.push_back(it);
    }
    std::ranges::sort(runs, {}, [](const run_record& it) {
        return std::tuple(it.key, it.when);
    });
    const auto same = [](const run_record& a, const run_record& b) {
        return a.key == b.key;
    };
    const auto check = [&](auto first, auto last) {
        if (last - first > 1)
            log.add(rule::at_most_once,
                    "key '" + tables.key_names.name(first->key) +
                        "' is not idempotent and ran " +
                        std::to_string(last - first) + " times",
                    {tables.at(first->key).sent.line, first->when.line,
                     (first + 1)->when.line});
    };
    for_each_group(runs, same, check);
}

void check_no_work_after_leaving(const history_tables& tables,
                                 const check_options& options,
                                 violation_log& log)
{
    for (const dispatch_record& it : tables.dispatches) {
        const mark leaving = tables.leaving[position(it.target)];
        if (!leaving.happened() ||
            it.when.at - leaving.at <= options.leaving_grace)
            continue;
        log.add(rule::no_work_after_leaving,
                "target '" + tables.target_names.name(it.target) +
                    "' got work " +
                    std::to_string(to_seconds(it.when.at - leaving.at)) +
                    " s after it was seen leaving",
                {leaving.line, it.when.line});
    }
}

} // namespace fennelladder::history
