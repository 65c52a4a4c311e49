// One node of the fleet: everything between callers and targets.
//
//     node_options options{.host = host_id("austin-1"),
//                          .platform_url = "http://10.0.0.1:7000"};
//     auto made = node::start(options, clock);
//     ... made.value()->caller_address() serves callers ...
//     made.value()->shut_down(seconds(60)); // graceful
//
// A request is carried by one worker of the HTTP server from admission to
// bill. Everything that recurs (heartbeats, refills, looks at targets and at
// the configuration) runs on background threads.
//
// Lock order, outermost first; each part states its own locks:
//
//     configuration_service, member_service, target_service, ledger_service
//     (none of them is held while another one's is taken), then
//     budget_agent, then allotment stripes;
//     router, request_table, suspect_list, metrics: leaves.
//
// order_service takes no locks: one background thread runs it.
//
// No lock is held during a call to the platform, a peer or a target, except a
// committer's own flush lock.

#ifndef FENNELLADDER_NODE_NODE_HPP
#define FENNELLADDER_NODE_NODE_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/history/recorder.hpp"
#include "fennelladder/node/fault_links.hpp"
#include "fennelladder/peer/peer_service.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fennelladder::node {

/// Settings of a node; see `fennelladder serve --help`.
struct node_options
{
    host_id host;
    data_center_id data_center;
    region_id region;
    std::string caller_listen = "127.0.0.1:0"; ///< "IP:port" for callers.
    std::string peer_listen = "127.0.0.1:0";   ///< "IP:port" for nodes.
    std::string platform_url;                  ///< "http://IP:PORT".
    std::vector<peer::peer_address> seeds;     ///< Nodes to ask when starting.
    int threads = 256;                         ///< Requests carried at once.
    std::uint32_t shards = 16; ///< Of the journal, if it is new.
    duration flush_interval = milliseconds(100); ///< Of a shard's owner.
    duration load_interval = milliseconds(250);  ///< Between looks at targets.
    std::uint64_t seed = 0; ///< Of random choices; drawn by `serve`.

    /// Writes down what the node does; null: nothing. Must outlive the node.
    history::recorder* history = nullptr;
};

/// Thread safe.
class node
{
public:
    /// Starts serving. Takes no work until a configuration is in force and
    /// the journal's layout is known. Fails with `unavailable` when an address
    /// can't be listened on. `time` must outlive the node.
    static result<std::unique_ptr<node>> start(const node_options& options,
                                               const clock& time);

    /// Ends without leaving in order if shut_down() was not called.
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// "IP:port" for callers.
    std::string caller_address() const;

    /// "IP:port" for other nodes.
    peer::peer_address peer_address() const;

    const incarnation_id& incarnation() const;

    /// Configuration in force; 0 when there is none yet.
    generation in_force() const;

    /// Takes requests: a configuration is in force, and it isn't leaving.
    bool takes_work() const;

    /// Other nodes believed up.
    std::size_t peers_up() const;

    /// Leaves in order: out of the entry answers first, new work turned away
    /// with another address, then streams are finished, bills flushed and
    /// tokens returned. True if all of it was done within `limit`.
    bool shut_down(duration limit);

    /// Ends as a crash does: connections break off, and nothing of this node
    /// reaches platform or peers any more. For tests, trials and drills.
    void die();

    /// Cuts between this node and others.
    fault_links& links();

private:
    struct parts;
    explicit node(std::unique_ptr<parts> made);

    std::unique_ptr<parts> parts_;
};

} // namespace fennelladder::node

#endif
