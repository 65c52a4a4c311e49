// How an entry node of the simulated fleet routes: the product's scheduler, or
// one of the baselines that it is measured beside.
//
// The baselines see the same late reports and cache events and correct them
// by their own requests in flight in the same way. They send each request at
// once, and leave its wait to the engine, which serves by priority.

#ifndef FENNELLADDER_BENCH_ROUTING_POLICY_HPP
#define FENNELLADDER_BENCH_ROUTING_POLICY_HPP

#include "fennelladder/routing/scheduler.hpp"

#include <memory>
#include <string>
#include <vector>

namespace fennelladder::bench {

/// Number of a request in the simulation.
using flight = std::uint64_t;

/// What a node wants done.
struct node_actions
{
    struct send
    {
        flight request;
        target_id target;
    };

    std::vector<send> sent;
    std::vector<flight> shed;
    std::vector<flight> preempted;
};

/// An entry node. Not thread safe.
class entry_node
{
public:
    virtual ~entry_node() = default;
    virtual void add_target(const routing::target_info& info, instant now) = 0;
    virtual void load_reported(const target_id& id,
                               const routing::load_report& load,
                               instant now) = 0;
    virtual void cache_changed(const target_id& id,
                               const routing::cache_event& event) = 0;
    virtual void submit(flight request, const routing::route_request& route,
                        instant now, node_actions& todo) = 0;
    virtual void finished(flight request, const routing::attempt_result& result,
                          instant now, node_actions& todo) = 0;
    virtual void preempted(flight request, std::uint32_t produced, instant now,
                           node_actions& todo) = 0;
    virtual void poll(instant now, node_actions& todo) = 0;
};

/// Names of the baselines.
const std::vector<std::string>& baseline_names();

/// The replica selection of Lu and McKinley, "Searching a Terabyte of Text
/// Using Partial Replication": the most relevant replica, unless its predicted
/// response time, average x (1 + waiting), is much above another's.
constexpr const char* paper_policy = "relevance_then_response";

/// The product's own policy.
constexpr const char* product_policy = "fennelladder";

/// A node that routes by the named policy. Precondition: the name is
/// product_policy, paper_policy or one of baseline_names().
std::unique_ptr<entry_node> make_node(const std::string& policy,
                                      const routing::scheduler_options& options,
                                      std::uint64_t seed);

} // namespace fennelladder::bench

#endif
