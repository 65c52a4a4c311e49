// What the operator has put in force, in the form in which a node uses it:
// routes, services, teams and limits towards callers.
//
//     const route* way = config.find_route("shop.example", "/tickets/7");
//     const team* payer = config.find_team_by_key(key);
//
// A configuration is immutable once built; nodes share it by pointer, so that
// a request keeps the one it began with. Building sorts the routes once;
// find_route() costs one hash and a walk over the routes of that host name.

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

/// Version of a configuration as its author counts: grows in uneven steps.
using configuration_version = number_id<struct configuration_version_tag>;

/// What may be repeated on a route.
enum class repeat_rule : std::uint8_t
{
    idempotent,  ///< May run any number of times.
    at_most_once ///< May run once per request at most.
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
    std::string host_name; ///< As callers write it, in lower case.
    std::string path_prefix;
    repeat_rule repeats = repeat_rule::at_most_once;
    bool streams = false;    ///< The answer is a series of events.
    bool resumable = false;  ///< A broken stream may go on elsewhere.
    bool is_public = false;  ///< Needs no key.
    bool has_prompt = false; ///< Carries a prompt and is paid in tokens.
    duration timeout{0};     ///< Longest time until the last byte.
    duration objective{0};   ///< Time to the (first) answer.
    duration event_gap_objective{0}; ///< Between two events of a stream.
    int urgency = 0;                 ///< 0 is the most urgent.
    int max_targets = 1;             ///< Targets that may run one request.
    /// Where its requests may be run; empty: anywhere.
    std::vector<region_id> regions;
    std::vector<weighted_service> services;
};

/// What a service that serves a language model says of its engines.
struct engine_traits
{
    std::uint32_t slots = 0;
    tokens cache_size;                ///< Prompt and answer tokens in memory.
    std::uint32_t tokens_per_event{}; ///< Answer tokens in one event at most.
};

struct service
{
    service_id id;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Per target, from all nodes.
    duration cold_start{0}; ///< A target is cold for so long after its start.
    double cold_rate = 0;   ///< Requests a second that it bears then; 0: any.
    std::optional<engine_traits> engine;
};

struct team
{
    team_id id;
    std::vector<std::string> keys;
    std::optional<int> urgency;     ///< Instead of the route's.
    std::optional<tokens> prepaid;  ///< Total for the day; unset: unmetered.
    std::vector<region_id> regions; ///< As a route's.
};

/// What a caller may send, and how long it may take.
struct caller_limits
{
    std::uint32_t header_bytes = 16'384;
    std::uint64_t body_bytes = 1'048'576;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
};

/// The parts of a configuration, before they are indexed.
struct configuration_parts
{
    configuration_version version;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<team> teams;
    bool needs_keys = false; ///< Teams are named: callers must show a key.
    caller_limits limits;
};

/// Regions in which a request may be run; unset: anywhere. Where both the route
/// and the team name some, both bind, and none may be left.
using allowed_regions = std::optional<std::vector<region_id>>;

/// `payer` may be null. Thread safe.
allowed_regions regions_for(const route& way, const team* payer);

/// Thread safe, since it never changes.
class configuration
{
public:
    explicit configuration(configuration_parts parts);

    configuration_version version() const { return parts_.version; }

    /// The route with the longest prefix that begins `path` (without its
    /// query), or nullptr. `host_name` may carry a port and any case.
    const route* find_route(std::string_view host_name,
                            std::string_view path) const;

    /// Regions that all routes of the host name allow; unset: any. For callers
    /// that ask where to connect before they say on which route.
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
