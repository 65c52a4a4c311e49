// Which configuration each node had in force, and when. With a acceptances
// and n nodes the check costs O(a n log c), c being the changes of a node.

#include "rules.hpp"

#include <algorithm>
#include <map>

namespace fennelladder::history {

namespace {

std::string generation_text(fennelladder::generation it)
{
    return "generation " + std::to_string(it.value());
}

std::vector<config_record> in_order(std::vector<config_record> records)
{
    std::ranges::sort(records, {}, &config_record::when);
    return records;
}

/// A node's configurations, and the highest generation up to each.
struct node_history
{
    node_index index{};
    std::vector<config_record> in_force; ///< In order of time.
    std::vector<fennelladder::generation> highest;
    mark gone; ///< Its first death or shutdown.
};

node_history make_node_history(const history_tables& tables, node_index index)
{
    const node_record& node = tables.at(index);
    node_history made{index, in_order(node.in_force), {}, {}};
    fennelladder::generation highest;
    for (const config_record& it : made.in_force) {
        highest = std::max(highest, it.generation);
        made.highest.push_back(highest);
    }
    for (const auto* marks : {&node.deaths, &node.shutdown_begins}) {
        for (const mark& it : *marks) {
            if (!made.gone.happened() || it < made.gone)
                made.gone = it;
        }
    }
    return made;
}

/// Checks one acceptance at one node.
void check_reaches(const history_tables& tables, const node_history& node,
                   const config_record& accepted, duration grace,
                   violation_log& log)
{
    const mark first = tables.at(node.index).first_seen;
    const instant deadline = std::max(accepted.when.at, first.at) + grace;
    const bool gone = node.gone.happened() && node.gone.at <= deadline;
    if (gone || tables.last < deadline)
        return;
    const auto after = std::ranges::upper_bound(
        node.in_force, deadline, {},
        [](const config_record& it) { return it.when.at; });
    const auto count = after - node.in_force.begin();
    const auto at = static_cast<std::size_t>(count);
    if (at > 0 && node.highest[at - 1] >= accepted.generation)
        return;
    const line_number shown = after != node.in_force.end() ? after->when.line
                              : at > 0 ? (after - 1)->when.line
                                       : first.line;
    log.add(rule::config_in_force,
            "node '" + tables.node_names.name(node.index) + "' did not have " +
                generation_text(accepted.generation) + " in force " +
                std::to_string(to_seconds(grace)) + " s after it was accepted",
            {accepted.when.line, shown});
}

/// One generation must be one and the same content wherever it is in force.
void check_one_hash(const history_tables& tables,
                    const std::vector<config_record>& accepted,
                    violation_log& log)
{
    std::map<fennelladder::generation, const config_record*> known;
    for (const config_record& it : accepted)
        known.emplace(it.generation, &it);
    const auto check = [&](const config_record& it) {
        const auto [place, is_new] = known.emplace(it.generation, &it);
        if (is_new || place->second->hash == it.hash)
            return;
        log.add(rule::config_in_force,
                generation_text(it.generation) +
                    " is in force with another content",
                {place->second->when.line, it.when.line});
    };
    for (const node_record& node : tables.nodes)
        std::ranges::for_each(node.in_force, check);
}

} // namespace

void check_config_in_force(const history_tables& tables,
                           const check_options& options, violation_log& log)
{
    std::vector<config_record> accepted = in_order(tables.accepted);
    check_one_hash(tables, accepted, log);
    std::ranges::stable_sort(accepted, {}, &config_record::generation);
    remove_repeated(accepted, &config_record::generation);
    for (std::size_t n = 0; n < tables.nodes.size(); ++n) {
        if (!tables.nodes[n].serves)
            continue;
        const node_history node =
            make_node_history(tables, static_cast<node_index>(n));
        for (const config_record& it : accepted)
            check_reaches(tables, node, it, options.config_grace, log);
    }
}

void check_config_never_reverts(const history_tables& tables,
                                const check_options&, violation_log& log)
{
    for (std::size_t n = 0; n < tables.nodes.size(); ++n) {
        const std::vector<config_record> all =
            in_order(tables.nodes[n].in_force);
        for (std::size_t k = 1; k < all.size(); ++k) {
            if (all[k].generation >= all[k - 1].generation)
                continue;
            log.add(rule::config_never_reverts,
                    "node '" +
                        tables.node_names.name(static_cast<node_index>(n)) +
                        "' went back from " +
                        generation_text(all[k - 1].generation) + " to " +
                        generation_text(all[k].generation),
                    {all[k - 1].when.line, all[k].when.line});
        }
    }
    const std::vector<config_record> accepted = in_order(tables.accepted);
    for (std::size_t k = 1; k < accepted.size(); ++k) {
        const config_record& before = accepted[k - 1];
        const config_record& it = accepted[k];
        const bool again =
            it.generation == before.generation && it.hash == before.hash;
        if (it.generation > before.generation || again)
            continue;
        log.add(rule::config_never_reverts,
                generation_text(it.generation) + " was accepted after " +
                    generation_text(before.generation),
                {before.when.line, it.when.line});
    }
}

} // namespace fennelladder::history
