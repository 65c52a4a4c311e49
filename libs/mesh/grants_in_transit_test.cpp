#include "fennelladder/mesh/grants_in_transit.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

const std::string asker_address = "127.0.0.1:7001";
const node_incarnation asker(11);
const node_incarnation next_asker(12);

instant at(duration since_start)
{
    return instant(hours(1)) + since_start;
}

token_grant grant_of(std::uint64_t number, std::int64_t amount)
{
    return {asker, transfer_number(number), team_id("t"), tokens(amount), {}};
}

token_grant_ack ack_of(std::uint64_t number)
{
    return {asker, transfer_number(number)};
}

/// The other nodes as the giver knows them.
class known_peers
{
public:
    void hear(node_incarnation incarnation, instant now)
    {
        node_heartbeat hello;
        hello.host = host_id("n1");
        hello.incarnation = incarnation;
        hello.sequence = ++sequence_;
        hello.state = node_state::ready;
        hello.peer_address = asker_address;
        view_.on_heartbeat(hello, now);
    }

    const peer_view& view() const { return view_; }

private:
    peer_view view_{host_id("n0"), {}};
    std::uint64_t sequence_ = 0;
};

} // namespace

TEST_GROUP(grants_in_transit)
{
    known_peers peers;
    grants_in_transit given;

    /// The asker has acknowledged one grant, and another is on its way.
    void begin()
    {
        peers.hear(asker, at(seconds(0)));
        given.add(grant_of(1, 50), asker_address, at(seconds(0)));
        given.acknowledge(ack_of(1), at(seconds(0)));
        given.add(grant_of(2, 70), asker_address, at(seconds(0)));
    }
};

TEST(grants_in_transit, a_grant_is_in_transit_until_it_is_acknowledged)
{
    begin();
    CHECK(given.in_transit() == tokens(70));
    LONGS_EQUAL(1, given.open().size());
    given.acknowledge(ack_of(2), at(milliseconds(5)));
    given.acknowledge(ack_of(2), at(milliseconds(6)));
    CHECK(given.none_open());
    CHECK(given.take_due(at(seconds(1))).empty());
}

TEST(grants_in_transit, a_grant_is_found_for_a_copy_of_its_request)
{
    begin();
    given.add(grant_of(3, 0), asker_address, at(seconds(0)));
    CHECK(given.find(asker, transfer_number(1))->amount == tokens(50));
    CHECK(given.find(asker, transfer_number(3))->amount == tokens(0));
    POINTERS_EQUAL(nullptr, given.find(next_asker, transfer_number(1)));
    given.forget_old(at(transfer_retention + seconds(1)));
    POINTERS_EQUAL(nullptr, given.find(asker, transfer_number(1)));
    CHECK(given.find(asker, transfer_number(2)) != nullptr);
}

TEST(grants_in_transit, repetitions_become_rare)
{
    begin();
    std::vector<duration> times;
    for (duration it(0); it < seconds(20); it += milliseconds(10))
        if (!given.take_due(at(it)).empty())
            times.push_back(it);
    CHECK(times.size() >= 8);
    CHECK(times.size() <= 12);
    CHECK(times.front() == first_grant_pause);
    CHECK(times.back() - times[times.size() - 2] == max_grant_pause);
}

// Guards against a leaving node that ends before the next repetition is due.
TEST(grants_in_transit, hastened_grants_are_due_at_once)
{
    begin();
    for (duration it(0); it < seconds(5); it += milliseconds(10))
        given.take_due(at(it));
    given.hasten(at(seconds(5)));
    LONGS_EQUAL(1, given.take_due(at(seconds(5))).size());
    LONGS_EQUAL(1,
                given.take_due(at(seconds(5) + 2 * first_grant_pause)).size());
}

// Guards against tokens that a restarted asker's predecessor may have spent and
// that the giver takes back.
TEST(grants_in_transit, a_grant_to_a_process_that_ended_is_stranded)
{
    begin();
    peers.hear(next_asker, at(seconds(1)));
    CHECK(given.end_lost(peers.view(), at(seconds(1))).empty());
    const auto lost = given.end_lost(peers.view(), at(seconds(3)));
    LONGS_EQUAL(1, lost.size());
    CHECK(lost[0].grant.amount == tokens(70));
    STRCMP_EQUAL(asker_address.c_str(), lost[0].to.c_str());
    CHECK(given.none_open());
    CHECK(given.end_lost(peers.view(), at(seconds(4))).empty());
}

// Guards against an asker that was taken for an ended one: its request came
// before its first heartbeat, or an older process's heartbeat came late.
TEST(grants_in_transit, a_process_that_just_started_is_not_taken_for_ended)
{
    peers.hear(node_incarnation(10), at(seconds(0)));
    given.add(grant_of(2, 70), asker_address, at(milliseconds(1)));
    CHECK(given.end_lost(peers.view(), at(seconds(3))).empty());
    peers.hear(asker, at(seconds(3)));
    CHECK(given.end_lost(peers.view(), at(seconds(4))).empty());
    LONGS_EQUAL(1, given.open().size());
}

TEST(grants_in_transit, a_grant_to_a_silent_host_is_stranded_in_the_end)
{
    begin();
    CHECK(given.end_lost(peers.view(), at(transfer_retention)).empty());
    LONGS_EQUAL(
        1, given.end_lost(peers.view(), at(transfer_retention + seconds(1)))
               .size());
}

// Guards against tokens lost between two live nodes whose network is cut for
// longer than transfer numbers are kept.
TEST(grants_in_transit, a_grant_to_a_live_host_out_of_reach_stays_in_transit)
{
    begin();
    for (duration it(0); it <= minutes(2); it += seconds(1)) {
        peers.hear(asker, at(it));
        CHECK(given.end_lost(peers.view(), at(it)).empty());
        given.forget_old(at(it));
    }
    CHECK(!given.take_due(at(minutes(2))).empty());
    CHECK(given.in_transit() == tokens(70));
    const duration end = unreachable_retention + seconds(1);
    peers.hear(asker, at(end));
    LONGS_EQUAL(1, given.end_lost(peers.view(), at(end)).size());
}

TEST(grants_in_transit, earlier_releases_have_got_a_grant_after_its_retention)
{
    peers.hear(asker, at(seconds(0)));
    given.add(grant_of(2, 70), asker_address, at(seconds(0)));
    CHECK(given.end_lost(peers.view(), at(transfer_retention)).empty());
    LONGS_EQUAL(1, given.open().size());
    CHECK(given.end_lost(peers.view(), at(transfer_retention + seconds(1)))
              .empty());
    CHECK(given.none_open());
}
