// Connects to lost targets until this node reaches them again, and tells peers
// when it is cut off from a service or no longer is.
//
// Which targets are lost, and which of them to test when, is decided by
// dispatch/reach_table.hpp. Not thread safe.

#ifndef FENNELLADDER_EDGE_LINK_PROBER_HPP
#define FENNELLADDER_EDGE_LINK_PROBER_HPP

#include "fennelladder/edge/node_tables.hpp"

#include <vector>

namespace fennelladder::edge {

class link_prober
{
public:
    explicit link_prober(node_tables& tables) : tables_(tables) {}

    void start();

private:
    awaitable<void> run();
    awaitable<void> probe(catalog::target_process target);
    void report_changes();

    node_tables& tables_;
    std::vector<service_id> impaired_; ///< As last logged.
};

} // namespace fennelladder::edge

#endif
