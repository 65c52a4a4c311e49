// A fleet in virtual time: entry nodes that route, engines that serve.
//
//     fleet_options options;
//     options.firm = &chao_phraya();
//     options.policy = "least_loaded";
//     options.rate = 500; // requests a second
//     fleet_outcome seen = simulate(options);
//
// Several nodes choose at once, each from reports and cache events that reach
// it late. Same options, same outcome. This is a measure of decisions, not of
// sockets: engines are models, and messages take the time of their way.

#ifndef FENNELLADDER_BENCH_ROUTING_FLEET_HPP
#define FENNELLADDER_BENCH_ROUTING_FLEET_HPP

#include "fennelladder/bench/routing_workload.hpp"
#include "fennelladder/routing/scheduler.hpp"
#include "fennelladder/standin/engine_model.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fennelladder::bench {

/// What is simulated.
struct fleet_options
{
    const deployment* firm = nullptr;
    std::string policy;
    double rate = 100;        ///< Requests a second, at random times.
    std::uint32_t closed = 0; ///< Above 0: that many callers in a closed loop.
    duration warm_up = seconds(30); ///< Until caches are.
    duration length = seconds(40);  ///< Measured, after the warm-up.
    std::uint64_t seed = 1;
    routing::scheduler_options routing;
    standin::engine_options engine; ///< The step is the deployment's.
};

/// Times in milliseconds, from the caller's sending.
struct time_summary
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// What the requests of one kind met with.
struct kind_outcome
{
    std::string name;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t late = 0; ///< Answered after the deadline.
    std::uint64_t shed = 0;

    /// Shed, though a later request of the same node, team and kind started
    /// early enough for this one's deadline: it would have fitted.
    std::uint64_t shed_though_fit = 0;

    /// A request that got no token counts with its deadline.
    time_summary first_token;
    time_summary completion; ///< Answered ones.
};

/// What a run came to; counts are of requests sent after the warm-up.
struct fleet_outcome
{
    std::vector<kind_outcome> kinds;
    kind_outcome all;
    kind_outcome urgent; ///< Kinds of rank 0 together.
    double answers_per_second = 0;
    double in_time_per_second = 0;
    double hit_share = 0; ///< Prompt tokens that were cached.
    double engine_ms_per_answer = 0;
    double prefilled_per_answer = 0;
    double preempted_by_nodes = 0;
    double preempted_by_engines = 0;
};

/// Runs the fleet. Thread safe.
fleet_outcome simulate(const fleet_options& options);

} // namespace fennelladder::bench

#endif
