#include "fennelladder/mesh/stock_table.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::mesh {

void stock_table::on_heartbeat(const node_heartbeat& from, instant now)
{
    row& it = rows_[from.host];
    it.heard = now;
    it.stock.clear();
    if (from.state == node_state::leaving)
        return;
    for (const token_stock& stock : from.stock)
        it.stock[stock.team] = stock;
}

std::vector<token_stock> stock_table::forget(const host_id& host)
{
    std::vector<token_stock> out;
    for (const auto& [team, stock] : std::exchange(rows_[host].stock, {}))
        if (stock.free > tokens(0))
            out.push_back(stock);
    return out;
}

std::optional<host_id> stock_table::largest_holder(
    const team_id& team, const std::set<host_id>& excluded, instant since) const
{
    std::optional<host_id> best;
    tokens most(0);
    for (const auto& [host, peer] : rows_) {
        const auto it = peer.stock.find(team);
        const bool counts = it != peer.stock.end() && peer.heard >= since &&
                            !excluded.contains(host);
        if (!counts || it->second.free <= most)
            continue;
        best = host;
        most = it->second.free;
    }
    return best;
}

std::map<host_id, tokens>
stock_table::holders(const team_id& team, const std::set<host_id>& excluded,
                     instant since) const
{
    std::map<host_id, tokens> out;
    for (const auto& [host, peer] : rows_) {
        const auto it = peer.stock.find(team);
        const bool counts = it != peer.stock.end() && peer.heard >= since &&
                            !excluded.contains(host);
        if (counts && it->second.free > tokens(0))
            out[host] = it->second.free;
    }
    return out;
}

void stock_table::deduct(const host_id& host, const team_id& team,
                         tokens amount)
{
    const auto peer = rows_.find(host);
    if (peer == rows_.end())
        return;
    const auto it = peer->second.stock.find(team);
    if (it != peer->second.stock.end())
        it->second.free = std::max(it->second.free - amount, tokens(0));
}

stock_totals stock_table::sum(const team_id& team,
                              std::span<const host_id> subset,
                              instant since) const
{
    stock_totals out;
    for (const auto& [host, peer] : rows_) {
        const auto it = peer.stock.find(team);
        if (it == peer.stock.end() || peer.heard < since)
            continue;
        out.free += it->second.free;
        if (std::ranges::find(subset, host) != subset.end())
            out.free_of_subset += it->second.free;
        out.spent_per_second += it->second.spent_per_second;
    }
    return out;
}

} // namespace fennelladder::mesh
