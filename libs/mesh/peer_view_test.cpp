#include "fennelladder/base/random.hpp"
#include "fennelladder/mesh/peer_view.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr instant start = instant(seconds(100));

node_heartbeat from(int i, std::uint64_t sequence = 1,
                    std::uint64_t incarnation = 1)
{
    node_heartbeat out;
    out.host = host_id("n" + std::to_string(i));
    out.incarnation = node_incarnation(incarnation);
    out.sequence = sequence;
    out.state = node_state::ready;
    out.peer_address = "10.0.0." + std::to_string(i) + ":7000";
    out.platform_reached = true;
    return out;
}

} // namespace

TEST_GROUP(peer_view)
{
    mesh::peer_view nodes{host_id("n0"), {}};
};

TEST(peer_view, a_node_is_new_once_per_incarnation)
{
    CHECK(nodes.on_heartbeat(from(1), start).new_node);
    CHECK(!nodes.on_heartbeat(from(1, 2), start).new_node);
    CHECK(nodes.on_heartbeat(from(1, 1, 2), start).new_node);
}

TEST(peer_view, an_incarnation_that_ends_without_leaving_has_died)
{
    CHECK(!nodes.on_heartbeat(from(1), start).died);
    CHECK(nodes.on_heartbeat(from(1, 1, 2), start).died);
    node_heartbeat leaving = from(1, 2, 2);
    leaving.state = node_state::leaving;
    nodes.on_heartbeat(leaving, start);
    CHECK(!nodes.on_heartbeat(from(1, 1, 3), start).died);
}

TEST(peer_view, an_out_of_order_heartbeat_changes_nothing)
{
    nodes.on_heartbeat(from(1, 5), start);
    node_heartbeat late = from(1, 4);
    late.state = node_state::leaving;
    CHECK(nodes.on_heartbeat(late, start).late);
    CHECK(!nodes.on_heartbeat(late, start).state_changed);
    CHECK(nodes.alive(start).at(0)->last.state == node_state::ready);
}

TEST(peer_view, a_silent_node_is_not_alive)
{
    nodes.on_heartbeat(from(1), start);
    UNSIGNED_LONGS_EQUAL(1, nodes.alive(start + milliseconds(900)).size());
    UNSIGNED_LONGS_EQUAL(0, nodes.alive(start + milliseconds(1100)).size());
}

TEST(peer_view, seeds_are_probed_until_a_node_answers)
{
    nodes.add_addresses({"10.0.0.1:7000", "10.0.0.2:7000"});
    UNSIGNED_LONGS_EQUAL(1, nodes.due(start).size());
    nodes.on_heartbeat(from(1), start);
    nodes.on_heartbeat(from(2), start);
    const auto due = nodes.due(start + seconds(1));
    UNSIGNED_LONGS_EQUAL(2, due.size());
}

// Guards against slow discovery after a restart of a large fleet. Each node has
// the others' addresses from the platform and has heard from none. Probing one
// address four times a second, a hundred nodes needed half a minute to find
// each other, and each saw almost no peers until then.
TEST(peer_view, many_unanswered_addresses_are_all_probed_within_seconds)
{
    std::vector<std::string> all;
    for (int i = 1; i <= 99; ++i)
        all.push_back("10.0.0." + std::to_string(i) + ":7000");
    nodes.add_addresses(all);
    std::set<std::string> tried;
    for (instant at = start; at < start + seconds(3); at += milliseconds(50))
        for (const std::string& it : nodes.due(at))
            tried.insert(it);
    UNSIGNED_LONGS_EQUAL(99, tried.size());
}

// When the nodes that watch the platform lose it, others have to take over, and
// all nodes have to agree on which.
TEST(peer_view, those_that_reach_the_platform_rank_first)
{
    node_heartbeat cut = from(1);
    cut.platform_reached = false;
    nodes.on_heartbeat(cut, start);
    nodes.on_heartbeat(from(2), start);
    nodes.on_heartbeat(from(3), start);
    CHECK(nodes.rank("x", true, 0, start) <= 2);
    CHECK(nodes.rank("x", false, 0, start) >= 2);
}

// Guards against small hosts that distribute a large configuration. Three small
// hosts that watched the platform sent a configuration of a thousand routes to
// sixty nodes, which took eight seconds on their links; callers were served
// from an outdated one meanwhile.
TEST(peer_view, large_hosts_rank_before_small_ones)
{
    for (int i = 1; i <= 20; ++i) {
        node_heartbeat it = from(i);
        it.capacity = i <= 4 ? 400 : 100;
        nodes.on_heartbeat(it, start);
    }
    CHECK(nodes.rank("x", true, 100, start) >= 4);
    CHECK(nodes.rank("x", true, 400, start) <= 4);
    // One that doesn't reach the platform ranks behind all that do, however
    // large.
    UNSIGNED_LONGS_EQUAL(20, nodes.rank("x", false, 400, start));
}

TEST(peer_view, size_is_compared_with_those_that_reach_the_platform)
{
    CHECK(nodes.classify_size(100, start).large);
    DOUBLES_EQUAL(1, nodes.classify_size(100, start).large_fraction, 1e-9);
    for (int i = 1; i <= 9; ++i) {
        node_heartbeat it = from(i);
        it.capacity = i <= 2 ? 400 : 100;
        nodes.on_heartbeat(it, start);
    }
    CHECK(!nodes.classify_size(100, start).large);
    DOUBLES_EQUAL(0.2, nodes.classify_size(100, start).large_fraction, 1e-9);
    DOUBLES_EQUAL(0.3, nodes.classify_size(400, start).large_fraction, 1e-9);
    // The large ones don't reach the platform, so the small ones are the
    // largest.
    for (int i = 1; i <= 2; ++i) {
        node_heartbeat it = from(i, 2);
        it.capacity = 400;
        it.platform_reached = false;
        nodes.on_heartbeat(it, start);
    }
    CHECK(nodes.classify_size(100, start).large);
    DOUBLES_EQUAL(0.8, nodes.classify_size(100, start).large_fraction, 1e-9);
}

TEST(peer_view, nodes_agree_on_ranks)
{
    constexpr int n = 6;
    std::vector<std::size_t> ranks;
    for (int self = 0; self < n; ++self) {
        mesh::peer_view it(host_id("n" + std::to_string(self)), {});
        for (int i = 0; i < n; ++i)
            it.on_heartbeat(from(i), start);
        ranks.push_back(it.rank("targets", true, 0, start));
    }
    std::ranges::sort(ranks);
    for (std::size_t i = 0; i < n; ++i)
        UNSIGNED_LONGS_EQUAL(i, ranks[i]);
}

TEST(peer_view, nodes_agree_on_one_leader_that_reaches_the_platform)
{
    constexpr int n = 6;
    // All but node 2 reach the platform, then all but the previous leaders.
    std::set<int> cut{2};
    for (int round = 0; round < 3; ++round) {
        std::set<host_id> leaders;
        for (int self = 0; self < n; ++self) {
            mesh::peer_view it(host_id("n" + std::to_string(self)), {});
            for (int i = 0; i < n; ++i) {
                node_heartbeat message = from(i);
                message.platform_reached = !cut.contains(i);
                it.on_heartbeat(message, start);
            }
            const bool reached = !cut.contains(self);
            const peer_record* first = it.leader("x", reached, 0, start);
            leaders.insert(first != nullptr
                               ? first->last.host
                               : host_id("n" + std::to_string(self)));
        }
        UNSIGNED_LONGS_EQUAL(1, leaders.size());
        const int leader = std::stoi(leaders.begin()->str().substr(1));
        CHECK(!cut.contains(leader));
        cut.insert(leader);
    }
}

namespace {

/// Peer views of a whole fleet in virtual time, over a network that loses one
/// datagram in twenty.
class fleet
{
public:
    explicit fleet(int n)
    {
        for (int i = 0; i < n; ++i)
            views_.emplace_back(host_id(name(i)), peer_view_options{});
        for (int i = 0; i < n; ++i)
            for (int from = 0; from < n; ++from)
                views_[i].on_heartbeat(heartbeat_of(from), now_);
    }

    void kill(int i) { dead_.insert(i); }

    /// Runs for `length`. Returns the fraction of checks of one live node by
    /// another that found it dead.
    double run(duration length)
    {
        std::size_t checks = 0;
        std::size_t wrong = 0;
        const instant end = now_ + length;
        for (; now_ < end; now_ += milliseconds(50)) {
            for (int from = 0; from < size(); ++from)
                if (!dead_.contains(from))
                    send(from);
            if (now_.time_since_epoch() % milliseconds(250) != duration(0))
                continue;
            for (int at = 0; at < size(); ++at)
                if (!dead_.contains(at)) {
                    const std::size_t live = size() - dead_.size() - 1;
                    const std::size_t seen = views_[at].alive(now_).size();
                    checks += live;
                    wrong += live - std::min(live, seen);
                }
        }
        return static_cast<double>(wrong) / static_cast<double>(checks);
    }

    /// Number of live nodes that see `i` as alive.
    int count_believing_alive(int i)
    {
        int out = 0;
        for (int at = 0; at < size(); ++at)
            for (const peer_record* it : views_[at].alive(now_))
                out += !dead_.contains(at) && it->last.host.str() == name(i);
        return out;
    }

private:
    static std::string name(int i) { return "n" + std::to_string(i); }
    int size() const { return static_cast<int>(views_.size()); }

    node_heartbeat heartbeat_of(int i)
    {
        node_heartbeat out;
        out.host = host_id(name(i));
        out.incarnation = node_incarnation(static_cast<std::uint64_t>(i) + 1);
        out.sequence = ++sequence_;
        out.state = node_state::ready;
        out.peer_address = name(i);
        out.heard = views_[i].recent_peers(now_);
        return out;
    }

    void send(int from)
    {
        for (const std::string& to : views_[from].due(now_)) {
            const int at = std::stoi(to.substr(1));
            if (random_.below(20) != 0 && !dead_.contains(at))
                views_[at].on_heartbeat(heartbeat_of(from), now_);
        }
    }

    std::vector<mesh::peer_view> views_;
    std::set<int> dead_;
    std::uint64_t sequence_ = 0;
    random_source random_{7};
    instant now_ = start;
};

} // namespace

// Guards against slow failure detection in a large fleet. In a fleet of sixty,
// a node hears each other one every 1.5 s; waiting for four heartbeats, callers
// were sent to a dead node for 6 s and its share of watching the platform was
// left undone. In a fleet of 200 it took 20 s.
TEST(peer_view, a_dead_node_is_detected_within_seconds_in_a_large_fleet)
{
    struct row
    {
        int nodes;
        duration noticed;
    };
    for (const row& it : {row{8, milliseconds(1100)}, row{60, seconds(2)},
                          row{200, seconds(6)}}) {
        fleet all(it.nodes);
        all.run(seconds(1));
        all.kill(3);
        all.run(it.noticed);
        LONGS_EQUAL(0, all.count_believing_alive(3));
    }
}

TEST(peer_view, live_nodes_are_not_taken_for_dead_in_a_large_fleet)
{
    for (const int n : {8, 60, 100}) {
        fleet all(n);
        all.run(seconds(5));
        CHECK(all.run(seconds(10)) < 0.001);
    }
}

// Guards against needless disagreement: the choice among large hosts must not
// depend on which nodes were heard most recently.
TEST(peer_view, large_hosts_are_retained_and_large_members_are_alive)
{
    for (int i = 1; i <= 4; ++i) {
        node_heartbeat it = from(i);
        it.capacity = i <= 2 ? 400 : 100;
        nodes.on_heartbeat(it, start);
    }
    using hosts = std::vector<host_id>;
    const hosts large{host_id("n1"), host_id("n2")};
    CHECK(nodes.large_hosts(100) == large);
    CHECK(nodes.large_members(100, start) == large);
    UNSIGNED_LONGS_EQUAL(3, nodes.large_members(300, start).size());
    const instant later = start + seconds(10);
    CHECK(nodes.large_hosts(100) == large);
    CHECK(nodes.large_members(100, later).empty());
}

TEST(peer_view, a_large_fleet_sends_no_more_heartbeats)
{
    for (int i = 1; i <= 200; ++i)
        nodes.on_heartbeat(from(i), start);
    std::size_t sent = 0;
    for (int ms = 0; ms < 10'000; ms += 50)
        sent += nodes.due(start + milliseconds(ms)).size();
    CHECK(sent <= 10 * 40 + 200);
    CHECK(sent >= 300);
}

// Guards against the parts of a partitioned fleet that each share a limit only
// among the hosts they hear.
TEST(peer_view, hosts_count_long_after_their_last_heartbeat)
{
    nodes.on_heartbeat(from(1), start);
    nodes.on_heartbeat(from(2), start);
    nodes.forget_old(start + minutes(5));
    UNSIGNED_LONGS_EQUAL(1, nodes.size());
    UNSIGNED_LONGS_EQUAL(3, nodes.host_count());
    UNSIGNED_LONGS_EQUAL(3, nodes.large_hosts(0).size());
    nodes.forget_old(start + minutes(11));
    UNSIGNED_LONGS_EQUAL(1, nodes.host_count());
}

// Guards against a node that starts in one part of a partitioned fleet, and has
// the others only from the platform's list.
TEST(peer_view, hosts_that_never_answered_count)
{
    nodes.add_addresses({"10.0.0.1:7000", "10.0.0.2:7000"});
    UNSIGNED_LONGS_EQUAL(3, nodes.host_count());
    nodes.on_heartbeat(from(1), start);
    UNSIGNED_LONGS_EQUAL(3, nodes.host_count());
}
