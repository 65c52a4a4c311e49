// Determines whether a target that broke off a response has died, and if so
// reports the requests that ran there (dispatch/quarantine.hpp).
//
//     prober.on_broken_answer(process, run);
//     co_await prober.settled(process, until);
//
// A broken response alone is weak evidence: responses also get lost on targets
// that are alive. The prober connects to the target. If that succeeds, the
// connection is kept for the next request. If it is refused or times out, and
// no peer can connect either, the target counts as dead: every request whose
// response broke off there at about that time is reported.
//
// A target may restart under the same id so soon that its new process accepts
// the connection. A process also counts as dead if its target is listed with a
// later start time, before the response broke off or within seconds after it.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_TARGET_PROBER_HPP
#define FENNELLADDER_EDGE_TARGET_PROBER_HPP

#include "fennelladder/edge/quarantine_exchange.hpp"

#include <map>
#include <vector>

namespace fennelladder::edge {

/// A run that broke off.
struct broken_run
{
    std::vector<dispatch::crash_mark> marks; ///< Of the request.
    dispatch::run_place place;
    instant sent;
    instant ended;
    bool leased = false; ///< See dispatch/run_leases.hpp.
};

class target_prober
{
public:
    target_prober(node_tables& tables, quarantine_exchange& exchange)
        : tables_(tables), exchange_(exchange)
    {}

    /// Call when a response of `target` to the request broke off.
    void on_broken_answer(const catalog::target_process& target,
                          broken_run run);

    /// Call when the request got no complete response for another reason. Only
    /// makes the request a suspect if the process is known to have ended, or
    /// ends within seconds.
    void on_unfinished_request(const catalog::target_process& target,
                               const broken_run& run);

    /// Call when a peer saw the process die. Runs that were given up there
    /// shortly before may have caused it.
    void on_reported_death(const catalog::target_process& target);

    /// Waits until it is known whether the process can be reached, at most
    /// until `until`.
    awaitable<void> settled(catalog::target_process target, instant until);

private:
    using run_list = std::vector<broken_run>;

    awaitable<void> probe(catalog::target_process target);
    awaitable<bool> is_unreachable(catalog::target_process target);
    awaitable<bool> is_reached_by_peer(catalog::target_process target);
    bool has_restarted(const catalog::target_process& target) const;
    run_list take_given_up(const catalog::target_process& target);
    void record_death(const catalog::target_process& target,
                      const run_list& runs);

    node_tables& tables_;
    quarantine_exchange& exchange_;
    /// Runs that broke off, by target, while it is being probed.
    std::map<catalog::target_process, run_list> runs_;
    /// Runs that were given up, while their targets may have gone on.
    std::map<catalog::target_process, run_list> given_up_;
};

} // namespace fennelladder::edge

#endif
