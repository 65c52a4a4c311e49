// One node of the fleet: owns and connects its components, starts them, and
// shuts down gracefully.
//
//     edge_node node(io, clock, settings, options);
//     if (auto ok = node.start(); !ok) ...
//     node.run();                       // returns after SIGTERM was handled
//
// Shutdown after SIGTERM: the node reports that it isn't ready and tells its
// peers, but continues to serve, since callers still hold entry answers that
// name it, but for requests that usually take longer than is left. Then, at
// half of the grace period at the latest, it accepts no connections and refuses
// new requests ("not run"). Requests that are under way shortly before the
// period ends are answered with a failure; streams that were begun are cut.
// Then it transfers its tokens to other nodes and stops.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_EDGE_NODE_HPP
#define FENNELLADDER_EDGE_EDGE_NODE_HPP

#include "fennelladder/edge/caller_server.hpp"
#include "fennelladder/edge/entry_planner.hpp"
#include "fennelladder/edge/link_prober.hpp"
#include "fennelladder/edge/mesh_node.hpp"
#include "fennelladder/edge/platform_feed.hpp"
#include "fennelladder/edge/simple_server.hpp"
#include "fennelladder/telemetry/line_writer.hpp"

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

namespace fennelladder::edge {

struct edge_node_options
{
    std::string settings_path;   ///< Reloaded on SIGHUP and when it changes.
    std::string settings_text;   ///< The text that `settings` was parsed from.
    std::string metrics_address; ///< IP:port; empty to disable metrics.
    std::string metrics_path = "/metrics";
    tuning_options tuning;
    /// How long callers may cache entry answers; a caller may use a failed
    /// node's address for this long.
    duration entry_validity = seconds(2);
    /// How long callers are still served after SIGTERM. Should exceed
    /// `entry_validity`, so that the entry answers that name this node expire.
    duration drain_delay = milliseconds(2500);
};

class edge_node
{
public:
    edge_node(asio::io_context& io, const clock& time,
              adapter::host_settings settings, edge_node_options options,
              telemetry::line_writer& log);

    /// Starts all servers and background tasks. Fails if an address can't be
    /// used.
    status start();

    /// Runs the event loop until the node has shut down, and measures its load.
    void run();

private:
    status start_servers();
    awaitable<void> watch_signals();
    awaitable<void> leave();
    awaitable<void> run_periodic_tasks();
    awaitable<void> probe_backlog();
    void add_seed_nodes();
    void reload_settings();
    void log_tokens();
    std::vector<entry_node> entry_nodes() const;
    simple_response answer_entry(const simple_request& request);
    simple_response answer_readiness(const simple_request& request);
    simple_response answer_metrics(const simple_request& request);
    void update_gauges();
    void update_caller_gauges();

    asio::io_context& io_;
    const edge_node_options options_;
    telemetry::line_writer& log_;
    node_tables tables_;
    platform_client client_;
    mesh_node mesh_;
    token_allocator allocator_;
    stream_origin_exchange origins_;
    quarantine_exchange quarantine_;
    platform_feed feed_;
    link_prober links_;
    request_driver driver_;
    caller_server callers_;
    std::vector<std::unique_ptr<simple_server>> servers_;
    asio::signal_set signals_;
    std::string settings_text_; ///< The last text that was valid.
};

} // namespace fennelladder::edge

#endif
