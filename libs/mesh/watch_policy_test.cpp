// Which nodes call the platform: first for a single node, then for a fleet of
// sixty in virtual time. Peer views, ages and decisions are the real code;
// messages arrive in the next step, and the platform answers all nodes that
// aren't partitioned from it.

#include "fennelladder/mesh/watch_policy.hpp"

#include "fennelladder/mesh/freshness.hpp"
#include "fennelladder/mesh/peer_view.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr duration bound = seconds(3);
constexpr staleness_limits limits = {seconds(1), milliseconds(1800),
                                     seconds(1)};
constexpr watch_inputs calm{9, milliseconds(500), std::nullopt, {}};

/// A configuration of 4,450 routes in the platform's format.
constexpr double configuration_bytes = 1e6;
constexpr double small_link = 10e6; ///< Bits per second.
constexpr double large_link = 200e6;
/// 31 ms of CPU time, on a host with an eighth of a core and one with half a
/// core.
constexpr duration small_time_to_read = milliseconds(250);
constexpr duration large_time_to_read = milliseconds(60);
constexpr double small_capacity = 100;
constexpr double large_capacity = 400;

/// Durations of a call that is answered, can't connect, or gets no answer.
constexpr duration call_time = milliseconds(10);
constexpr duration dial_limit = milliseconds(600);
constexpr duration silence = milliseconds(1500);

enum class platform_link
{
    good,
    cut,   ///< Can't be connected to.
    silent ///< Accepts calls and answers none.
};

struct sim_setup
{
    int size = 60;
    int large = 10;
    update_size kind = update_size::packets;
};

struct sim_node
{
    sim_node(int i, double power, std::uint64_t seed,
             staleness_limits its_limits)
        : name("n" + std::to_string(i)), capacity(power),
          nodes(host_id(name), {}), random(seed),
          policy(its_limits, random.unit())
    {}

    bool is_large() const { return capacity >= large_capacity; }

    std::string name;
    double capacity;
    mesh::peer_view nodes;
    random_source random;
    watch_policy policy;
    freshness known;
    platform_link platform = platform_link::good;
    bool reached = true;
    bool frozen = false;
    bool listed = false;
    bool calling = false;
    bool watching = false;
    watch_reason reason = watch_reason::none;
    instant begun;
    instant call_ends;
    instant next_try;
    instant next_probe;
    bool probing = false;
    int failures = 0;
    std::uint64_t sequence = 0;
};

/// What happened while the fleet ran.
struct run_record
{
    int calls = 0;
    int listings = 0;
    int small_listings = 0;
    duration oldest{};

    double bytes() const { return listings * configuration_bytes; }
};

class sim_fleet
{
public:
    explicit sim_fleet(const sim_setup& setup = {})
        : kind_(setup.kind), limits_(staleness_limits_for(bound, setup.kind))
    {
        for (int i = 0; i < setup.size; ++i)
            all.push_back(std::make_unique<sim_node>(
                i, i < setup.large ? large_capacity : small_capacity,
                std::uint64_t(i) + 1, limits_));
        // All nodes discover each other at once, as after a common start.
        for (const auto& it : all)
            send_to_all(*it);
        run(seconds(10));
    }

    run_record run(duration length)
    {
        run_record out;
        record_ = &out;
        for (const instant end = now + length; now < end; now += step)
            take_step();
        record_ = nullptr;
        return out;
    }

    /// Nodes in the order in which they watch.
    std::vector<sim_node*> ranked()
    {
        std::vector<sim_node*> out;
        for (const auto& it : all)
            out.push_back(it.get());
        std::ranges::sort(out, {}, [&](sim_node* it) { return rank(*it); });
        return out;
    }

    std::size_t rank(const sim_node& it) const
    {
        return it.nodes.rank("targets", it.reached, it.capacity, now);
    }

    static constexpr int size = 60;

    instant now = instant(seconds(1000));
    std::vector<std::unique_ptr<sim_node>> all;

private:
    static constexpr duration step = milliseconds(10);

    void take_step()
    {
        const auto number = (now - instant()) / step;
        for (std::size_t i = 0; i < all.size(); ++i) {
            sim_node& it = *all[i];
            if (it.frozen)
                continue;
            if (it.calling && now >= it.call_ends)
                end_call(it);
            if ((number + static_cast<long>(i)) % 10 == 0)
                decide_and_call(it);
            if ((number + static_cast<long>(i)) % 5 == 0)
                send_due(it);
            if (const auto age = it.known.age(now))
                record_->oldest = std::max(record_->oldest, *age);
        }
    }

    node_heartbeat heartbeat_of(sim_node& it) const
    {
        node_heartbeat out;
        out.host = host_id(it.name);
        out.incarnation = node_incarnation(1);
        out.sequence = ++it.sequence;
        out.state = node_state::ready;
        out.peer_address = it.name;
        out.platform_reached = it.reached;
        out.capacity = it.capacity;
        out.targets_age = it.known.age(now);
        return out;
    }

    void receive(sim_node& to, const node_heartbeat& from)
    {
        if (to.frozen || to.name == from.host.str())
            return;
        to.nodes.on_heartbeat(from, now);
        if (from.targets_age)
            to.known.confirm(now - *from.targets_age - hop_allowance);
    }

    void send_to_all(sim_node& from)
    {
        const node_heartbeat message = heartbeat_of(from);
        for (const auto& it : all)
            receive(*it, message);
    }

    void send_due(sim_node& from)
    {
        const auto due = from.nodes.due(now);
        if (due.empty())
            return;
        const node_heartbeat message = heartbeat_of(from);
        for (const std::string& name : due)
            receive(*all[std::stoul(name.substr(1))], message);
    }

    void note_contact(sim_node& it, bool reached)
    {
        if (it.reached == reached)
            return;
        it.reached = reached;
        send_to_all(it);
    }

    void decide_and_call(sim_node& it)
    {
        if (it.calling)
            return;
        const size_class size = it.nodes.classify_size(it.capacity, now);
        it.reason = it.policy.decide({rank(it), it.known.age(now), {}, size});
        if (it.reason == watch_reason::none) {
            it.listed = false;
            probe(it);
        } else if (now >= it.next_try) {
            begin_call(it, false);
        }
    }

    void probe(sim_node& it)
    {
        if (now < it.next_probe)
            return;
        it.next_probe = now + jitter(it.random, seconds(5));
        const auto best = it.nodes.rank("targets", true, it.capacity, now);
        if (should_probe(it.reached, best))
            begin_call(it, true);
    }

    void begin_call(sim_node& it, bool probing)
    {
        ++record_->calls;
        it.calling = true;
        it.probing = probing;
        it.watching = it.listed && !probing;
        it.begun = now;
        duration call_length = it.watching ? limits_.watch_timeout : call_time;
        if (!it.watching && !probing) {
            ++record_->listings;
            record_->small_listings += it.is_large() ? 0 : 1;
            call_length += listing_time(it);
        }
        if (it.platform == platform_link::silent ||
            (it.watching && it.platform != platform_link::good))
            call_length = silence;
        else if (it.platform == platform_link::cut)
            call_length = dial_limit;
        it.call_ends = now + call_length;
    }

    /// Time from the first byte until the listing is read.
    duration listing_time(const sim_node& it) const
    {
        if (kind_ == update_size::packets)
            return duration(0);
        const double bits = 8 * configuration_bytes;
        return it.is_large()
                   ? from_seconds(bits / large_link) + large_time_to_read
                   : from_seconds(bits / small_link) + small_time_to_read;
    }

    void end_call(sim_node& it)
    {
        it.calling = false;
        if (it.platform == platform_link::good)
            succeed(it);
        else if (it.watching) {
            // A new connection is tried before the platform counts as
            // unreachable.
            it.listed = false;
            begin_call(it, false);
        } else
            fail(it);
    }

    void succeed(sim_node& it)
    {
        it.failures = 0;
        const auto before = it.known.age(now);
        if (!it.probing) {
            it.listed = true;
            // A listing is as old as its first byte.
            it.known.confirm(it.watching ? now : it.begun + call_time);
            it.policy.record_success(now - it.begun, before, it.random);
            if (before > limits_.stale_after)
                send_to_all(it);
        }
        note_contact(it, true);
    }

    void fail(sim_node& it)
    {
        it.policy.record_failure();
        ++it.failures;
        it.next_try = now + retry_delay(it.random, it.failures, it.reason);
        note_contact(it, false);
    }

    update_size kind_;
    staleness_limits limits_;
    run_record* record_ = nullptr;
};

} // namespace

TEST_GROUP(watch_policy)
{
    watch_policy policy{limits, 0};
    random_source random{1};
};

TEST(watch_policy, limits_leave_a_part_of_the_bound_for_propagation)
{
    for (const duration it : {seconds(2), seconds(3)}) {
        for (const update_size size :
             {update_size::packets, update_size::bulk}) {
            const staleness_limits got = staleness_limits_for(it, size);
            CHECK(got.watch_timeout < got.stale_after);
            CHECK(to_seconds(got.stale_after) * max_limit_factor <
                  0.76 * to_seconds(it));
        }
    }
}

TEST(watch_policy, the_first_two_watch_whatever_the_age)
{
    const struct
    {
        std::size_t rank;
        std::optional<duration> age;
        std::optional<duration> announced;
        watch_reason expected;
    } rows[] = {
        {0, milliseconds(0), {}, watch_reason::ranked},
        {1, seconds(9), {}, watch_reason::ranked},
        {0, {}, {}, watch_reason::ranked},
        {2, milliseconds(0), {}, watch_reason::none},
        {2, milliseconds(1800), {}, watch_reason::none},
        {2, milliseconds(1801), {}, watch_reason::stale},
        {2, milliseconds(0), milliseconds(1000), watch_reason::none},
        {2, milliseconds(0), milliseconds(1001), watch_reason::stale},
        {59, {}, {}, watch_reason::unknown},
    };
    for (const auto& it : rows) {
        watch_policy one(limits, 0);
        CHECK(one.decide({it.rank, it.age, it.announced, {}}) == it.expected);
    }
}

TEST(watch_policy, a_nodes_factor_extends_its_limit)
{
    watch_policy late(limits, 1);
    CHECK(late.decide({9, milliseconds(2200), {}, {}}) == watch_reason::none);
    CHECK(late.decide({9, milliseconds(2300), {}, {}}) == watch_reason::stale);
}

TEST(watch_policy, large_hosts_ask_before_any_small_one)
{
    const double part = 8.0 / 60;
    CHECK(limit_factor({true, part}, 1) <= 1.051);
    CHECK(limit_factor({false, part}, 0) >= 1.149);
    CHECK(limit_factor({false, part}, 1) <= max_limit_factor);
    DOUBLES_EQUAL(1, limit_factor({true, part}, 0), 1e-9);
}

// Guards against a fleet of equal hosts, all of them large, that ask at the
// same time.
TEST(watch_policy, equal_hosts_spread_over_all_factors)
{
    DOUBLES_EQUAL(1, limit_factor({true, 1}, 0), 1e-9);
    DOUBLES_EQUAL(max_limit_factor, limit_factor({true, 1}, 1), 1e-9);
}

// A version is announced, and the node that has it disappears. Once a node
// requests the update itself, the time left of the deployment's bound has to
// suffice to transfer a megabyte over a small host's link.
TEST(watch_policy, an_announced_update_is_requested_early)
{
    const duration transfer =
        from_seconds(8 * configuration_bytes / small_link);
    for (const duration it : {seconds(2), seconds(3)}) {
        const duration overdue =
            staleness_limits_for(it, update_size::bulk).overdue_after;
        CHECK(to_seconds(overdue) * max_limit_factor +
                  to_seconds(transfer + small_time_to_read) <
              to_seconds(it));
    }
}

TEST(watch_policy, a_substitute_stays_while_no_other_node_watches)
{
    CHECK(policy.decide({9, seconds(2), {}, {}}) == watch_reason::stale);
    policy.record_success(call_time, seconds(2), random);
    for (int i = 0; i < 50; ++i) {
        CHECK(policy.decide(calm) == watch_reason::stale);
        policy.record_success(seconds(1), seconds(1), random);
    }
}

TEST(watch_policy, a_substitute_stops_when_others_watch)
{
    (void)policy.decide({9, seconds(2), {}, {}});
    policy.record_success(call_time, seconds(2), random);
    int watches = 0;
    while (policy.decide(calm) == watch_reason::stale) {
        policy.record_success(seconds(1), milliseconds(300), random);
        CHECK(++watches < 30);
    }
}

TEST(watch_policy, a_node_that_fails_or_ranks_first_is_no_substitute)
{
    (void)policy.decide({9, seconds(2), {}, {}});
    policy.record_success(call_time, seconds(2), random);
    policy.record_failure();
    CHECK(policy.decide(calm) == watch_reason::none);
    (void)policy.decide({9, seconds(2), {}, {}});
    policy.record_success(call_time, seconds(2), random);
    CHECK(policy.decide({1, seconds(1), {}, {}}) == watch_reason::ranked);
    CHECK(policy.decide(calm) == watch_reason::none);
}

TEST(watch_policy, retry_delay_and_connect_timeout_stay_within_two_seconds)
{
    for (int failures = 1; failures < 40; ++failures) {
        const auto ranked = retry_delay(random, failures, watch_reason::ranked);
        const auto other = retry_delay(random, failures, watch_reason::stale);
        CHECK(ranked <= seconds(1));
        CHECK(other <= milliseconds(1500));
        if (failures > 5)
            CHECK(other >= milliseconds(750));
    }
    CHECK(retry_delay(random, 1, watch_reason::stale) <= milliseconds(100));
}

TEST(watch_policy, only_a_node_that_would_watch_probes)
{
    CHECK(should_probe(false, 1));
    CHECK(!should_probe(false, 2));
    CHECK(!should_probe(true, 0));
}

TEST_GROUP(watching_fleet)
{
    sim_fleet fleet;

    void cut_all_but(int left, platform_link how)
    {
        for (int i = 0; i < sim_fleet::size; ++i)
            if (i != left)
                fleet.all[i]->platform = how;
    }
};

TEST(watching_fleet, only_two_ask_in_a_healthy_fleet)
{
    const run_record got = fleet.run(seconds(20));
    // Two nodes with watches of one second each, and an occasional step in
    // between.
    CHECK(got.calls <= 40);
    CHECK(got.oldest < limits.stale_after);
}

// Guards against relying on failure detection. The hosts that watch are killed
// or frozen at the same moment. The others count them as alive for six seconds,
// and no node asked the platform until then.
TEST(watching_fleet, three_frozen_first_ranked_nodes_are_substituted)
{
    const auto order = fleet.ranked();
    for (int i = 0; i < 3; ++i)
        order[i]->frozen = true;
    const run_record got = fleet.run(seconds(10));
    CHECK(got.oldest < bound);
    CHECK(got.calls < 10 * 12);
    // Later the next in rank watch, and the substitutes have stopped.
    CHECK(fleet.run(seconds(10)).calls <= 10 * 3);
}

// The platform stops answering a third of the hosts, the watchers among them.
// Their watches wait for answers that don't come.
TEST(watching_fleet, a_platform_silent_for_a_third_is_asked_by_the_others)
{
    const auto order = fleet.ranked();
    for (int i = 0; i < sim_fleet::size / 3; ++i)
        order[i]->platform = platform_link::silent;
    const run_record got = fleet.run(seconds(10));
    CHECK(got.oldest < bound);
    CHECK(got.calls < 10 * 20);
}

// Guards against outdated claims to reach the platform. All hosts but one small
// one are partitioned from it. Those that had reached it before kept claiming
// so and were tried three at a time; the one that could have asked ranked
// behind all of them.
TEST(watching_fleet, the_only_host_that_reaches_the_platform_asks)
{
    cut_all_but(sim_fleet::size - 1, platform_link::cut);
    const run_record got = fleet.run(seconds(10));
    CHECK(got.oldest < bound);
    CHECK(got.calls < 10 * 20);
    CHECK(fleet.all.back()->reason != watch_reason::none);
}

TEST(watching_fleet, large_hosts_watch_again_after_a_partition)
{
    cut_all_but(sim_fleet::size - 1, platform_link::cut);
    fleet.run(seconds(10));
    for (const auto& it : fleet.all)
        it->platform = platform_link::good;
    fleet.run(seconds(10));
    CHECK(fleet.rank(*fleet.all.back()) >= watcher_count);
    CHECK(fleet.ranked()[0]->capacity > 100);
    CHECK(fleet.run(seconds(10)).calls <= 10 * 4);
}

// The platform is unreachable for all sixty hosts, which keep trying. Each call
// costs, even a refused one.
TEST(watching_fleet, retries_stay_bounded_while_the_platform_is_unreachable)
{
    cut_all_but(-1, platform_link::cut);
    fleet.run(seconds(5));
    const run_record got = fleet.run(seconds(10));
    CHECK(got.calls < 10 * 45);
}

// Guards against a recovered host that doesn't fetch updates. A host loses the
// platform, and the whole fleet after it; its own link recovers first. It
// reached the platform for tokens and asked for nothing else, and for seven
// seconds refused requests on routes that existed.
TEST(watching_fleet, a_host_whose_link_recovers_alone_asks_within_two_seconds)
{
    for (int i = 0; i < sim_fleet::size; i += 11) {
        cut_all_but(-1, platform_link::cut);
        fleet.run(seconds(6));
        sim_node& back = *fleet.all[i];
        back.platform = platform_link::good;
        duration waited{};
        while (back.known.age(fleet.now) > seconds(2) && waited < seconds(9)) {
            fleet.run(milliseconds(10));
            waited += milliseconds(10);
        }
        CHECK(waited <= milliseconds(2200));
        // Its answer is passed on to the others at once.
        fleet.run(milliseconds(100));
        for (const auto& it : fleet.all)
            CHECK(it->known.age(fleet.now) < limits.stale_after);
    }
}

TEST_GROUP(listing_fleet){
    /// Record of ten seconds after the platform stops answering the first two.
    static run_record after_watches_fell_silent(const sim_setup& setup){
        sim_fleet fleet(setup);
const auto order = fleet.ranked();
for (std::size_t i = 0; i < watcher_count; ++i)
    order[i]->platform = platform_link::silent;
return fleet.run(seconds(10));
}
}
;

// Guards against a full listing by every host. The platform stops answering the
// two watchers while nothing changes, and the data of all nodes becomes stale.
// All sixty hosts then listed a megabyte each to confirm their copies, since
// each began before the first listing was complete and could be shared.
TEST(listing_fleet, large_hosts_save_small_ones_the_listing)
{
    const run_record got =
        after_watches_fell_silent({60, 8, update_size::bulk});
    CHECK(got.oldest <= bound);
    // Eight large hosts, of which two retried on a new connection.
    CHECK_COMPARE(got.bytes(), <=, 10 * configuration_bytes);
    LONGS_EQUAL(0, got.small_listings);
}

TEST(listing_fleet, equal_hosts_avoid_some_listings)
{
    const run_record got = after_watches_fell_silent({8, 8, update_size::bulk});
    CHECK(got.oldest <= bound);
    CHECK_COMPARE(got.bytes(), <=, 5 * configuration_bytes);
}

TEST(listing_fleet, no_node_lists_in_a_healthy_fleet)
{
    sim_fleet fleet({60, 8, update_size::bulk});
    LONGS_EQUAL(0, fleet.run(seconds(60)).listings);
}

// All hosts but one small one are partitioned from the platform. It has to
// finish within the bound although its listing takes a second.
TEST(listing_fleet, a_small_host_alone_finishes_within_the_bound)
{
    for (std::size_t i = 10; i < sim_fleet::size; i += 7) {
        sim_fleet fleet({60, 8, update_size::bulk});
        for (const auto& it : fleet.all)
            it->platform = platform_link::cut;
        fleet.all[i]->platform = platform_link::good;
        const run_record got = fleet.run(seconds(10));
        CHECK_COMPARE(to_seconds(got.oldest), <=, to_seconds(bound));
    }
}
