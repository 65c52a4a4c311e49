// Tests of targets that fail when they have to reject more than a few requests
// in a second, in a fleet whose nodes know each other's load with a delay.

#include "fennelladder/dispatch/target_registry.hpp"
#include "sample_targets.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <memory>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr duration step = milliseconds(5);
constexpr duration heartbeat_period = milliseconds(250);
constexpr duration service_time = milliseconds(60);

/// Requests that wait at a target beyond its slots.
constexpr std::size_t waiting_room = 1;

/// The bound that the targets announce.
constexpr std::uint32_t bound = 3;

/// A target that runs requests for service_time, and what it had to reject.
struct simulated_target
{
    catalog::target_entry entry;
    std::deque<instant> ends; ///< Of its requests, in order.
    std::deque<instant> rejected;
    std::size_t most_rejected = 0; ///< In any second.

    bool accept(instant now)
    {
        while (!ends.empty() && ends.front() <= now)
            ends.pop_front();
        const bool room = ends.size() < entry.slots + waiting_room;
        if (room) {
            ends.push_back(now + service_time);
            return true;
        }
        rejected.push_back(now);
        while (now - rejected.front() > seconds(1))
            rejected.pop_front();
        most_rejected = std::max(most_rejected, rejected.size());
        return false;
    }
};

struct running_request
{
    target_use use;
    instant end;
};

struct simulated_node
{
    explicit simulated_node(const host_id& host)
        : registry({.self = host, .own_data_center = data_center_id("a")})
    {}

    target_registry registry;
    std::deque<running_request> running;
};

/// Nodes that share brittle targets.
class brittle_fleet
{
public:
    brittle_fleet(int nodes, int targets, std::uint32_t slots)
    {
        for (int i = 0; i < targets; ++i) {
            targets_.emplace_back();
            targets_.back().entry = sample_engine(i, slots);
            targets_.back().entry.service = service_id("shop");
            listed_[targets_.back().entry.id] = targets_.back().entry;
        }
        for (int i = 0; i < nodes; ++i)
            hosts_.emplace_back("n" + std::to_string(i));
        for (const host_id& it : hosts_)
            add_node(it, hosts_);
    }

    /// Sends requests to random nodes for `length`, so many a second.
    void run(double rate, duration length)
    {
        const instant end = now_ + length;
        double due = 0;
        for (; now_ < end; now_ += step) {
            finish_requests();
            if (now_ >= next_heartbeat_)
                exchange_heartbeats();
            for (due += rate * to_seconds(step); due >= 1; due -= 1)
                send(random_.below(nodes_.size()));
        }
    }

    /// The node's process ends, with its requests, and another one starts that
    /// has heard nobody yet.
    void restart(std::size_t node)
    {
        nodes_[node] = make_node(hosts_[node], {});
    }

    /// From now on the node knows all hosts.
    void discover(std::size_t node)
    {
        nodes_[node]->registry.set_assignable_hosts(hosts_);
    }

    void set_partitioned(bool on) { partitioned_ = on; }

    std::size_t most_rejected() const
    {
        std::size_t out = 0;
        for (const simulated_target& it : targets_)
            out = std::max(out, it.most_rejected);
        return out;
    }

    double served_share() const { return double(served_) / sent_; }

private:
    std::unique_ptr<simulated_node> make_node(const host_id& host,
                                              std::vector<host_id> known)
    {
        auto out = std::make_unique<simulated_node>(host);
        out->registry.sync(listed_, false, now_);
        out->registry.set_assignable_hosts(std::move(known));
        for (const simulated_target& it : targets_)
            out->registry.note_signals(
                it.entry.process(),
                {.max_rejections = bound, .is_latest = true}, now_);
        return out;
    }

    void add_node(const host_id& host, std::vector<host_id> known)
    {
        nodes_.push_back(make_node(host, std::move(known)));
    }

    void finish_requests()
    {
        for (auto& node : nodes_)
            while (!node->running.empty() &&
                   node->running.front().end <= now_) {
                node->registry.finished(std::move(node->running.front().use),
                                        target_evidence::answered, now_);
                node->running.pop_front();
            }
    }

    void exchange_heartbeats()
    {
        next_heartbeat_ = now_ + heartbeat_period;
        if (partitioned_)
            return;
        for (std::size_t from = 0; from < nodes_.size(); ++from)
            for (std::size_t to = 0; to < nodes_.size(); ++to)
                if (from != to)
                    nodes_[to]->registry.set_peer_load(
                        hosts_[from], nodes_[from]->registry.own_load());
    }

    /// As request_driver does: a rejected request may go to another target.
    void send(std::size_t number)
    {
        simulated_node& node = *nodes_[number];
        routing_request request;
        request.service = service_id("shop");
        request.objective = milliseconds(300);
        ++sent_;
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto made = node.registry.choose(request, now_, random_);
            if (!made)
                return;
            target_use use = node.registry.started(*made, request, now_);
            const auto target =
                std::ranges::find(targets_, made->target,
                                  [](const auto& it) { return it.entry.id; });
            if (target->accept(now_)) {
                node.running.push_back({std::move(use), now_ + service_time});
                ++served_;
                return;
            }
            node.registry.finished(std::move(use), target_evidence::full, now_);
            request.avoid.push_back(made->process());
            request.was_rejected = true;
        }
    }

    instant now_{seconds(100)};
    instant next_heartbeat_;
    random_source random_{7};
    std::vector<simulated_target> targets_;
    catalog::target_list::entry_map listed_;
    std::vector<host_id> hosts_;
    std::vector<std::unique_ptr<simulated_node>> nodes_;
    bool partitioned_ = false;
    int sent_ = 0;
    int served_ = 0;
};

} // namespace

TEST_GROUP(brittle_target){};

// Guards against nodes that all see a free slot and fill it together: the
// target rejects what doesn't fit, fails, and its neighbours follow.
TEST(brittle_target, an_overload_is_refused_before_it_reaches_the_targets)
{
    brittle_fleet fleet(8, 3, 6);
    fleet.run(100, seconds(5));
    fleet.run(1000, seconds(5));
    CHECK(fleet.most_rejected() <= bound);
}

// Guards against places that nodes hold back although the targets are idle.
TEST(brittle_target, a_usual_load_is_served)
{
    brittle_fleet fleet(8, 3, 6);
    fleet.run(60, seconds(10));
    CHECK(fleet.most_rejected() <= bound);
    CHECK(fleet.served_share() > 0.99);
}

// The same with more nodes than places: most have no part of their own.
TEST(brittle_target, nodes_without_a_part_use_what_is_free)
{
    brittle_fleet fleet(40, 3, 6);
    fleet.run(40, seconds(10));
    CHECK(fleet.most_rejected() <= bound);
    CHECK(fleet.served_share() > 0.9);
}

TEST(brittle_target, parts_hold_while_nodes_do_not_hear_each_other)
{
    brittle_fleet fleet(8, 3, 6);
    fleet.run(40, seconds(2));
    fleet.set_partitioned(true);
    fleet.run(300, seconds(5));
    CHECK(fleet.most_rejected() <= bound);
}

// A new process doesn't know the fleet, and takes one place at each target.
TEST(brittle_target, parts_hold_while_nodes_restart)
{
    brittle_fleet fleet(8, 3, 6);
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.restart(i);
        fleet.run(200, seconds(1));
        fleet.discover(i);
    }
    CHECK(fleet.most_rejected() <= bound);
}

TEST_GROUP(brittle_signal)
{
    target_registry registry{
        {.self = host_id("n0"), .own_data_center = data_center_id("a")}};
    const instant start = instant(seconds(100));
    random_source random{1};
    catalog::target_list::entry_map listed;

    void setup() override
    {
        for (int i = 0; i < 2; ++i) {
            const auto entry = sample_engine(i, 4);
            listed[entry.id] = entry;
        }
        registry.sync(listed, false, start);
        registry.set_assignable_hosts({host_id("n0"), host_id("n1")});
    }

    /// Requests that may run at the same time, of all targets together.
    int places(instant now)
    {
        routing_request request;
        request.service = service_id("llm");
        int out = 0;
        std::vector<target_use> uses;
        while (out < 20) {
            const auto got = registry.choose(request, now, random);
            if (!got)
                break;
            uses.push_back(registry.started(*got, request, now));
            ++out;
        }
        for (target_use& it : uses)
            registry.finished(std::move(it), target_evidence::nothing, now);
        return out;
    }
};

// Two of four slots at each of two targets; at one that is free, all below
// half, which is the same.
TEST(brittle_signal, binds_all_targets_of_the_service)
{
    CHECK(places(start) == 20);
    registry.note_signals(sample_engine(0, 4).process(), {.max_rejections = 5},
                          start);
    CHECK(places(start) == 4);
    routing_request request;
    request.service = service_id("llm");
    CHECK(registry.why_no_target(request, start) ==
          no_target_reason::none_usable);
}

TEST(brittle_signal, ends_with_an_answer_that_does_not_name_it)
{
    const instant later = start + seconds(1);
    registry.note_signals(sample_engine(0, 4).process(), {.max_rejections = 5},
                          start);
    for (int i = 0; i < 2; ++i)
        registry.note_signals(sample_engine(i, 4).process(),
                              {.is_latest = true}, later);
    CHECK(places(later) == 20);
}

TEST(brittle_signal, is_heard_from_peers)
{
    const auto process = sample_engine(0, 4).process();
    const auto got = registry.merge_peer_brittle(
        {{process.id, process.start, 5, milliseconds(100)}}, start);
    UNSIGNED_LONGS_EQUAL(1, got.size());
    CHECK(places(start) == 4);
    UNSIGNED_LONGS_EQUAL(0, registry.own_brittle(start).size());
    registry.note_signals(process, {.max_rejections = 5}, start);
    UNSIGNED_LONGS_EQUAL(1, registry.own_brittle(start).size());
}

// Guards against trying a brittle target again within the second in which it
// counts its rejections.
TEST(brittle_signal, a_rejection_ends_sending_for_a_second)
{
    const auto process = sample_engine(0, 4).process();
    registry.note_signals(process, {.max_rejections = 5}, start);
    registry.note_evidence(process, target_evidence::full, start);
    CHECK(places(start + milliseconds(900)) == 2);
    CHECK(places(start + seconds(1)) == 4);
}
