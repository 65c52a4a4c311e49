// The figure urgent-first. Per node, requests are walked from the one sent
// last to the one sent first, while the earliest first dispatch of each rank
// of urgency is remembered; a request is overtaken when a less urgent one
// sent after it was dispatched before it. O(n (log n + ranks)).

#include "rules.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fennelladder::history {

namespace {

/// 0 is the most urgent; kinds that are not named share the last rank.
std::vector<std::size_t> ranks_of_kinds(const history_tables& tables,
                                        const check_options& options)
{
    std::vector<std::size_t> ranks;
    for (std::size_t n = 0; n < tables.kind_names.size(); ++n) {
        const std::string& name =
            tables.kind_names.name(static_cast<kind_index>(n));
        const auto it =
            std::ranges::find(options.urgent_kinds, caller_kind(name));
        ranks.push_back(
            static_cast<std::size_t>(it - options.urgent_kinds.begin()));
    }
    return ranks;
}

duration quantile(const std::vector<duration>& sorted, double share)
{
    if (sorted.empty())
        return duration(0);
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

using request_iterator = std::vector<const request_record*>::const_iterator;

/// Counts the overtaken among the requests of one node, last sent first.
void count_overtaken(request_iterator first, request_iterator last,
                     const std::vector<std::size_t>& ranks,
                     std::size_t rank_count, std::vector<kind_figure>& figures)
{
    std::vector<mark> earliest(rank_count);
    for (auto it = first; it != last; ++it) {
        const request_record& request = **it;
        const std::size_t rank = ranks[position(request.kind)];
        const mark own = request.first_dispatch;
        for (std::size_t lower = rank + 1; lower < rank_count; ++lower) {
            if (earliest[lower].happened() && earliest[lower] < own) {
                ++figures[position(request.kind)].overtaken;
                break;
            }
        }
        if (!earliest[rank].happened() || own < earliest[rank])
            earliest[rank] = own;
    }
}

} // namespace

std::vector<kind_figure> measure_urgency(const history_tables& tables,
                                         const check_options& options)
{
    std::vector<kind_figure> figures(tables.kind_names.size());
    std::vector<std::vector<duration>> waits(figures.size());
    std::vector<const request_record*> dispatched;
    for (const request_record& it : tables.requests) {
        kind_figure& figure = figures[position(it.kind)];
        ++figure.sent;
        if (!it.first_dispatch.happened())
            continue;
        ++figure.dispatched;
        waits[position(it.kind)].push_back(it.first_dispatch.at - it.sent.at);
        dispatched.push_back(&it);
    }
    for (std::size_t n = 0; n < figures.size(); ++n) {
        figures[n].kind =
            caller_kind(tables.kind_names.name(static_cast<kind_index>(n)));
        std::ranges::sort(waits[n]);
        figures[n].wait_p50 = quantile(waits[n], 0.50);
        figures[n].wait_p95 = quantile(waits[n], 0.95);
        figures[n].wait_max = quantile(waits[n], 1.00);
    }
    if (options.urgent_kinds.empty())
        return figures;
    std::ranges::sort(dispatched, std::ranges::greater(),
                      [](const request_record* it) {
                          return std::tuple(it->node, it->sent);
                      });
    const std::vector<std::size_t> ranks = ranks_of_kinds(tables, options);
    const std::size_t rank_count = options.urgent_kinds.size() + 1;
    const auto same = [](const request_record* a, const request_record* b) {
        return a->node == b->node;
    };
    for_each_group(dispatched, same, [&](auto first, auto last) {
        count_overtaken(first, last, ranks, rank_count, figures);
    });
    return figures;
}

} // namespace fennelladder::history
