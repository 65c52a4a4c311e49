// Finds out whether a target that broke off an answer has died, and blames
// the requests that ran there if it has.
//
//     prober.broke(target, mark, now);
//
// A broken answer alone says little: answers get lost on targets that live.
// The prober dials the target; a connection is kept for the next request, a
// refusal or silence is the death of the target, and then every request whose
// answer broke there at about that time is noted in the poison list, and the
// other nodes are told.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_TARGET_PROBER_HPP
#define FENNELLADDER_EDGE_TARGET_PROBER_HPP

#include "fennelladder/edge/node_tables.hpp"

#include <map>
#include <vector>

namespace fennelladder::edge {

class target_prober
{
public:
    explicit target_prober(node_tables& tables) : tables_(tables) {}

    /// An answer of `target` to the request broke off.
    void broke(const target_id& target, dispatch::request_mark mark);

private:
    awaitable<void> probe(target_id target);
    void blame(const target_id& target);

    node_tables& tables_;
    /// Requests whose answers broke, by target, while a probe is under way.
    std::map<target_id, std::vector<dispatch::request_mark>> suspects_;
};

} // namespace fennelladder::edge

#endif
