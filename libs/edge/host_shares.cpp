#include "fennelladder/edge/host_shares.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// Memory estimated per connection of a caller, including kernel buffers, but
/// without what its request holds.
constexpr std::size_t bytes_per_connection = 24'576;

/// Memory of a relayed connection: two copy buffers and the kernel's buffers.
constexpr std::size_t bytes_per_relay = 65'536;

/// The same of a connection to a simple_server: a request, an answer, and the
/// kernel's buffers.
constexpr std::size_t bytes_per_simple_connection = 65'536;

constexpr std::size_t most_requests = 600;
constexpr std::size_t most_peer_connections = 256;
constexpr std::size_t most_simple_connections = 128;
constexpr std::size_t least_simple_connections = 8;

/// The longest object that the platform stores, twice: a reply's buffer grows
/// by doubling.
constexpr std::size_t least_platform_replies = 2'200'000;

/// Descriptors that the platform reserves for files.
constexpr std::size_t file_descriptors = 200;

std::size_t memory_of(const adapter::host_settings& settings)
{
    return std::size_t(settings.memory_mb) * 1'000'000;
}

} // namespace

std::size_t sockets_of(const adapter::host_settings& settings)
{
    const std::size_t all = settings.descriptors;
    return std::max(all - std::min(all, file_descriptors), all / 2);
}

/// A third of the memory for connections, a quarter for what callers send or
/// have not read, of which a fifth of the memory for requests in flight.
caller_server_limits limits_for(const adapter::host_settings& settings)
{
    const std::size_t memory = memory_of(settings);
    const std::size_t sockets = sockets_of(settings);
    caller_server_limits out;
    out.connections = std::min(memory / 3 / bytes_per_connection, sockets / 2);
    out.requests = std::min(most_requests, sockets / 4);
    out.body_bytes = memory / 5;
    out.buffered_bytes = memory / 4;
    return out;
}

dispatch::buffer_limits buffer_limits_of(const caller_server_limits& limits)
{
    return {limits.buffered_bytes, limits.body_bytes, limits.requests};
}

std::size_t peer_connections_for(const adapter::host_settings& settings)
{
    return std::clamp<std::size_t>(sockets_of(settings) / 8, 1,
                                   most_peer_connections);
}

std::size_t relays_for(const adapter::host_settings& settings)
{
    return std::min(memory_of(settings) / 8 / bytes_per_relay,
                    sockets_of(settings) / 16);
}

std::size_t platform_replies_for(const adapter::host_settings& settings)
{
    return std::max(memory_of(settings) / 16, least_platform_replies);
}

std::size_t simple_connections_for(const adapter::host_settings& settings)
{
    const std::size_t fits =
        std::min(memory_of(settings) / 32 / bytes_per_simple_connection,
                 sockets_of(settings) / 48);
    return std::clamp(fits, least_simple_connections, most_simple_connections);
}

} // namespace fennelladder::edge
