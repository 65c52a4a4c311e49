// One node of the fleet on the platform: puts the parts together, starts
// them, and leaves in order.
//
//     edge_node node(io, clock, settings, options);
//     if (auto ok = node.start(); !ok) ...
//     io.run();                         // until SIGTERM has been dealt with
//
// Leaving, from SIGTERM on: the node says it isn't ready and tells the other
// nodes, but serves on, since callers hold older entry answers; then it takes
// no connections and refuses new requests ("not run"); when what it has is
// finished, or the time is over, it hands its tokens on and ends.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_EDGE_NODE_HPP
#define FENNELLADDER_EDGE_EDGE_NODE_HPP

#include "fennelladder/edge/caller_server.hpp"
#include "fennelladder/edge/entry_planner.hpp"
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
    std::string settings_path;   ///< Read again on SIGHUP and when it changed.
    std::string settings_text;   ///< What `settings` was read from.
    std::string metrics_address; ///< IP:port; empty: none.
    std::string metrics_path = "/metrics";
    tuning_options tuning;
    /// Validity of entry answers: callers hear of a dead node this late.
    duration entry_validity = seconds(2);
    /// After SIGTERM callers are still served for this long; their entry
    /// answers have run out by then.
    duration drain_delay = milliseconds(2500);
};

class edge_node
{
public:
    edge_node(asio::io_context& io, const clock& time,
              adapter::host_settings settings, edge_node_options options,
              telemetry::line_writer& log);

    /// Fails with the reason when an address can't be used.
    status start();

private:
    status start_servers();
    awaitable<void> watch_signals();
    awaitable<void> leave();
    awaitable<void> housekeeping();
    void add_seed_nodes();
    void reload_settings();
    void log_tokens();
    std::vector<entry_node> entry_nodes() const;
    simple_answer answer_entry(const simple_request& asked);
    simple_answer answer_readiness(const simple_request& asked);
    simple_answer answer_metrics(const simple_request& asked);
    void update_gauges();

    asio::io_context& io_;
    const edge_node_options options_;
    telemetry::line_writer& log_;
    node_tables tables_;
    platform_client client_;
    mesh_node mesh_;
    token_desk desk_;
    platform_feed feed_;
    request_driver driver_;
    caller_server callers_;
    std::vector<std::unique_ptr<simple_server>> servers_;
    asio::signal_set signals_;
    std::string settings_text_; ///< Last read without a finding.
};

} // namespace fennelladder::edge

#endif
