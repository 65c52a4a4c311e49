// Keeps the configuration in force: makes the calls that the holder decides
// on, and tells the rest of the node about a new generation.

#ifndef FENNELLADDER_LIBS_NODE_CONFIGURATION_SERVICE_HPP
#define FENNELLADDER_LIBS_NODE_CONFIGURATION_SERVICE_HPP

#include "background.hpp"
#include "fennelladder/manifest/active_manifest.hpp"
#include "fennelladder/manifest/configuration_holder.hpp"
#include "fennelladder/platform/object_store.hpp"
#include "member_service.hpp"

#include <functional>
#include <memory>
#include <mutex>

namespace fennelladder::node {

using manifest_pointer = std::shared_ptr<const manifest::active_manifest>;

/// Thread safe. Lock: mutex_, a leaf; no call goes out under it.
class configuration_service
{
public:
    /// `on_change` is called with each new configuration, on a background
    /// thread, in order. All references must outlive the service.
    configuration_service(
        const node_options& options, const incarnation_id& self,
        platform::object_store& store, peer::peer_network& peers,
        member_service& members, const clock& time, call_queue& calls,
        std::function<void(const manifest_pointer&)> on_change);

    /// Decides and starts calls. Call every 100 ms.
    void tick();

    /// Waits for a new root at the platform, if this node is one of those in
    /// its data center that do. Blocks for seconds; call again and again.
    void watch();

    /// Writes this node's status object when it is due or has news.
    void write_status(bool takes_work);

    /// What is in force, or nullptr.
    manifest_pointer in_force() const { return slot_.load(); }

    generation highest_seen() const;
    bool may_take_work() const;

    /// A peer asks for the root (empty) or a part in force here.
    result<std::string> answer(std::string_view part) const;

private:
    void make(const manifest::fetch& what);
    void finish(const manifest::fetch& what, const result<std::string>& bytes);
    void announce_peers();
    void after_event();

    const node_options& options_;
    const incarnation_id self_;
    platform::object_store& store_;
    peer::peer_network& peers_;
    member_service& members_;
    const clock& clock_;
    call_queue& calls_;
    const std::function<void(const manifest_pointer&)> on_change_;

    mutable std::mutex mutex_; // guards holder_ and watched_
    manifest::configuration_holder holder_;
    std::uint64_t watched_ = 0; // revision of the store last watched from

    std::mutex change_mutex_; // makes changes come one by one
    manifest::active_manifest_slot slot_;

    // Used by write_status() only, on one thread.
    generation status_generation_;
    bool status_takes_work_ = false;
    instant status_at_;
};

} // namespace fennelladder::node

#endif
