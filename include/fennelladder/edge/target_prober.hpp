// Finds out whether a target that broke off an answer has died, and blames
// the requests that ran there if it has.
//
//     prober.on_broken_answer(process, mark);
//
// A broken answer alone says little: answers get lost on targets that live.
// The prober dials the target; a connection is kept for the next request, a
// refusal or silence is the death of the target, and then every request whose
// answer broke there at about that time is noted in the poison list, and the
// other nodes are told.
//
// A target may start again under its id so soon that its new process takes the
// dial. A process whose target is listed with a later start, before an answer
// broke or within seconds after it, has died as well.
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
    void on_broken_answer(const catalog::target_process& target,
                          dispatch::request_mark mark);

    /// The request had no whole answer for another reason. It says something of
    /// the request only if the process is known to be over.
    void on_unfinished_request(const catalog::target_process& target,
                               dispatch::request_mark mark);

private:
    using suspect_list = std::vector<dispatch::request_mark>;

    awaitable<void> probe(catalog::target_process target);
    awaitable<bool> is_unreachable(catalog::target_process target);
    bool started_again(const catalog::target_process& target) const;
    void blame(const catalog::target_process& target,
               const suspect_list& suspects);

    node_tables& tables_;
    /// Requests whose answers broke, by target, while a probe is under way.
    std::map<catalog::target_process, suspect_list> suspects_;
};

} // namespace fennelladder::edge

#endif
