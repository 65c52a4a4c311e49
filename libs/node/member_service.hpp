// The node's view of the other nodes: carries heartbeats, keeps the table,
// answers entry questions.

#ifndef FENNELLADDER_LIBS_NODE_MEMBER_SERVICE_HPP
#define FENNELLADDER_LIBS_NODE_MEMBER_SERVICE_HPP

#include "background.hpp"
#include "fennelladder/membership/entry_planner.hpp"
#include "fennelladder/membership/member_table.hpp"
#include "fennelladder/node/node.hpp"
#include "fennelladder/peer/peer_service.hpp"
#include "fennelladder/platform/host_list.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <vector>

namespace fennelladder::node {

/// Another node as the rest of the node needs to know it.
struct peer_info
{
    host_id host;
    incarnation_id life;
    data_center_id data_center;
    std::string caller_address;
    peer::peer_address address;
    bool up = false;      ///< Believed to run.
    bool serving = false; ///< Up, and takes work.
    bool listed = false;  ///< On the host list.
    instant changed_at;   ///< When its health last changed.
    generation in_force;
};

/// All other nodes, up or not, as of one moment.
using peer_view = std::vector<peer_info>;

/// Thread safe. Locks: mutex_ and view_mutex_, never both.
class member_service
{
public:
    /// All references must outlive the service.
    member_service(const node_options& options, const incarnation_id& self,
                   peer::peer_network& peers, const clock& time,
                   call_queue& calls);

    /// The addresses are known; heartbeats may begin.
    void describe(const std::string& caller_address,
                  const peer::peer_address& address);

    /// Sends what is due. Call every 100 ms.
    void tick();

    void set_state(membership::member_state state);
    void set_load(std::uint32_t thousandths);
    void set_generations(generation highest, generation in_force);
    void set_host_list(const std::vector<platform::listed_host>& hosts);

    /// Answers a heartbeat.
    result<std::string> on_heartbeat(std::string_view bytes);

    std::shared_ptr<const peer_view> peers() const;

    /// The peer of that life if it is up, or nothing.
    std::optional<peer_info> find(const incarnation_id& life) const;

    membership::entry_answer
    entry(const membership::entry_request& request) const;

    /// How many nodes up come before this one for a duty (see member_table).
    std::size_t rank(std::string_view duty, bool everywhere) const;

private:
    void send_due();
    void send_soon();
    void send(const membership::outgoing& it);
    void refresh_view();

    const node_options& options_;
    const incarnation_id self_;
    peer::peer_network& peers_;
    const clock& clock_;
    call_queue& calls_;

    std::atomic<bool> sending_soon_{false}; // send_due() is in calls_
    mutable std::mutex mutex_;              // guards table_
    std::unique_ptr<membership::member_table> table_;

    mutable std::shared_mutex view_mutex_; // guards the two below
    std::shared_ptr<const peer_view> view_;
    membership::entry_planner planner_;
};

} // namespace fennelladder::node

#endif
