// Requests that wait for a target, and who of them is next.
//
//     admission_queue queue(options);
//     if (auto gone = queue.push(entry))
//         shed(*gone);               // full: the least entitled one goes
//     const waiting_request* next = queue.front(rank, pool);
//     queue.take(next->ticket);      // it starts now
//     for (ticket_id it : queue.take_overdue(now))
//         shed(it);                  // can't make their deadline any more
//
// Order. Ranks are strict: whoever uses the queue serves rank 0 first. Within
// a rank and pool teams share by work, not by number of requests, and a team
// that was idle gets no credit for it. Within a team preempted requests come
// first, then the one that has to start soonest.
//
// Bound. At most max_waiting requests wait. When one more comes, the one that
// goes is of the last rank that waits, of the team with the most requests in
// it, and of those the one that has to start last: a team that floods the
// queue displaces itself. Preempted requests neither count nor go, since part
// of their answer is already with the caller; their number is bounded by what
// was in flight.
//
// Not thread safe.

#ifndef FENNELLADDER_ROUTING_ADMISSION_QUEUE_HPP
#define FENNELLADDER_ROUTING_ADMISSION_QUEUE_HPP

#include "fennelladder/routing/types.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::routing {

/// A request that waits.
struct waiting_request
{
    ticket_id ticket; ///< Grows with arrival.
    team_id team;
    pool_id pool;
    priority rank = 0;
    double work = 1; ///< In any unit that all requests share; > 0.
    instant start_by;
    bool preempted = false;
};

/// Bounds of an admission_queue.
struct admission_queue_options
{
    std::size_t max_waiting = 512;
};

class admission_queue
{
public:
    explicit admission_queue(admission_queue_options options = {})
        : options_(options)
    {}

    /// Puts a request in. Returns the one that has to go for it, which may be
    /// itself. Precondition: its ticket isn't in the queue.
    std::optional<ticket_id> push(const waiting_request& request);

    /// The next one of a rank and pool, or nullptr. Valid until a change.
    const waiting_request* front(priority rank, pool_id pool) const;

    /// Takes a request out because it starts: its team is charged its work.
    /// Precondition: it is the front of its rank and pool.
    void take(ticket_id ticket);

    /// Takes a request out that won't start. False if it isn't in the queue.
    bool remove(ticket_id ticket);

    /// Takes out and returns those that had to start before `now`.
    std::vector<ticket_id> take_overdue(instant now);

    /// Pools with requests of this rank, in order of their number.
    std::vector<pool_id> pools(priority rank) const;

    /// Work that would start before a new request of this team: what waits in
    /// the pool at higher ranks, and at its own rank what the team's share
    /// leaves ahead of it.
    double work_ahead(const team_id& team, priority rank, pool_id pool) const;

    /// The first instant at which a request becomes overdue.
    std::optional<instant> next_overdue() const;

    std::size_t size() const { return entries_.size(); }

    std::size_t size(priority rank) const;

private:
    // Place within a team: preempted first, then by start_by, then arrival.
    struct place
    {
        bool fresh;
        instant start_by;
        ticket_id ticket;

        friend auto operator<=>(const place&, const place&) = default;
    };

    // A team's requests of one rank and pool. `served` is the work charged so
    // far on the lane's virtual clock.
    struct flow
    {
        double served = 0;
        double work = 0;
        std::set<place> places;
    };

    // Invariant: `active` holds (served, team) of the flows with requests;
    // `clock` is never above the least of them.
    struct lane
    {
        double clock = 0;
        double work = 0;
        std::map<team_id, flow> flows;
        std::set<std::pair<double, team_id>> active;
    };

    // Requests that may be displaced, per rank: (count, pool, team).
    struct crowd
    {
        std::size_t count;
        pool_id pool;
        team_id team;

        friend auto operator<=>(const crowd&, const crowd&) = default;
    };

    struct rank_lanes
    {
        std::map<pool_id, lane> lanes;
        std::map<std::pair<pool_id, team_id>, std::size_t> counts;
        std::set<crowd> crowds;
        std::size_t size = 0;
    };

    void insert(const waiting_request& request);
    waiting_request extract(ticket_id ticket, bool charge);
    void count(const waiting_request& request, int change);
    ticket_id least_entitled() const;
    static void drop_idle_flows(lane& in);
    static place place_of(const waiting_request& request);

    admission_queue_options options_;
    std::unordered_map<ticket_id, waiting_request> entries_;
    std::array<rank_lanes, priority_levels> ranks_;
    std::set<std::pair<instant, ticket_id>> due_;
    std::size_t displaceable_ = 0;
};

} // namespace fennelladder::routing

#endif
