// Determines whether a target that broke off a response has died, and if so
// marks the requests that ran there as suspects.
//
//     prober.on_broken_answer(process, mark);
//
// A broken response alone is weak evidence: responses also get lost on targets
// that are alive. The prober connects to the target. If that succeeds, the
// connection is kept for the next request. If it is refused or times out, and
// no peer can connect either, the target counts as dead: every request whose
// response broke off there at about that time is added to the poison list, and
// the other nodes are told.
//
// A target may restart under the same id so soon that its new process accepts
// the connection. A process also counts as dead if its target is listed with a
// later start time, before the response broke off or within seconds after it.
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

    /// Call when a response of `target` to the request broke off.
    void on_broken_answer(const catalog::target_process& target,
                          dispatch::request_fingerprint mark);

    /// Call when the request got no complete response for another reason. Only
    /// makes the request a suspect if the process is known to have ended.
    void on_unfinished_request(const catalog::target_process& target,
                               dispatch::request_fingerprint mark);

private:
    using suspect_list = std::vector<dispatch::request_fingerprint>;

    awaitable<void> probe(catalog::target_process target);
    awaitable<bool> is_unreachable(catalog::target_process target);
    awaitable<bool> is_reached_by_peer(catalog::target_process target);
    bool has_restarted(const catalog::target_process& target) const;
    void record_death(const catalog::target_process& target,
                      const suspect_list& suspects);

    node_tables& tables_;
    /// Requests whose responses broke off, by target, while it is being probed.
    std::map<catalog::target_process, suspect_list> suspects_;
};

} // namespace fennelladder::edge

#endif
