// One run: all nodes join; a quiet time is measured; nodes restart one after
// the other; configurations are accepted with and without the platform; hosts
// die. Each phase starts when the tables agree again.

#include "fennelladder/bench/control_fleet.hpp"

#include "fennelladder/fleet/order_issuer.hpp"
#include "fennelladder/manifest/parts.hpp"
#include "fennelladder/manifest/synthetic.hpp"
#include "fennelladder/platform/fault_object_store.hpp"
#include "fennelladder/platform/memory_object_store.hpp"
#include "fennelladder/testing/member_fleet.hpp"

#include <algorithm>
#include <cassert>
#include <ctime>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace fennelladder::bench {

namespace {

using membership::member_state;
using testing::member_fleet;
using testing::member_fleet_options;

constexpr std::size_t engines_at_full_size = 600;
constexpr std::size_t nodes_at_full_size = 340;
// Two nodes of each data center wait at the platform for a new root; the
// others hear of it, and look themselves every five minutes.
constexpr std::size_t watchers = 2;
constexpr duration watch_wait = seconds(30);
constexpr duration poll_interval = minutes(5);
constexpr duration host_list_interval = seconds(60);
constexpr duration status_interval = seconds(30);
constexpr duration platform_latency = milliseconds(5);
constexpr double peer_bytes_per_second = 5e6;
constexpr duration fetch_retry = milliseconds(200);
constexpr std::uint32_t half_load = 500;
constexpr duration step = milliseconds(100);
constexpr duration longest_wait = minutes(2);

double process_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// The queue's time as the clock of the issuers.
class queue_clock final : public clock
{
public:
    explicit queue_clock(const testing::event_queue& queue) : queue_(queue) {}
    instant now() const override { return queue_.now(); }

private:
    const testing::event_queue& queue_;
};

/// Engines that hold what they should.
class settled_engines final : public fleet::engine_orders
{
public:
    std::vector<fleet::engine_plan> plans;
    std::uint64_t reads = 0;

    status give(const fleet::engine_order&) override { return {}; }

    result<fleet::engine_state> read_back(const target_id&) override
    {
        ++reads;
        fleet::engine_state out;
        out.models[model()] = {};
        return out;
    }

    static fleet::model_ref model()
    {
        return {model_id("m"), model_version("v1")};
    }
};

/// How a node comes to a new configuration.
struct config_agent
{
    generation in_force{1};
    bool fetching = false;
};

class control_run
{
public:
    explicit control_run(const control_options& options)
        : options_(options), random_(options.seed), heap_before_(heap_bytes()),
          fleet_(std::make_unique<member_fleet>(member_fleet_options{
              .nodes = options.nodes, .seed = options.seed})),
          clock_(fleet_->queue), store_(inner_, options.seed, [](duration) {})
    {
        make_engines();
        agents_.resize(options.nodes);
        inputs_.resize(options.nodes);
        for (fleet::issuer_input& it : inputs_)
            it.plans = engines_.plans;
        for (std::size_t n = 0; n < options.nodes; ++n)
            issuers_.push_back(make_issuer(n));
    }

    control_outcome run()
    {
        out_.nodes = options_.nodes;
        join();
        measure_quiet();
        measure_entry();
        measure_restarts();
        out_.config_with_platform = measure_changes(true);
        out_.config_without_platform = measure_changes(false);
        out_.silent_death = measure_deaths(false);
        out_.refused_death = measure_deaths(true);
        out_.draining = measure_draining();
        return out_;
    }

private:
    void make_engines()
    {
        const std::size_t n = std::max<std::size_t>(
            1, engines_at_full_size * options_.nodes / nodes_at_full_size);
        for (std::size_t i = 0; i < n; ++i) {
            fleet::engine_plan plan;
            plan.target = target_id("engine-" + std::to_string(i));
            plan.models[settled_engines::model()] = {};
            engines_.plans.push_back(plan);
        }
    }

    std::unique_ptr<fleet::order_issuer> make_issuer(std::size_t n)
    {
        return std::make_unique<fleet::order_issuer>(
            store_, engines_, clock_,
            incarnation_id("host-" + std::to_string(n)),
            fleet::issuer_options(), random_.bits());
    }

    void join()
    {
        fleet_->start_all();
        for (std::size_t n = 0; n < options_.nodes; ++n) {
            set_generations(n);
            schedule_steps(n);
        }
        out_.join_seconds = until([this] { return fleet_->agrees(); });
        fleet_->run_for(seconds(60));
        out_.memory_bytes =
            (heap_bytes() - heap_before_) / static_cast<double>(options_.nodes);
    }

    void set_generations(std::size_t n)
    {
        const generation now = agents_[n].in_force;
        fleet_->at(n).table->set_generations(now, now, fleet_->queue.now());
    }

    // Once a second the issuer, ten times a second the agent.
    void schedule_steps(std::size_t n)
    {
        const auto offset = from_seconds(random_.unit());
        fleet_->queue.after(offset, [this, n] { step_issuer(n); });
        fleet_->queue.after(offset, [this, n] { step_agent(n); });
    }

    void step_issuer(std::size_t n)
    {
        fleet_->queue.after(seconds(1), [this, n] { step_issuer(n); });
        if (!fleet_->at(n).running)
            return;
        fleet::issuer_input& input = inputs_[n];
        input.in_force = agents_[n].in_force;
        const auto& table = *fleet_->at(n).table;
        input.preferred = [&table](std::size_t group) {
            return table.rank(fleet::order_issuer::group_salt(group), true) ==
                   0;
        };
        issuers_[n]->step(input);
        (void)issuers_[n]->take_events();
    }

    // Configuration.

    void step_agent(std::size_t n)
    {
        fleet_->queue.after(step, [this, n] { step_agent(n); });
        config_agent& agent = agents_[n];
        if (!fleet_->at(n).running)
            return;
        fleet_->at(n).table->set_load(half_load, fleet_->queue.now());
        if (agent.fetching)
            return;
        const auto& table = *fleet_->at(n).table;
        const generation wanted = table.highest_generation();
        if (wanted <= agent.in_force)
            return;
        agent.fetching = true;
        ask_peer(n, holder_of(n), wanted);
    }

    std::size_t holder_of(std::size_t n)
    {
        const auto& table = *fleet_->at(n).table;
        const auto holders = table.holders(table.highest_generation(), 2);
        host_id host = table.generation_source();
        if (!holders.empty())
            host = holders[random_.below(holders.size())];
        for (std::size_t i = 0; i < options_.nodes; ++i) {
            if (fleet_->at(i).host == host)
                return i;
        }
        return n;
    }

    void ask_peer(std::size_t n, std::size_t peer, generation wanted)
    {
        const bool near = fleet_->at(n).description.region ==
                          fleet_->at(peer).description.region;
        const duration way = near ? milliseconds(1) : milliseconds(60);
        const duration transfer = from_seconds(
            static_cast<double>(options_.change_bytes) / peer_bytes_per_second);
        fleet_->queue.after(way, [this, n, peer, wanted, transfer] {
            const bool has =
                fleet_->at(peer).running && agents_[peer].in_force >= wanted;
            fleet_->queue.after(has ? transfer : fetch_retry,
                                [this, n, has, wanted] {
                                    agents_[n].fetching = false;
                                    if (has)
                                        bring_into_force(n, wanted);
                                });
        });
    }

    void bring_into_force(std::size_t n, generation wanted)
    {
        config_agent& agent = agents_[n];
        agent.in_force = std::max(agent.in_force, wanted);
        set_generations(n);
    }

    delay_summary measure_changes(bool platform)
    {
        std::vector<double> times;
        for (std::size_t i = 0; i < options_.changes; ++i) {
            settle();
            const generation next = generation(++generation_);
            accept(next, platform);
            times.push_back(until([&] {
                return std::ranges::all_of(agents_, [&](const auto& it) {
                    return it.in_force >= next;
                });
            }));
        }
        return summary(times);
    }

    // With the platform up its watchers see the root at once; else just one
    // node got it before the platform went.
    void accept(generation next, bool platform)
    {
        if (!platform) {
            bring_into_force(random_.below(options_.nodes), next);
            return;
        }
        for (std::size_t n = 0; n < options_.nodes; ++n) {
            if (fleet_->at(n).table->rank("config", false) >= watchers)
                continue;
            // Watch answers, then directory and bucket are read.
            const duration wait = jitter(random_, 3 * platform_latency);
            fleet_->queue.after(wait,
                                [this, n, next] { bring_into_force(n, next); });
        }
    }

    // Traffic.

    traffic traffic_since(const std::vector<std::uint64_t>& bytes,
                          const std::vector<std::uint64_t>& messages,
                          duration length)
    {
        traffic out;
        const double span = to_seconds(length);
        const auto count = static_cast<double>(options_.nodes);
        for (std::size_t n = 0; n < options_.nodes; ++n) {
            const auto& node = fleet_->at(n);
            const double sent =
                static_cast<double>(node.bytes_sent - bytes[n]) / span;
            out.bytes += sent / count;
            out.most_bytes = std::max(out.most_bytes, sent);
            out.messages +=
                static_cast<double>(node.messages_sent - messages[n]) / span /
                count;
        }
        return out;
    }

    template <class Body>
    traffic traffic_of(const Body& body)
    {
        std::vector<std::uint64_t> bytes;
        std::vector<std::uint64_t> messages;
        for (std::size_t n = 0; n < options_.nodes; ++n) {
            bytes.push_back(fleet_->at(n).bytes_sent);
            messages.push_back(fleet_->at(n).messages_sent);
        }
        const instant start = fleet_->queue.now();
        body();
        return traffic_since(bytes, messages, fleet_->queue.now() - start);
    }

    void measure_quiet()
    {
        settle();
        const auto calls = store_.counts().calls;
        const auto writes = store_writes();
        const auto reads = engines_.reads;
        const double start = process_seconds();
        out_.quiet = traffic_of([this] { fleet_->run_for(options_.quiet); });
        const double span = to_seconds(options_.quiet);
        const auto count = static_cast<double>(options_.nodes);
        out_.core_share = (process_seconds() - start) / span / count;
        out_.engine_reads = static_cast<double>(engines_.reads - reads) / span;
        out_.fetched_bytes = static_cast<double>(options_.change_bytes *
                                                 options_.changes_a_day) /
                             to_seconds(hours(24));
        count_platform_calls(
            static_cast<double>(store_.counts().calls - calls) / span,
            static_cast<double>(store_writes() - writes) / span);
    }

    // Each write makes the store's revision grow by one.
    std::uint64_t store_writes() { return inner_.list({}, {}, 1)->revision; }

    void count_platform_calls(double by_issuers, double writes_of_issuers)
    {
        const auto count = static_cast<double>(options_.nodes);
        double watching = 0;
        for (std::size_t n = 0; n < options_.nodes; ++n) {
            if (fleet_->at(n).table->rank("config", false) < watchers)
                ++watching;
        }
        // Each change: the watch that ends, directory and bucket.
        const double by_changes = watching * 3 *
                                  static_cast<double>(options_.changes_a_day) /
                                  to_seconds(hours(24));
        const double statuses = count / to_seconds(status_interval);
        out_.platform_writes = statuses + writes_of_issuers;
        out_.platform_calls = by_issuers + by_changes + statuses +
                              watching / to_seconds(watch_wait) +
                              count / to_seconds(poll_interval) +
                              count / to_seconds(host_list_interval);
    }

    void restart(std::size_t n)
    {
        auto& node = fleet_->at(n);
        node.table->set_state(member_state::draining, fleet_->queue.now());
        fleet_->run_for(seconds(2));
        node.table->set_state(member_state::gone, fleet_->queue.now());
        fleet_->run_for(milliseconds(500));
        issuers_[n]->release_all();
        node.running = false;
        fleet_->run_for(seconds(2));
        issuers_[n] = make_issuer(n);
        fleet_->start(n, fleet_->host_list());
        set_generations(n);
    }

    void measure_restarts()
    {
        settle();
        out_.restarting = traffic_of([this] {
            for (std::size_t n = 0;
                 n < std::min<std::size_t>(options_.nodes, 12); ++n) {
                restart(n);
                fleet_->run_for(seconds(5) + milliseconds(500));
            }
        });
    }

    // Entry answers.

    std::string first_address(std::size_t asked, const std::string& caller,
                              const data_center_id& at)
    {
        membership::entry_planner planner({});
        planner.update(*fleet_->at(asked).table, fleet_->queue.now());
        return planner.answer({caller_id(caller), at, {}})
            .addresses.at(0)
            .address;
    }

    /// Callers that `node` would be the first address of.
    std::vector<std::string> callers_of(std::size_t n, std::size_t limit)
    {
        const auto& node = fleet_->at(n);
        membership::entry_planner planner({});
        planner.update(*fleet_->at((n + 1) % options_.nodes).table,
                       fleet_->queue.now());
        std::vector<std::string> out;
        for (int i = 0; out.size() < limit; ++i) {
            const std::string caller = "caller-" + std::to_string(i);
            const auto answer = planner.answer(
                {caller_id(caller), node.description.data_center, {}});
            if (answer.addresses.at(0).host == node.host)
                out.push_back(caller);
        }
        return out;
    }

    void measure_entry()
    {
        constexpr int callers = 20'000;
        membership::entry_planner planner({});
        const auto& table = *fleet_->at(0).table;
        planner.update(table, fleet_->queue.now());
        std::map<host_id, int> before;
        std::vector<host_id> first;
        const data_center_id home = fleet_->at(0).description.data_center;
        for (int i = 0; i < callers; ++i) {
            const auto answer = planner.answer(
                {caller_id("caller-" + std::to_string(i)), home, {}});
            first.push_back(answer.addresses.at(0).host);
            ++before[first.back()];
        }
        int most = 0;
        int least = callers;
        for (const auto& [host, n] : before) {
            most = std::max(most, n);
            least = std::min(least, n);
        }
        const double mean =
            static_cast<double>(callers) / static_cast<double>(before.size());
        out_.entry_most = most / mean;
        out_.entry_least = least / mean;
        measure_movement(first, before, home);
    }

    void measure_movement(const std::vector<host_id>& first,
                          std::map<host_id, int>& before,
                          const data_center_id& home)
    {
        const std::size_t victim = options_.nodes > 6 ? 6 : 1;
        auto& node = fleet_->at(victim);
        node.table->set_state(member_state::draining, fleet_->queue.now());
        fleet_->run_for(seconds(5));
        membership::entry_planner planner({});
        planner.update(*fleet_->at(0).table, fleet_->queue.now());
        int moved = 0;
        for (std::size_t i = 0; i < first.size(); ++i) {
            const auto answer = planner.answer(
                {caller_id("caller-" + std::to_string(i)), home, {}});
            moved += answer.addresses.at(0).host != first[i] ? 1 : 0;
        }
        const int least = before[node.host];
        out_.entry_moved = least > 0 ? static_cast<double>(moved) / least : 1;
        node.table->set_state(member_state::serving, fleet_->queue.now());
        fleet_->run_for(seconds(5));
    }

    bool given_out(std::size_t n, const std::vector<std::string>& callers)
    {
        const auto& node = fleet_->at(n);
        for (std::size_t i = 0; i < options_.nodes; ++i) {
            if (i == n || !fleet_->at(i).running)
                continue;
            for (const std::string& it : callers) {
                if (first_address(i, it, node.description.data_center) ==
                    node.description.caller_address)
                    return true;
            }
        }
        return false;
    }

    delay_summary measure_deaths(bool refuses)
    {
        std::vector<double> times;
        for (std::size_t i = 0; i < options_.deaths; ++i) {
            settle();
            const std::size_t n = random_.below(options_.nodes);
            const auto callers = callers_of(n, 1);
            fleet_->at(n).running = false;
            fleet_->at(n).refuses = refuses;
            times.push_back(until([&] { return !given_out(n, callers); }));
            issuers_[n] = make_issuer(n);
            fleet_->run_for(seconds(10));
            fleet_->start(n, fleet_->host_list());
            set_generations(n);
        }
        return summary(times);
    }

    delay_summary measure_draining()
    {
        std::vector<double> times;
        for (std::size_t i = 0; i < options_.deaths; ++i) {
            settle();
            const std::size_t n = random_.below(options_.nodes);
            const auto callers = callers_of(n, 1);
            auto& table = *fleet_->at(n).table;
            table.set_state(member_state::draining, fleet_->queue.now());
            times.push_back(until([&] { return !given_out(n, callers); }));
            table.set_state(member_state::serving, fleet_->queue.now());
        }
        return summary(times);
    }

    // Time.

    template <class Condition>
    double until(const Condition& holds)
    {
        const instant start = fleet_->queue.now();
        while (!holds() && fleet_->queue.now() - start < longest_wait)
            fleet_->run_for(step);
        return to_seconds(fleet_->queue.now() - start);
    }

    void settle()
    {
        fleet_->run_for(seconds(8));
        until([this] { return fleet_->agrees(); });
    }

    static delay_summary summary(std::vector<double> times)
    {
        if (times.empty())
            return {};
        std::ranges::sort(times);
        return {times[times.size() / 2], times.back()};
    }

    control_options options_;
    random_source random_;
    double heap_before_;
    std::unique_ptr<member_fleet> fleet_;
    queue_clock clock_;
    platform::memory_object_store inner_;
    platform::fault_object_store store_;
    settled_engines engines_;
    std::vector<std::unique_ptr<fleet::order_issuer>> issuers_;
    std::vector<fleet::issuer_input> inputs_;
    std::vector<config_agent> agents_;
    std::uint64_t generation_ = 1;
    control_outcome out_;
};

} // namespace

control_outcome measure_control(const control_options& options)
{
    return control_run(options).run();
}

std::size_t bytes_of_one_change(std::size_t budgets, std::size_t teams,
                                std::size_t targets)
{
    auto manifest = manifest::make_synthetic(
        {.teams = teams, .budgets = budgets, .targets = targets});
    const auto before = manifest::split(manifest, nullptr);
    assert(before.has_value());
    manifest.budgets.front().topups.push_back(
        {topup_id("another"), tokens(1000)});
    const auto after = manifest::split(manifest, &before->directory);
    assert(after.has_value());
    std::size_t bytes = 0;
    for (const auto& [hash, part] : after->parts) {
        if (!before->parts.contains(hash))
            bytes += part.size();
    }
    return bytes;
}

} // namespace fennelladder::bench
