// Decides for one node which request runs where and when.
//
//     scheduler it(options);
//     it.upsert_target(info, now);
//     scheduler_actions todo;
//     ticket_id ticket = it.submit(request, now, random, todo);
//     ... todo.granted, todo.shed, todo.preempted are to be carried out ...
//     it.finished(ticket, result, now, random, todo);
//
// Events go in, actions come out; nothing is done here. A submitted request is
// granted a target, waits, or is shed. It is shed at once when it can't be
// served in time, with the time after which a new try is worth it; it never
// ran then, so its caller may be told so.
//
// Requests of a lower rank than its own don't take a request's room, since
// engines serve it first; lower ranks leave headroom, too. When rank 0 still
// finds no room, the
// latest started resumable request of the last rank is preempted: the node
// stops its stream on the target and calls preempted(), and it waits in front
// of its team, with the deadline that it had.
//
// Who calls: poll() after every event that may make room (a report, a new
// target) and no later than next_wake(); finished() and preempted() poll by
// themselves. Not thread safe; `router` wraps it for a node's threads.

#ifndef FENNELLADDER_ROUTING_SCHEDULER_HPP
#define FENNELLADDER_ROUTING_SCHEDULER_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/routing/admission_queue.hpp"
#include "fennelladder/routing/chooser.hpp"
#include "fennelladder/routing/prefix_index.hpp"
#include "fennelladder/routing/target_table.hpp"
#include "fennelladder/routing/types.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::routing {

/// How a scheduler decides; the parts say more.
struct scheduler_options
{
    target_table_options table;
    prefix_index_options index;
    chooser_options choice;
    admission_queue_options queue;

    /// Ranks up to this one preempt later ones.
    priority preempting_up_to = 0;

    /// Work of an output token, in uncached prompt tokens.
    double output_weight = 8;

    /// A request is shed on arrival when the work ahead of it takes longer
    /// than this many times what is left until it has to start. Above 1,
    /// since a rate is known only roughly and a wrong refusal is worse than
    /// a wait.
    double hopeless_ratio = 2;
    duration rate_window = seconds(1);

    duration shortest_retry = milliseconds(200);
    duration longest_retry = seconds(30);
};

/// Why a request was shed. It never ran.
enum class shed_reason : std::uint8_t
{
    no_target, ///< No target has ever had what it needs.
    queue_full,
    deadline
};

/// The stable name of a reason, such as "queue_full".
std::string_view to_string(shed_reason reason);

/// A request is to be sent to a target now.
struct grant
{
    ticket_id ticket;
    target_id target;
    prediction expected;
};

/// A request won't be served.
struct shed_notice
{
    ticket_id ticket;
    shed_reason reason = shed_reason::deadline;
    duration retry_after = duration(0);
};

/// What is to be done; callers clear it between calls.
struct scheduler_actions
{
    std::vector<grant> granted;
    std::vector<shed_notice> shed;
    std::vector<ticket_id> preempted; ///< Stop these streams.
};

/// Counts since the start, and what waits now.
struct scheduler_counts
{
    std::uint64_t granted = 0;
    std::uint64_t shed_no_target = 0;
    std::uint64_t shed_queue_full = 0;
    std::uint64_t shed_deadline = 0;
    std::uint64_t preempted = 0;
    std::uint64_t cache_event_gaps = 0;
    std::uint64_t prompt_tokens = 0; ///< Of answered requests.
    std::uint64_t cached_tokens = 0; ///< Of them, reported as cached.
    std::array<std::size_t, priority_levels> waiting{};
};

class scheduler
{
public:
    explicit scheduler(const scheduler_options& options);

    // What is known of targets; unknown ids are ignored.

    void upsert_target(const target_info& info, instant now);
    void remove_target(const target_id& id, instant now);
    void target_leaving(const target_id& id, instant now);
    void target_staying(const target_id& id, instant now);
    void load_reported(const target_id& id, const load_report& load,
                       instant now);
    void cache_changed(const target_id& id, const cache_event& event);

    // Requests.

    /// Takes a request in. The first action about its ticket may already be
    /// in `todo`; if there is none, it waits.
    ticket_id submit(route_request request, instant now, random_source& random,
                     scheduler_actions& todo);

    /// Grants what has found room, sheds what can't make its deadline.
    void poll(instant now, random_source& random, scheduler_actions& todo);

    /// The caller of a waiting request left. False if it doesn't wait.
    bool cancel(ticket_id ticket);

    /// A granted request is over on its target. A retry elsewhere is a new
    /// submit with the failed target in `avoid`. Precondition: granted.
    void finished(ticket_id ticket, const attempt_result& result, instant now,
                  random_source& random, scheduler_actions& todo);

    /// A granted request was stopped with `produced` tokens of its answer
    /// relayed; it waits for its turn to be resumed under the same ticket.
    /// Precondition: granted.
    void preempted(ticket_id ticket, std::uint32_t produced, instant now,
                   random_source& random, scheduler_actions& todo);

    /// When poll has to be called at the latest if nothing else happens.
    std::optional<instant> next_wake(instant now) const;

    /// The request of a ticket that waits or runs.
    const route_request* find(ticket_id ticket) const;

    std::optional<target_view> target(const target_id& id, instant now) const;

    const scheduler_counts& counts() const;

private:
    struct job
    {
        route_request request;
        pool_id pool;
        bool granted = false;
        bool preempting = false;
        bool was_preempted = false;
        target_slot slot = 0;
        std::uint32_t matched_blocks = 0;
        std::uint32_t cacheable_tokens = 0; ///< Held by some target.
        duration idle_first_token{};
        instant granted_at;
    };

    void enqueue(ticket_id ticket, const job& in, instant now,
                 scheduler_actions& todo);
    bool try_grant(ticket_id ticket, job& in, instant now,
                   random_source& random, scheduler_actions& todo);
    void try_preempt(const job& urgent, std::size_t wanted, instant now,
                     scheduler_actions& todo);
    void shed(ticket_id ticket, shed_reason reason, duration retry,
              scheduler_actions& todo);
    void release(job& in, const attempt_result& result, instant now);
    bool hopeless(const job& in, instant now) const;
    std::uint32_t cacheable_tokens(const route_request& request) const;
    double work_of(const route_request& request) const;
    instant start_by(const job& in) const;
    duration retry_time(const job& in) const;
    void count_rate(const job& in, instant now);

    /// Work granted from a pool per second while requests waited there.
    struct pool_rate
    {
        instant window_start;
        double window_work = 0;
        double per_second = 0; ///< 0: not known yet.
    };

    scheduler_options options_;
    target_table table_;
    prefix_index index_;
    chooser chooser_;
    admission_queue queue_;
    std::unordered_map<ticket_id, job> jobs_;
    std::vector<ticket_id> resumable_; ///< Granted and resumable.
    std::unordered_map<pool_id, pool_rate> rates_;
    ticket_id next_ticket_{1};
    mutable scheduler_counts counts_;
};

} // namespace fennelladder::routing

#endif
