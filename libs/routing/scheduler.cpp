// A poll walks ranks from the most urgent and, in each, the pools that have
// requests waiting, and grants while the front of the pool finds room. Since
// a lower rank's limit on a target is never above a higher one's, a request
// passes another of a higher rank only at targets that the other can't use:
// strictness needs no further rule.
//
// Whether a request is hopeless is judged by the work that starts before it,
// over the rate at which its pool was granted work while it was busy. Until
// there is such a rate nothing is shed on arrival, only when its time to start
// has passed.

#include "fennelladder/routing/scheduler.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::routing {

namespace {

/// Weight of the last window in a pool's rate.
constexpr double rate_weight = 0.3;

} // namespace

std::string_view to_string(shed_reason reason)
{
    switch (reason) {
    case shed_reason::no_target:
        return "no_target";
    case shed_reason::queue_full:
        return "queue_full";
    case shed_reason::deadline:
        break;
    }
    return "deadline";
}

scheduler::scheduler(const scheduler_options& options)
    : options_(options), table_(options.table), index_(options.index),
      chooser_(options.choice), queue_(options.queue)
{}

void scheduler::upsert_target(const target_info& info, instant now)
{
    table_.upsert(info, now);
}

void scheduler::remove_target(const target_id& id, instant now)
{
    if (const auto slot = table_.remove(id, now))
        index_.forget(*slot);
}

void scheduler::target_leaving(const target_id& id, instant now)
{
    table_.leaving(id, now);
}

void scheduler::target_staying(const target_id& id, instant now)
{
    table_.staying(id, now);
}

void scheduler::load_reported(const target_id& id, const load_report& load,
                              instant now)
{
    if (const auto slot = table_.find(id))
        table_.report(*slot, load, now);
}

void scheduler::cache_changed(const target_id& id, const cache_event& event)
{
    const auto slot = table_.find(id);
    if (slot && index_.apply(*slot, event))
        ++counts_.cache_event_gaps;
}

ticket_id scheduler::submit(route_request request, instant now,
                            random_source& random, scheduler_actions& todo)
{
    const ticket_id ticket = next_ticket_;
    next_ticket_ = next_ticket_.next();
    request.rank = std::min(request.rank, priority_levels - 1);
    const auto pool = table_.pool_of(request.needs);
    if (!pool) {
        shed(ticket, shed_reason::no_target, options_.longest_retry, todo);
        return ticket;
    }
    job& in = jobs_[ticket];
    in.request = std::move(request);
    in.pool = *pool;
    in.cacheable_tokens = cacheable_tokens(in.request);
    // Nobody of its own or a higher rank may wait, else it would overtake.
    bool first = true;
    for (priority it = 0; it <= in.request.rank; ++it)
        first &= queue_.front(it, in.pool) == nullptr;
    if (first && try_grant(ticket, in, now, random, todo))
        return ticket;
    if (hopeless(in, now)) {
        const duration retry = retry_time(in);
        shed(ticket, shed_reason::deadline, retry, todo);
        return ticket;
    }
    enqueue(ticket, in, now, todo);
    if (jobs_.contains(ticket) && in.request.rank <= options_.preempting_up_to)
        try_preempt(in, queue_.size(in.request.rank), now, todo);
    return ticket;
}

void scheduler::poll(instant now, random_source& random,
                     scheduler_actions& todo)
{
    for (const ticket_id it : queue_.take_overdue(now))
        shed(it, shed_reason::deadline, retry_time(jobs_.at(it)), todo);
    for (priority rank = 0; rank < priority_levels; ++rank) {
        if (queue_.size(rank) == 0)
            continue;
        for (const pool_id pool : queue_.pools(rank)) {
            while (const waiting_request* next = queue_.front(rank, pool)) {
                const ticket_id ticket = next->ticket;
                job& in = jobs_.at(ticket);
                if (!try_grant(ticket, in, now, random, todo)) {
                    if (rank <= options_.preempting_up_to)
                        try_preempt(in, queue_.size(rank), now, todo);
                    break;
                }
                queue_.take(ticket);
            }
        }
    }
}

bool scheduler::cancel(ticket_id ticket)
{
    if (!queue_.remove(ticket))
        return false;
    jobs_.erase(ticket);
    return true;
}

void scheduler::finished(ticket_id ticket, const attempt_result& result,
                         instant now, random_source& random,
                         scheduler_actions& todo)
{
    const auto known = jobs_.find(ticket);
    assert(known != jobs_.end() && known->second.granted);
    job& in = known->second;
    if (result.cached_known) {
        const auto block = std::max(1U, options_.choice.block_tokens);
        index_.observed(in.slot, in.matched_blocks,
                        result.cached_tokens / block);
        counts_.prompt_tokens += in.request.prompt_tokens;
        counts_.cached_tokens += result.cached_tokens;
    }
    release(in, result, now);
    std::erase(resumable_, ticket);
    jobs_.erase(known);
    poll(now, random, todo);
}

void scheduler::preempted(ticket_id ticket, std::uint32_t produced, instant now,
                          random_source& random, scheduler_actions& todo)
{
    job& in = jobs_.at(ticket);
    assert(in.granted);
    attempt_result result;
    result.outcome = attempt_outcome::canceled;
    release(in, result, now);
    std::erase(resumable_, ticket);
    // What was produced becomes part of the prompt when it is resumed.
    in.request.prompt_tokens += produced;
    in.cacheable_tokens = cacheable_tokens(in.request);
    in.request.output_tokens -= std::min(in.request.output_tokens, produced);
    in.granted = false;
    in.preempting = false;
    in.was_preempted = true;
    ++counts_.preempted;
    enqueue(ticket, in, now, todo);
    poll(now, random, todo);
}

std::optional<instant> scheduler::next_wake(instant now) const
{
    const auto due = queue_.next_overdue();
    if (!due)
        return std::nullopt;
    // An ejected target or a fading report makes room without an event.
    constexpr duration longest_nap = milliseconds(50);
    return std::min(*due + duration(1), now + longest_nap);
}

const route_request* scheduler::find(ticket_id ticket) const
{
    const auto known = jobs_.find(ticket);
    return known == jobs_.end() ? nullptr : &known->second.request;
}

std::optional<target_view> scheduler::target(const target_id& id,
                                             instant now) const
{
    const auto slot = table_.find(id);
    if (!slot)
        return std::nullopt;
    return table_.view(*slot, now);
}

const scheduler_counts& scheduler::counts() const
{
    for (priority rank = 0; rank < priority_levels; ++rank)
        counts_.waiting[rank] = queue_.size(rank);
    return counts_;
}

void scheduler::enqueue(ticket_id ticket, const job& in, instant,
                        scheduler_actions& todo)
{
    waiting_request entry;
    entry.ticket = ticket;
    entry.team = in.request.team;
    entry.pool = in.pool;
    entry.rank = in.request.rank;
    entry.work = work_of(in.request);
    entry.start_by = start_by(in);
    entry.preempted = in.was_preempted;
    if (const auto gone = queue_.push(entry)) {
        const duration retry = retry_time(jobs_.at(*gone));
        shed(*gone, shed_reason::queue_full, retry, todo);
    }
}

bool scheduler::try_grant(ticket_id ticket, job& in, instant now,
                          random_source& random, scheduler_actions& todo)
{
    const prefix_match match = index_.match(in.request.prefix);
    const auto chosen = chooser_.choose(
        {in.request, in.pool, table_, match, index_}, now, random);
    if (!chosen)
        return false;
    const std::uint32_t uncached =
        in.request.prompt_tokens - chosen->expected.cached_tokens;
    in.granted = true;
    in.slot = chosen->slot;
    in.matched_blocks = chosen->matched_blocks;
    in.granted_at = now;
    const prediction idle = chooser::predict_idle(
        in.request, table_.info(in.slot).speed, chosen->expected.cached_tokens);
    in.idle_first_token =
        from_seconds(idle.first_token) + 2 * table_.network(in.slot);
    table_.dispatched(in.slot, in.request.rank, uncached, now);
    index_.dispatched(in.slot, in.request.prefix);
    if (in.request.resumable)
        resumable_.push_back(ticket);
    count_rate(in, now);
    ++counts_.granted;
    todo.granted.push_back({ticket, table_.info(in.slot).id, chosen->expected});
    return true;
}

void scheduler::try_preempt(const job& urgent, std::size_t wanted, instant now,
                            scheduler_actions& todo)
{
    const auto members = table_.members(urgent.pool);
    std::size_t under_way = 0;
    ticket_id victim;
    const job* found = nullptr;
    for (const ticket_id ticket : resumable_) {
        const job& it = jobs_.at(ticket);
        if (!std::ranges::binary_search(members, it.slot))
            continue;
        under_way += it.preempting ? 1 : 0;
        if (it.preempting || it.request.rank <= urgent.request.rank ||
            !table_.usable(it.slot, now))
            continue;
        const bool better = found == nullptr ||
                            it.request.rank > found->request.rank ||
                            (it.request.rank == found->request.rank &&
                             it.granted_at >= found->granted_at);
        if (better) {
            victim = ticket;
            found = &it;
        }
    }
    if (found == nullptr || under_way >= wanted)
        return;
    jobs_.at(victim).preempting = true;
    todo.preempted.push_back(victim);
}

void scheduler::shed(ticket_id ticket, shed_reason reason, duration retry,
                     scheduler_actions& todo)
{
    switch (reason) {
    case shed_reason::no_target:
        ++counts_.shed_no_target;
        break;
    case shed_reason::queue_full:
        ++counts_.shed_queue_full;
        break;
    case shed_reason::deadline:
        ++counts_.shed_deadline;
        break;
    }
    jobs_.erase(ticket);
    todo.shed.push_back({ticket, reason, retry});
}

void scheduler::release(job& in, const attempt_result& result, instant now)
{
    if (table_.finished(in.slot, in.request.rank, result, in.idle_first_token,
                        now))
        index_.forget(in.slot);
}

bool scheduler::hopeless(const job& in, instant now) const
{
    const instant latest = start_by(in);
    if (latest < now)
        return true;
    const auto rate = rates_.find(in.pool);
    if (rate == rates_.end() || rate->second.per_second <= 0)
        return false;
    const double ahead =
        queue_.work_ahead(in.request.team, in.request.rank, in.pool);
    const double wait = ahead / rate->second.per_second;
    return wait > options_.hopeless_ratio * to_seconds(latest - now);
}

std::uint32_t scheduler::cacheable_tokens(const route_request& request) const
{
    const std::uint32_t best =
        index_.match(request.prefix).best() * options_.choice.block_tokens;
    return std::min(best, std::max(1U, request.prompt_tokens) - 1);
}

double scheduler::work_of(const route_request& request) const
{
    return 1 + request.prompt_tokens +
           options_.output_weight * request.output_tokens;
}

instant scheduler::start_by(const job& in) const
{
    const auto members = table_.members(in.pool);
    if (members.empty())
        return in.request.deadline;
    const target_speed& speed = table_.info(members.front()).speed;
    const prediction idle =
        chooser::predict_idle(in.request, speed, in.cacheable_tokens);
    return in.request.deadline - from_seconds(idle.completion);
}

duration scheduler::retry_time(const job& in) const
{
    const auto rate = rates_.find(in.pool);
    duration wait = options_.shortest_retry;
    if (rate != rates_.end() && rate->second.per_second > 0) {
        const double ahead =
            queue_.work_ahead(in.request.team, in.request.rank, in.pool);
        wait = from_seconds(std::min(ahead / rate->second.per_second,
                                     to_seconds(options_.longest_retry)));
    }
    return std::clamp(wait, options_.shortest_retry, options_.longest_retry);
}

void scheduler::count_rate(const job& in, instant now)
{
    pool_rate& it = rates_[in.pool];
    const bool busy =
        queue_.work_ahead(in.request.team, priority_levels - 1, in.pool) > 0;
    if (!busy || it.window_start == instant()) {
        it.window_start = now;
        it.window_work = 0;
    }
    it.window_work += work_of(in.request);
    if (now - it.window_start < options_.rate_window)
        return;
    const double seen = it.window_work / to_seconds(now - it.window_start);
    it.per_second = it.per_second <= 0
                        ? seen
                        : it.per_second + rate_weight * (seen - it.per_second);
    it.window_start = now;
    it.window_work = 0;
}

} // namespace fennelladder::routing
