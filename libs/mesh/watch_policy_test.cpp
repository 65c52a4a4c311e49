// Who asks the platform, first for one node, then for a fleet of sixty in
// virtual time: rosters, ages and decisions are the product's, messages arrive
// on the next step, and the platform answers whom it isn't cut off from.

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

/// Of 4,450 routes, as the platform lists them.
constexpr double configuration_bytes = 1e6;
constexpr double small_link = 10e6; ///< In bits per second.
constexpr double large_link = 200e6;
/// 31 ms of a core, on a host with an eighth of one, and with half of one.
constexpr duration small_time_to_read = milliseconds(250);
constexpr duration large_time_to_read = milliseconds(60);
constexpr double small_capacity = 100;
constexpr double large_capacity = 400;

/// Of the platform or a connection that is cut.
constexpr duration call_time = milliseconds(10);
constexpr duration dial_limit = milliseconds(600);
constexpr duration silence = milliseconds(1500);

enum class platform_link
{
    good,
    cut,   ///< Can't be dialled.
    silent ///< Takes calls and answers none.
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
          duty(its_limits, random.unit())
    {}

    bool is_large() const { return capacity >= large_capacity; }

    std::string name;
    double capacity;
    mesh::peer_view nodes;
    random_source random;
    watch_policy duty;
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
        // All hear of each other at once, as after a common start.
        for (const auto& it : all)
            tell_all(*it);
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

    /// Order in which nodes watch, as `by` sees it.
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
                look(it);
            if ((number + static_cast<long>(i)) % 5 == 0)
                send_due(it);
            if (const auto age = it.known.age(now))
                record_->oldest = std::max(record_->oldest, *age);
        }
    }

    node_heartbeat beacon_of(sim_node& it) const
    {
        node_heartbeat out;
        out.host = host_id(it.name);
        out.life = node_incarnation(1);
        out.sequence = ++it.sequence;
        out.state = node_state::ready;
        out.peer_address = it.name;
        out.platform_reached = it.reached;
        out.capacity = it.capacity;
        out.targets_age = it.known.age(now);
        return out;
    }

    void hear(sim_node& to, const node_heartbeat& from)
    {
        if (to.frozen || to.name == from.host.str())
            return;
        to.nodes.on_heartbeat(from, now);
        if (from.targets_age)
            to.known.confirm(now - *from.targets_age - hop_allowance);
    }

    void tell_all(sim_node& from)
    {
        const node_heartbeat message = beacon_of(from);
        for (const auto& it : all)
            hear(*it, message);
    }

    void send_due(sim_node& from)
    {
        const auto due = from.nodes.due(now);
        if (due.empty())
            return;
        const node_heartbeat message = beacon_of(from);
        for (const std::string& name : due)
            hear(*all[std::stoul(name.substr(1))], message);
    }

    void note_contact(sim_node& it, bool reached)
    {
        if (it.reached == reached)
            return;
        it.reached = reached;
        tell_all(it);
    }

    void look(sim_node& it)
    {
        if (it.calling)
            return;
        const size_class place = it.nodes.classify_size(it.capacity, now);
        it.reason = it.duty.decide({rank(it), it.known.age(now), {}, place});
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
        duration lasts = it.watching ? limits_.watch_timeout : call_time;
        if (!it.watching && !probing) {
            ++record_->listings;
            record_->small_listings += it.is_large() ? 0 : 1;
            lasts += listing_time(it);
        }
        if (it.platform == platform_link::silent ||
            (it.watching && it.platform != platform_link::good))
            lasts = silence;
        else if (it.platform == platform_link::cut)
            lasts = dial_limit;
        it.call_ends = now + lasts;
    }

    /// After the first byte, until what is listed is read.
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
            // A new connection is tried before the platform counts as away.
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
            // What is listed is as old as the first byte of it.
            it.known.confirm(it.watching ? now : it.begun + call_time);
            it.duty.record_success(now - it.begun, before, it.random);
            if (before > limits_.stale_after)
                tell_all(it);
        }
        note_contact(it, true);
    }

    void fail(sim_node& it)
    {
        it.duty.record_failure();
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
    watch_policy duty{limits, 0};
    random_source random{1};
};

TEST(watch_policy, limits_leave_a_part_of_the_bound_for_the_way_to_the_others)
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

TEST(watch_policy, a_nodes_own_factor_lengthens_its_limit)
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

// Guards against a fleet of equal hosts, all of them large, that ask together.
TEST(watch_policy, equal_hosts_ask_over_the_whole_spread)
{
    DOUBLES_EQUAL(1, limit_factor({true, 1}, 0), 1e-9);
    DOUBLES_EQUAL(max_limit_factor, limit_factor({true, 1}, 1), 1e-9);
}

// Story: a version was announced and its holder went away with it. The rest
// of the bound has to do for a megabyte over a small link.
TEST(watch_policy, what_was_announced_is_asked_for_early)
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

TEST(watch_policy, one_that_asked_stays_while_nobody_else_does)
{
    CHECK(duty.decide({9, seconds(2), {}, {}}) == watch_reason::stale);
    duty.record_success(call_time, seconds(2), random);
    for (int i = 0; i < 50; ++i) {
        CHECK(duty.decide(calm) == watch_reason::stale);
        duty.record_success(seconds(1), seconds(1), random);
    }
}

TEST(watch_policy, one_that_hears_of_other_watchers_leaves)
{
    (void)duty.decide({9, seconds(2), {}, {}});
    duty.record_success(call_time, seconds(2), random);
    int watches = 0;
    while (duty.decide(calm) == watch_reason::stale) {
        duty.record_success(seconds(1), milliseconds(300), random);
        CHECK(++watches < 30);
    }
}

TEST(watch_policy, one_that_fails_or_ranks_first_is_no_stand_in_any_more)
{
    (void)duty.decide({9, seconds(2), {}, {}});
    duty.record_success(call_time, seconds(2), random);
    duty.record_failure();
    CHECK(duty.decide(calm) == watch_reason::none);
    (void)duty.decide({9, seconds(2), {}, {}});
    duty.record_success(call_time, seconds(2), random);
    CHECK(duty.decide({1, seconds(1), {}, {}}) == watch_reason::ranked);
    CHECK(duty.decide(calm) == watch_reason::none);
}

TEST(watch_policy, pauses_grow_and_end_within_two_seconds_with_the_dial)
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

TEST(watching_fleet, only_two_ask_while_all_is_well)
{
    const run_record got = fleet.run(seconds(20));
    // Two that watch for a second each, and now and then a step of waiting.
    CHECK(got.calls <= 40);
    CHECK(got.oldest < limits.stale_after);
}

// Story: the hosts that watch are killed, or frozen, in the same moment. The
// others count them as alive for six seconds, and nobody asked the platform
// until then.
TEST(watching_fleet, three_first_ranked_that_freeze_are_stood_in_for)
{
    const auto order = fleet.ranked();
    for (int i = 0; i < 3; ++i)
        order[i]->frozen = true;
    const run_record got = fleet.run(seconds(10));
    CHECK(got.oldest < bound);
    CHECK(got.calls < 10 * 12);
    // Later the next in order watch, and the stand-ins have left.
    CHECK(fleet.run(seconds(10)).calls <= 10 * 3);
}

// Story: the platform goes silent for a third of the hosts, those that watch
// among them. Their watches wait for answers that don't come.
TEST(watching_fleet, a_platform_silent_for_a_third_is_asked_by_the_others)
{
    const auto order = fleet.ranked();
    for (int i = 0; i < sim_fleet::size / 3; ++i)
        order[i]->platform = platform_link::silent;
    const run_record got = fleet.run(seconds(10));
    CHECK(got.oldest < bound);
    CHECK(got.calls < 10 * 20);
}

// Story: all hosts but one small one are cut off from the platform. Those
// that had reached it once went on claiming so, and were tried three at a
// time; the one that could have asked was behind all of them.
TEST(watching_fleet, the_only_host_that_reaches_the_platform_asks)
{
    cut_all_but(sim_fleet::size - 1, platform_link::cut);
    const run_record got = fleet.run(seconds(10));
    CHECK(got.oldest < bound);
    CHECK(got.calls < 10 * 20);
    CHECK(fleet.all.back()->reason != watch_reason::none);
}

TEST(watching_fleet, the_large_ones_watch_again_after_a_cut)
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

// Story: the platform is away for everybody. Each call costs, also a refused
// one, and sixty hosts try.
TEST(watching_fleet, tries_stay_bounded_while_the_platform_is_away)
{
    cut_all_but(-1, platform_link::cut);
    fleet.run(seconds(5));
    const run_record got = fleet.run(seconds(10));
    CHECK(got.calls < 10 * 45);
}

// Story: a host is cut off, and the whole fleet after it. Its own link comes
// back first. It reached the platform for its tokens and asked for nothing
// else; for seven seconds it refused requests on routes that were there.
TEST(watching_fleet, a_host_whose_link_returns_alone_asks_within_two_seconds)
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
        // Its answer reaches the others at once.
        fleet.run(milliseconds(100));
        for (const auto& it : fleet.all)
            CHECK(it->known.age(fleet.now) < limits.stale_after);
    }
}

TEST_GROUP(listing_fleet){
    /// What ten seconds cost after the platform fell silent for the first two.
    static run_record after_watches_fell_silent(const sim_setup& setup){
        sim_fleet fleet(setup);
const auto order = fleet.ranked();
for (std::size_t i = 0; i < watcher_count; ++i)
    order[i]->platform = platform_link::silent;
return fleet.run(seconds(10));
}
}
;

// Story: the platform falls silent for the two that watch while nothing
// changes, and what everybody knows grows old. Sixty hosts listed a megabyte
// each to be told that, since all of them began before the first was done.
TEST(listing_fleet, large_hosts_spare_the_small_ones_the_configuration)
{
    const run_record got =
        after_watches_fell_silent({60, 8, update_size::bulk});
    CHECK(got.oldest <= bound);
    // Eight large ones, of which two tried again on a new connection.
    CHECK_COMPARE(got.bytes(), <=, 10 * configuration_bytes);
    LONGS_EQUAL(0, got.small_listings);
}

TEST(listing_fleet, equal_hosts_spare_some_of_themselves)
{
    const run_record got = after_watches_fell_silent({8, 8, update_size::bulk});
    CHECK(got.oldest <= bound);
    CHECK_COMPARE(got.bytes(), <=, 5 * configuration_bytes);
}

TEST(listing_fleet, nobody_lists_while_all_is_well)
{
    sim_fleet fleet({60, 8, update_size::bulk});
    LONGS_EQUAL(0, fleet.run(seconds(60)).listings);
}

// Story: all hosts but one small one are cut off from the platform. It has to
// be done within the bound though it needs a second for the listing.
TEST(listing_fleet, a_small_host_alone_is_done_within_the_bound)
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
