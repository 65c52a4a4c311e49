// How a process divides the memory and descriptors that its settings give it
// among its listeners. docs/CAPACITY.md adds up what each may hold at most.
//
//     const caller_server_limits limits = limits_for(settings);
//
// Pure computation. Thread safe.

#ifndef FENNELLADDER_EDGE_HOST_SHARES_HPP
#define FENNELLADDER_EDGE_HOST_SHARES_HPP

#include "fennelladder/dispatch/buffer_budget.hpp"
#include "platform/host_settings.hpp"

#include <cstddef>

namespace fennelladder::edge {

/// Load limits of a caller_server.
struct caller_server_limits
{
    std::size_t connections = 2000;
    std::size_t requests = 600;          ///< In flight at once.
    std::size_t body_bytes = 16'000'000; ///< Held by these.
    /// Held by all requests and responses, from their first byte on.
    std::size_t buffered_bytes = 20'000'000;
};

/// Descriptors for sockets. The others are reserved for files.
std::size_t sockets_of(const adapter::host_settings& settings);

caller_server_limits limits_for(const adapter::host_settings& settings);

dispatch::buffer_limits buffer_limits_of(const caller_server_limits& limits);

/// Connections that peers may have open at once, relays among them.
std::size_t peer_connections_for(const adapter::host_settings& settings);

/// Connections that are relayed for peers at once.
std::size_t relays_for(const adapter::host_settings& settings);

/// Bytes of the platform's replies that are read at once, over all calls.
std::size_t platform_replies_for(const adapter::host_settings& settings);

/// Connections of one simple_server.
std::size_t simple_connections_for(const adapter::host_settings& settings);

} // namespace fennelladder::edge

#endif
