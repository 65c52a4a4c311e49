// A status whose writer hasn't renewed it for status_validity belongs to a
// host that is gone, or to one that can't reach the platform; waiting for it
// would hold up every change for as long as the host is away.

#include "fennelladder/manifest/rollout.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace fennelladder::manifest {

std::size_t rollout::expected() const
{
    return std::size_t(std::ranges::count(rows, false, &rollout_row::silent));
}

std::size_t rollout::reached() const
{
    return std::size_t(std::ranges::count_if(
        rows, [](const rollout_row& it) { return !it.silent && it.reached; }));
}

rollout rollout_of(const std::vector<node_status>& nodes, generation wanted,
                   instant now)
{
    rollout seen{wanted, {}};
    for (const node_status& it : nodes)
        seen.rows.push_back(
            {it, it.in_force >= wanted, now - it.at > status_validity});
    std::ranges::sort(seen.rows, {}, [](const rollout_row& it) {
        return std::string_view(it.node.host.str());
    });
    return seen;
}

std::string to_table(const rollout& seen, instant now)
{
    std::ostringstream out;
    out << std::left << std::setw(24) << "host" << std::setw(12) << "generation"
        << std::setw(10) << "age"
        << "state\n";
    for (const rollout_row& it : seen.rows) {
        const auto age = std::int64_t(to_seconds(now - it.node.at));
        out << std::setw(24) << it.node.host.str() << std::setw(12)
            << it.node.in_force.value() << std::setw(10)
            << std::to_string(age) + "s";
        if (it.silent)
            out << "silent, not waited for\n";
        else
            out << (it.reached ? "in force\n" : "waiting\n");
    }
    out << "generation " << seen.wanted << " is in force on " << seen.reached()
        << " of " << seen.expected() << " nodes\n";
    return out.str();
}

result<std::vector<node_status>> read_statuses(platform::object_store& store)
{
    constexpr std::size_t page_limit = 500;
    std::vector<node_status> all;
    platform::object_key after;
    bool more = true;
    while (more) {
        const auto page = store.list(status_prefix(), after, page_limit);
        if (!page)
            return tl::unexpected(page.error());
        for (const platform::stored_object& it : page->objects) {
            after = it.key;
            if (auto one = decode_node_status(it.value))
                all.push_back(std::move(*one));
        }
        more = page->more && !page->objects.empty();
    }
    return all;
}

} // namespace fennelladder::manifest
