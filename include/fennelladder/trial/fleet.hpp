// A whole fleet in one process, on loopback: platform, targets and nodes, with
// the faults that a trial brings about.
//
//     auto made = fleet::start(plan, {.seed = 1, .history = recorder});
//     made.value()->begin(fault::store_outage);
//     made.value()->end(fault::store_outage);
//     made.value()->shut_down();

#ifndef FENNELLADDER_TRIAL_FLEET_HPP
#define FENNELLADDER_TRIAL_FLEET_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/history/recorder.hpp"
#include "fennelladder/node/node.hpp"
#include "fennelladder/standin/engine_server.hpp"
#include "fennelladder/standin/platform_server.hpp"
#include "fennelladder/standin/service_server.hpp"
#include "fennelladder/trial/deployment.hpp"

#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace fennelladder::trial {

/// What goes wrong in the middle of a trial.
enum class fault : std::uint8_t
{
    none,
    node_death,
    target_death,
    store_outage,
    partition,
    silent_connection,
    lost_store_reply,
    poison,
    restart ///< All nodes one after the other, gracefully.
};

std::string_view to_string(fault what);

/// Fails with `invalid` on an unknown name, such as "store-outage".
result<fault> parse_fault(std::string_view name);

struct fleet_options
{
    std::uint64_t seed = 1;
    history::recorder* history = nullptr; ///< Outlives the fleet.
    int node_threads = 64;
};

/// Thread safe, but begin(), end() and shut_down() are called by one thread.
class fleet
{
public:
    /// Starts all parts, applies the manifest and waits until every node takes
    /// work. Fails with `unavailable` when a port can't be had or that takes
    /// longer than 20 s.
    static result<std::unique_ptr<fleet>> start(const deployment_plan& plan,
                                                const fleet_options& options,
                                                const clock& time);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    const deployment_plan& plan() const { return plan_; }

    /// "IP:port" of every node that runs.
    std::vector<std::string> addresses() const;

    /// "http://IP:port" of every engine that serves `model`, for callers that
    /// go around the nodes.
    std::vector<std::string> engine_urls(const model_id& model) const;

    void begin(fault what);
    void end(fault what);

    /// All nodes leave in order; true if each finished in time.
    bool shut_down();

    /// Executions at all targets so far.
    std::vector<standin::execution> executions() const;

    /// Crashes of engines so far.
    std::uint32_t crashes() const;

    standin::platform_server& platform() { return *platform_; }

private:
    fleet(const deployment_plan& plan, const fleet_options& options,
          const clock& time);

    status start_targets();
    status apply_manifest();
    status start_node(std::size_t place);
    status wait_until_ready();
    void record_execution(const standin::execution& it);
    void restart_all();
    void tell_hosts();

    const deployment_plan plan_;
    const fleet_options options_;
    const clock& time_;
    std::unique_ptr<standin::platform_server> platform_;
    std::vector<std::unique_ptr<standin::engine_server>> long_engines_;
    std::vector<std::unique_ptr<standin::engine_server>> short_engines_;
    std::vector<std::unique_ptr<standin::service_server>> services_;

    mutable std::mutex mutex_;                       // guards nodes_
    std::vector<std::shared_ptr<node::node>> nodes_; // empty: dead
    std::vector<std::shared_ptr<node::node>> dead_;
    int lives_ = 0;
};

} // namespace fennelladder::trial

#endif
