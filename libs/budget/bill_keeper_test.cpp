#include "fennelladder/budget/bill_keeper.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::budget;

namespace {

const incarnation_id self("n.1");
const shard_id shard(3);

bill charge(std::int64_t n)
{
    bill made;
    made.team = team_id("t");
    made.key = request_key("k" + std::to_string(n));
    made.budget = budget_id("b");
    made.amount = tokens(n);
    return made;
}

outcome with(verdict what)
{
    outcome made;
    made.what = what;
    return made;
}

instant at(std::int64_t ms)
{
    return instant(milliseconds(ms));
}

} // namespace

TEST_GROUP(bill_keeper){};

TEST(bill_keeper, gives_back_what_was_not_charged)
{
    const struct
    {
        verdict what;
        std::int64_t uncharge;
    } cases[] = {{verdict::applied, 0},   {verdict::replayed, 0},
                 {verdict::duplicate, 7}, {verdict::uncollected, 7},
                 {verdict::refused, 7},   {verdict::invalid, 7}};
    for (const auto& it : cases) {
        bill_keeper keeper(self);
        keeper.add(shard, charge(7), at(0));
        const bill_result end = keeper.resolve(shard, 1, with(it.what));
        CHECK(end.known);
        LONGS_EQUAL(it.uncharge, end.uncharge.count());
        CHECK(!keeper.resolve(shard, 1, with(it.what)).known);
        LONGS_EQUAL(0, keeper.size());
    }
}

// The store is down, and the node dies. Its peer in another data center has
// copies of all bills older than two seconds and brings them to the journal;
// those that were durable in the meantime it has dropped.
TEST(bill_keeper, peer_brings_the_bills_of_a_dead_node)
{
    bill_keeper node(self);
    bill_keeper peer(incarnation_id("p.1"));
    for (int n = 1; n <= 4; ++n)
        node.add(shard, charge(n), at(1000 * n));
    CHECK(node.uncopied(at(2900), 10).empty());
    for (const shard_bill& it : node.uncopied(at(5500), 10)) {
        CHECK(peer.keep_copy(self, it));
        CHECK(peer.keep_copy(self, it));
        node.copied(it.shard, it.charge.number);
    }
    LONGS_EQUAL(3, peer.copies());
    LONGS_EQUAL(0, node.uncopied(at(5500), 10).size());
    node.resolve(shard, 1, with(verdict::applied));
    peer.drop_copies(self, shard, node.done_up_to(shard));
    const auto left = peer.copies_of(self);
    LONGS_EQUAL(2, left.size());
    CHECK(left[0].charge.biller == self);
    LONGS_EQUAL(2, left[0].charge.number);
    for (const shard_bill& it : left)
        peer.flushed(self, it.shard, it.charge.number);
    LONGS_EQUAL(0, peer.copies());
    node.copies_lost();
    LONGS_EQUAL(3, node.uncopied(at(9000), 10).size());
}

TEST(bill_keeper, says_when_it_is_full_and_drops_nothing)
{
    bill_keeper keeper(self, {.max_bytes = 500, .max_copy_bytes = 1});
    while (!keeper.full())
        keeper.add(shard, charge(1), at(0));
    const std::size_t n = keeper.size();
    keeper.add(shard, charge(1), at(0));
    LONGS_EQUAL(n + 1, keeper.pending(shard, 100).size());
    CHECK(keeper.keep_copy(self, {shard, keeper.pending(shard, 1).front()}));
    CHECK(!keeper.keep_copy(self, {shard, keeper.pending(shard, 2).back()}));
}
