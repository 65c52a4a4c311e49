// The baselines share one node and differ in a function that picks a target.

#include "fennelladder/bench/routing_policy.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <unordered_map>

namespace fennelladder::bench {

namespace {

using namespace routing;

class product_node final : public entry_node
{
public:
    product_node(const scheduler_options& options, std::uint64_t seed)
        : scheduler_(options), random_(seed)
    {}

    void add_target(const target_info& info, instant now) override
    {
        scheduler_.upsert_target(info, now);
    }

    void load_reported(const target_id& id, const load_report& load,
                       instant now) override
    {
        scheduler_.load_reported(id, load, now);
    }

    void cache_changed(const target_id& id, const cache_event& event) override
    {
        scheduler_.cache_changed(id, event);
    }

    void submit(flight request, const route_request& route, instant now,
                node_actions& todo) override
    {
        scheduler_actions made;
        const ticket_id ticket = scheduler_.submit(route, now, random_, made);
        tickets_[request] = ticket;
        flights_[ticket] = request;
        pass_on(made, todo);
    }

    void finished(flight request, const attempt_result& result, instant now,
                  node_actions& todo) override
    {
        scheduler_actions made;
        const ticket_id ticket = tickets_.at(request);
        scheduler_.finished(ticket, result, now, random_, made);
        forget(ticket);
        pass_on(made, todo);
    }

    void preempted(flight request, std::uint32_t produced, instant now,
                   node_actions& todo) override
    {
        scheduler_actions made;
        scheduler_.preempted(tickets_.at(request), produced, now, random_,
                             made);
        pass_on(made, todo);
    }

    void poll(instant now, node_actions& todo) override
    {
        scheduler_actions made;
        scheduler_.poll(now, random_, made);
        pass_on(made, todo);
    }

private:
    void forget(ticket_id ticket)
    {
        tickets_.erase(flights_.at(ticket));
        flights_.erase(ticket);
    }

    void pass_on(const scheduler_actions& made, node_actions& todo)
    {
        for (const grant& it : made.granted)
            todo.sent.push_back({flights_.at(it.ticket), it.target});
        for (const ticket_id it : made.preempted)
            todo.preempted.push_back(flights_.at(it));
        for (const shed_notice& it : made.shed) {
            todo.shed.push_back(flights_.at(it.ticket));
            forget(it.ticket);
        }
    }

    scheduler scheduler_;
    random_source random_;
    std::unordered_map<flight, ticket_id> tickets_;
    std::unordered_map<ticket_id, flight> flights_;
};

class baseline_node;

using pick_function = target_slot (baseline_node::*)(const route_request&,
                                                     instant);

class baseline_node final : public entry_node
{
public:
    baseline_node(pick_function pick, const scheduler_options& options,
                  std::uint64_t seed)
        : pick_(pick), options_(options), table_(options.table),
          index_(options.index), random_(seed)
    {}

    void add_target(const target_info& info, instant now) override
    {
        table_.upsert(info, now);
    }

    void load_reported(const target_id& id, const load_report& load,
                       instant now) override
    {
        table_.report(*table_.find(id), load, now);
    }

    void cache_changed(const target_id& id, const cache_event& event) override
    {
        index_.apply(*table_.find(id), event);
    }

    void submit(flight request, const route_request& route, instant now,
                node_actions& todo) override
    {
        pool_ = *table_.pool_of(route.needs);
        const target_slot slot = (this->*pick_)(route, now);
        table_.dispatched(slot, route.rank, route.prompt_tokens, now);
        index_.dispatched(slot, route.prefix);
        running_[request] = {slot, route.rank, now};
        todo.sent.push_back({request, table_.info(slot).id});
    }

    void finished(flight request, const attempt_result& result, instant now,
                  node_actions&) override
    {
        const auto known = running_.find(request);
        const target_slot slot = known->second.slot;
        table_.finished(slot, known->second.rank, result, duration(0), now);
        // The average response time of the last answers, as the paper has it.
        double& average = response(slot);
        const double took = to_seconds(now - known->second.since);
        average += response_weight * (took - average);
        running_.erase(known);
    }

    void preempted(flight, std::uint32_t, instant, node_actions&) override
    {
        assert(false); // no baseline preempts
    }

    void poll(instant, node_actions&) override {}

    target_slot round_robin(const route_request&, instant)
    {
        const auto members = table_.members(pool_);
        return members[next_++ % members.size()];
    }

    target_slot random_two(const route_request&, instant now)
    {
        const auto members = table_.members(pool_);
        const target_slot a = members[random_.below(members.size())];
        const target_slot b = members[random_.below(members.size())];
        return table_.in_flight(a, now) <= table_.in_flight(b, now) ? a : b;
    }

    target_slot least_loaded(const route_request&, instant now)
    {
        return least([&](target_slot it) { return table_.in_flight(it, now); });
    }

    /// The longest cached prefix, whatever the load.
    target_slot prefix_affinity(const route_request& route, instant)
    {
        const prefix_match match = index_.match(route.prefix);
        return least([&](target_slot it) { return -1.0 * match.blocks(it); });
    }

    target_slot relevance_then_response(const route_request& route, instant now)
    {
        const prefix_match match = index_.match(route.prefix);
        const auto response_time = [&](target_slot it) {
            return response(it) * (1 + table_.in_flight(it, now));
        };
        const auto relevant = [&](target_slot it) {
            return match.blocks(it) == match.best();
        };
        const target_slot best = least([&](target_slot it) {
            return relevant(it) ? response_time(it)
                                : std::numeric_limits<double>::max();
        });
        const target_slot other = least(response_time);
        return response_time(best) <= overload * response_time(other) ? best
                                                                      : other;
    }

private:
    static constexpr double response_weight = 1.0 / 200;
    static constexpr double overload = 2;

    struct running
    {
        target_slot slot;
        priority rank;
        instant since;
    };

    double& response(target_slot slot)
    {
        if (slot >= responses_.size())
            responses_.resize(slot + 1, 1.0);
        return responses_[slot];
    }

    /// The least by `cost`, at random among equals.
    template <class Cost>
    target_slot least(const Cost& cost)
    {
        double lowest = std::numeric_limits<double>::max();
        target_slot best = table_.members(pool_).front();
        std::uint64_t equal = 0;
        for (const target_slot it : table_.members(pool_)) {
            const double value = cost(it);
            if (value > lowest)
                continue;
            equal = value < lowest ? 1 : equal + 1;
            lowest = value;
            if (random_.below(equal) == 0)
                best = it;
        }
        return best;
    }

    pick_function pick_;
    scheduler_options options_;
    target_table table_;
    prefix_index index_;
    random_source random_;
    pool_id pool_;
    std::size_t next_ = 0;
    std::vector<double> responses_;
    std::unordered_map<flight, running> running_;
};

struct baseline
{
    const char* name;
    pick_function pick;
};

constexpr baseline policies[] = {
    {"round_robin", &baseline_node::round_robin},
    {"random_two_choices", &baseline_node::random_two},
    {"least_loaded", &baseline_node::least_loaded},
    {"prefix_affinity", &baseline_node::prefix_affinity},
    {paper_policy, &baseline_node::relevance_then_response},
};

} // namespace

const std::vector<std::string>& baseline_names()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> all;
        for (const baseline& it : policies) {
            if (std::string_view(it.name) != paper_policy)
                all.emplace_back(it.name);
        }
        return all;
    }();
    return names;
}

std::unique_ptr<entry_node> make_node(const std::string& policy,
                                      const scheduler_options& options,
                                      std::uint64_t seed)
{
    if (policy == product_policy)
        return std::make_unique<product_node>(options, seed);
    const auto it = std::ranges::find_if(
        policies, [&](const baseline& known) { return policy == known.name; });
    assert(it != std::end(policies));
    return std::make_unique<baseline_node>(it->pick, options, seed);
}

} // namespace fennelladder::bench
