// What control costs and how quickly it works: membership, the spread of
// configurations and the issuers of orders, in one process and virtual time.
//
//     control_outcome seen = measure_control({.nodes = 340});
//
// Tables, messages and issuers are the product's own; the network, the
// platform and the engines are small fakes. Every membership message is
// encoded and decoded. The times of the fakes are those of the constants in
// the source; the engines are always as they should be.
//
// Not in the figures: the HTTP calls that read engines back (their number is
// given), and the protocol that carries the messages below their encoding.

#ifndef FENNELLADDER_BENCH_CONTROL_FLEET_HPP
#define FENNELLADDER_BENCH_CONTROL_FLEET_HPP

#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fennelladder::bench {

struct control_options
{
    std::size_t nodes = 8;
    duration quiet = seconds(60); ///< Measured without any change.
    std::size_t changes = 5;      ///< Configurations, each way.
    std::size_t deaths = 5;       ///< Hosts that die, each way.
    std::size_t change_bytes = 0; ///< What a change makes a node fetch.
    std::size_t changes_a_day = 320;
    std::uint64_t seed = 1;
};

/// Seconds over several tries.
struct delay_summary
{
    double median = 0;
    double longest = 0;
};

/// Bytes and messages that one node sends in a second.
struct traffic
{
    double bytes = 0;      ///< Mean over the nodes.
    double most_bytes = 0; ///< Of the busiest node.
    double messages = 0;   ///< Requests and replies, mean.
};

struct control_outcome
{
    std::size_t nodes = 0;
    double join_seconds = 0; ///< All start at once, until all tables agree.
    traffic quiet;
    traffic restarting;         ///< While a node restarts every ten seconds.
    double fetched_bytes = 0;   ///< Configuration, per node and second.
    double core_share = 0;      ///< Of a core, per node, in quiet times.
    double memory_bytes = 0;    ///< Heap per node.
    double platform_calls = 0;  ///< A second, of the whole fleet.
    double platform_writes = 0; ///< Of these.
    double engine_reads = 0;    ///< A second, of the whole fleet.
    delay_summary config_with_platform;
    delay_summary config_without_platform;
    delay_summary silent_death; ///< Until in no node's entry answers.
    delay_summary refused_death;
    delay_summary draining;
    double entry_most = 0;  ///< Callers of the busiest node, mean is 1.
    double entry_least = 0; ///< Likewise of the idlest.
    double entry_moved = 0; ///< Share of callers moved when a node left,
                            ///< over its fair share; 1 is the least possible.
};

/// Runs one fleet. Takes seconds of real time at 340 nodes.
control_outcome measure_control(const control_options& options);

/// Bytes that a node fetches when one budget of a manifest of this size
/// changes: root, directory and the parts that differ.
std::size_t bytes_of_one_change(std::size_t budgets, std::size_t teams,
                                std::size_t targets);

} // namespace fennelladder::bench

#endif
