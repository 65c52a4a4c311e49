// The configuration in force, in the form in which a node uses it: routes,
// services, teams and limits for callers.
//
//     const route* found = config.find_route("shop.example", "/tickets/7");
//     const team* payer = config.find_team_by_key(key);
//
// A configuration is immutable once built. Nodes share it by pointer, so that
// a request keeps the one it started with. The constructor sorts the routes
// once; find_route() costs one hash lookup and a scan of the routes of that
// host name.

#ifndef FENNELLADDER_CATALOG_CONFIGURATION_HPP
#define FENNELLADDER_CATALOG_CONFIGURATION_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/base/tokens.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::catalog {

using route_id = text_id<struct route_tag>;

/// Version of a configuration, assigned by its author; increases in uneven
/// steps.
using configuration_version = number_id<struct configuration_version_tag>;

/// Whether requests of a route may be retried.
enum class repeat_rule : std::uint8_t
{
    idempotent,  ///< A request may run any number of times.
    at_most_once ///< A request may run once at most.
};

/// One service of a route and its share of the route's requests.
struct weighted_service
{
    service_id service;
    double weight = 1;
};

struct route
{
    route_id id;
    std::string host_name; ///< As in the Host header, in lower case.
    std::string path_prefix;
    repeat_rule repeats = repeat_rule::at_most_once;
    bool streams = false; ///< The response is an event stream.
    /// A broken stream may be resumed at another target.
    bool resumable = false;
    bool is_public = false;  ///< Requires no key.
    bool has_prompt = false; ///< Carries a prompt and is paid in tokens.
    duration timeout{0};     ///< Time limit until the last byte.
    duration objective{0};   ///< Desired latency of the (first) answer.
    /// Desired longest gap between two events of a stream.
    duration event_gap_objective{0};
    int urgency = 0;     ///< 0 is the most urgent.
    int max_targets = 1; ///< Most targets that may run one request.
    /// Regions in which its requests may run; empty: any.
    std::vector<region_id> regions;
    std::vector<weighted_service> services;
};

/// Properties of the engines of a service that serves a language model.
struct engine_traits
{
    std::uint32_t slots = 0;
    tokens cache_size; ///< KV cache capacity in prompt and answer tokens.
    std::uint32_t tokens_per_event{}; ///< Most answer tokens in one event.
};

struct service
{
    service_id id;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Per target, over all nodes.
    duration cold_start{0}; ///< How long a target stays cold after its start.
    /// Requests per second that a cold target takes; 0: unlimited.
    double cold_rate = 0;
    std::optional<engine_traits> engine;
};

struct team
{
    team_id id;
    std::vector<std::string> keys;
    std::optional<int> urgency;     ///< Overrides the route's.
    std::optional<tokens> prepaid;  ///< Daily total; unset: unmetered.
    std::vector<region_id> regions; ///< As for a route.
};

/// Limits on the size and duration of a caller's request.
struct caller_limits
{
    std::uint32_t header_bytes = 16'384;
    std::uint64_t body_bytes = 1'048'576;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

/// Contents of a configuration, without indexes.
struct configuration_parts
{
    configuration_version version;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<team> teams;
    /// Teams are configured, so callers must present a key.
    bool needs_keys = false;
    caller_limits limits;
};

/// Regions in which a request may run; unset: any. If both the route and the
/// team name regions, only the common ones are allowed, which may be none.
using allowed_regions = std::optional<std::vector<region_id>>;

/// Regions allowed by the route and its team; `payer` may be null. Thread safe.
allowed_regions regions_for(const route& matched, const team* payer);

/// Immutable, therefore thread safe.
class configuration
{
public:
    explicit configuration(configuration_parts parts);

    configuration_version version() const { return parts_.version; }

    /// The route with the longest path prefix of `path` (given without its
    /// query), or nullptr. `host_name` may include a port and be in any case.
    const route* find_route(std::string_view host_name,
                            std::string_view path) const;

    /// Regions that all routes of the host name allow; unset: any. For callers
    /// that ask which node to connect to before they name a route.
    allowed_regions regions_of_host(std::string_view host_name) const;

    const team* find_team_by_key(std::string_view key) const;
    const team* find_team(const team_id& id) const;
    const service* find_service(const service_id& id) const;

    const configuration_parts& parts() const { return parts_; }

private:
    configuration_parts parts_;
    // Indexes into parts_, which never changes after construction.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    std::unordered_map<std::string, std::size_t> by_key_;
    std::unordered_map<team_id, std::size_t> by_team_;
    std::unordered_map<service_id, std::size_t> by_service_;
};

/// The host name without its port, in lower case. Thread safe.
std::string normalize_host_name(std::string_view host_name);

} // namespace fennelladder::catalog

#endif
