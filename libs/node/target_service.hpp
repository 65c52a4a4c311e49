// Targets as the node works with them: a client each, looked at from time to
// time, and a gate for requests that must run alone.

#ifndef FENNELLADDER_LIBS_NODE_TARGET_SERVICE_HPP
#define FENNELLADDER_LIBS_NODE_TARGET_SERVICE_HPP

#include "background.hpp"
#include "configuration_service.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/request/suspect_list.hpp"
#include "fennelladder/routing/router.hpp"
#include "fennelladder/target/http_target_client.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace fennelladder::node {

/// One target while it is part of the configuration.
struct known_target
{
    manifest::target config;
    std::unique_ptr<target::target_client> client;

    // Guarded by mutex. A request that must run alone waits until `running`
    // is zero, and keeps others out by `alone`.
    std::mutex mutex;
    std::condition_variable changed;
    int running = 0;
    bool alone = false;

    // Guarded by mutex as well: what the last looks brought.
    request::target_life life;
    std::uint64_t events_after = 0;
    int failed_looks = 0; ///< In a row.
    bool leaving = false; ///< It said so, or can't be reached.
};

using target_pointer = std::shared_ptr<known_target>;

/// Thread safe. Locks: mutex_, then that of a known_target; no call goes out
/// under either.
class target_service
{
public:
    /// All references must outlive the service.
    target_service(http::client& connections, routing::router& routes,
                   request::suspect_list& suspects, const clock& time,
                   call_queue& calls);

    /// A new configuration: targets come and go.
    void apply(const manifest_pointer& config);

    /// Starts looks that are due. Call every load_interval.
    void tick();

    target_pointer find(const target_id& id) const;

    /// Waits for its turn at the target; false if `limit` ran out.
    static bool enter(known_target& it, bool alone, duration limit);
    static void leave(known_target& it, bool alone);

    /// A stream to the target broke: asks over a fresh connection whether it
    /// lives. Tells the suspect list. True if it lives.
    bool probe(known_target& it);

    /// The host list says that these targets are leaving.
    void set_leaving(const std::vector<target_id>& targets);

private:
    void look(const target_pointer& it);
    void look_at_load(const target_pointer& it);
    void note_look(known_target& it, bool reached, bool leaving);
    void look_at_cache(const target_pointer& it);

    http::client& connections_;
    routing::router& routes_;
    request::suspect_list& suspects_;
    const clock& clock_;
    call_queue& calls_;

    mutable std::mutex mutex_; // guards targets_
    std::map<target_id, target_pointer> targets_;
};

} // namespace fennelladder::node

#endif
