// Fairness is start-time fair queuing: each team of a lane has a virtual time
// that grows by the work of each request it starts, and the team with the
// least is next. Unlike deficit round robin it can be looked at without being
// changed, which the scheduler needs: it asks who is next before it knows
// whether a target has room. A team that becomes active starts at the lane's
// clock, so idleness earns nothing; one that leaves while ahead of the clock
// is remembered until the clock has passed it, so emptying its queue doesn't
// wash off what it used.
//
// All operations are logarithmic in the queue's length, except pools().

#include "fennelladder/routing/admission_queue.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::routing {

namespace {

/// Idle flows that a lane may remember beyond its active ones.
constexpr std::size_t idle_flows_kept = 64;

priority bounded(priority rank)
{
    return std::min(rank, priority_levels - 1);
}

} // namespace

std::optional<ticket_id> admission_queue::push(const waiting_request& request)
{
    assert(!entries_.contains(request.ticket));
    assert(request.work > 0);
    insert(request);
    if (displaceable_ <= options_.max_waiting)
        return std::nullopt;
    const ticket_id gone = least_entitled();
    extract(gone, false);
    return gone;
}

const waiting_request* admission_queue::front(priority rank, pool_id pool) const
{
    const auto& lanes = ranks_[bounded(rank)].lanes;
    const auto in = lanes.find(pool);
    if (in == lanes.end() || in->second.active.empty())
        return nullptr;
    const team_id& team = in->second.active.begin()->second;
    const flow& next = in->second.flows.at(team);
    return &entries_.at(next.places.begin()->ticket);
}

void admission_queue::take(ticket_id ticket)
{
    extract(ticket, true);
}

bool admission_queue::remove(ticket_id ticket)
{
    if (!entries_.contains(ticket))
        return false;
    extract(ticket, false);
    return true;
}

std::vector<ticket_id> admission_queue::take_overdue(instant now)
{
    std::vector<ticket_id> gone;
    while (!due_.empty() && due_.begin()->first < now) {
        gone.push_back(due_.begin()->second);
        extract(gone.back(), false);
    }
    return gone;
}

std::vector<pool_id> admission_queue::pools(priority rank) const
{
    std::vector<pool_id> found;
    for (const auto& [pool, it] : ranks_[bounded(rank)].lanes) {
        if (!it.active.empty())
            found.push_back(pool);
    }
    return found;
}

double admission_queue::work_ahead(const team_id& team, priority rank,
                                   pool_id pool) const
{
    double ahead = 0;
    for (priority it = 0; it < bounded(rank); ++it) {
        const auto in = ranks_[it].lanes.find(pool);
        if (in != ranks_[it].lanes.end())
            ahead += in->second.work;
    }
    const auto in = ranks_[bounded(rank)].lanes.find(pool);
    if (in == ranks_[bounded(rank)].lanes.end())
        return ahead;
    const lane& own = in->second;
    const auto known = own.flows.find(team);
    const double of_team = known == own.flows.end() ? 0 : known->second.work;
    // Each other team gets at most as much as this one before its turn.
    double others = 0;
    for (const auto& [virtual_time, name] : own.active) {
        if (name != team)
            others += std::min(own.flows.at(name).work, of_team);
    }
    return ahead + of_team + others;
}

std::optional<instant> admission_queue::next_overdue() const
{
    if (due_.empty())
        return std::nullopt;
    return due_.begin()->first;
}

std::size_t admission_queue::size(priority rank) const
{
    return ranks_[bounded(rank)].size;
}

void admission_queue::insert(const waiting_request& request)
{
    rank_lanes& of_rank = ranks_[bounded(request.rank)];
    lane& in = of_rank.lanes[request.pool];
    flow& of_team = in.flows[request.team];
    if (of_team.places.empty()) {
        of_team.served = std::max(of_team.served, in.clock);
        in.active.emplace(of_team.served, request.team);
    }
    of_team.places.insert(place_of(request));
    of_team.work += request.work;
    in.work += request.work;
    ++of_rank.size;
    due_.emplace(request.start_by, request.ticket);
    entries_.emplace(request.ticket, request);
    count(request, 1);
}

waiting_request admission_queue::extract(ticket_id ticket, bool charge)
{
    const auto known = entries_.find(ticket);
    assert(known != entries_.end());
    waiting_request request = known->second;
    entries_.erase(known);
    due_.erase({request.start_by, ticket});
    count(request, -1);

    rank_lanes& of_rank = ranks_[bounded(request.rank)];
    lane& in = of_rank.lanes[request.pool];
    flow& of_team = in.flows[request.team];
    in.active.erase({of_team.served, request.team});
    of_team.places.erase(place_of(request));
    of_team.work -= request.work;
    in.work -= request.work;
    --of_rank.size;
    if (charge) {
        in.clock = std::max(in.clock, of_team.served);
        of_team.served += request.work;
    }
    if (!of_team.places.empty())
        in.active.emplace(of_team.served, request.team);
    drop_idle_flows(in);
    if (in.flows.empty())
        of_rank.lanes.erase(request.pool);
    return request;
}

void admission_queue::count(const waiting_request& request, int change)
{
    if (request.preempted)
        return;
    rank_lanes& of_rank = ranks_[bounded(request.rank)];
    const auto key = std::pair(request.pool, request.team);
    std::size_t& n = of_rank.counts[key];
    of_rank.crowds.erase({n, request.pool, request.team});
    n = change > 0 ? n + 1 : n - 1;
    displaceable_ = change > 0 ? displaceable_ + 1 : displaceable_ - 1;
    if (n > 0)
        of_rank.crowds.insert({n, request.pool, request.team});
    else
        of_rank.counts.erase(key);
}

ticket_id admission_queue::least_entitled() const
{
    const auto last =
        std::find_if(ranks_.rbegin(), ranks_.rend(),
                     [](const rank_lanes& it) { return !it.crowds.empty(); });
    assert(last != ranks_.rend());
    const crowd& most = *last->crowds.rbegin();
    const flow& of_team = last->lanes.at(most.pool).flows.at(most.team);
    return of_team.places.rbegin()->ticket;
}

void admission_queue::drop_idle_flows(lane& in)
{
    const std::size_t idle = in.flows.size() - in.active.size();
    if (!in.active.empty() && idle <= idle_flows_kept)
        return;
    // An empty lane has nobody to be fair to: all start anew.
    std::erase_if(in.flows, [&](const auto& it) {
        return it.second.places.empty() &&
               (in.active.empty() || it.second.served <= in.clock);
    });
}

admission_queue::place admission_queue::place_of(const waiting_request& request)
{
    return {!request.preempted, request.start_by, request.ticket};
}

} // namespace fennelladder::routing
