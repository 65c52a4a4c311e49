#include "fennelladder/routing/prefix_index.hpp"

#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace fennelladder;
using namespace fennelladder::routing;

TEST_GROUP(prefix_index){};

TEST(prefix_index, equal_starts_give_equal_chains)
{
    const auto a = hash_prefix("aaaabbbbcccc", 4);
    const auto b = hash_prefix("aaaabbbbdddd--", 4);
    LONGS_EQUAL(3, a.size());
    LONGS_EQUAL(3, b.size());
    CHECK(a[0] == b[0]);
    CHECK(a[1] == b[1]);
    CHECK(a[2] != b[2]);
    LONGS_EQUAL(2, hash_prefix("aaaabbbbcccc", 4, 2).size());
}

// Story: an inspector's checklist goes to a worker that evicted its prefix an
// hour ago, and waits for a prefill that another worker would have spared.
// The eviction event was lost. The jump in the event numbers shows it, and
// the belief in that worker is lowered until answers prove it right again.
TEST(prefix_index, a_gap_lowers_confidence_and_answers_restore_it)
{
    prefix_index index;
    using kind = cache_event::kind;
    CHECK_FALSE(index.apply(3, {7, kind::stored, {1, 2}}));
    CHECK_FALSE(index.apply(3, {8, kind::stored, {5}}));
    CHECK_FALSE(index.apply(3, {8, kind::stored, {5}})); // repeated
    DOUBLES_EQUAL(1, index.confidence(3), 1e-9);
    CHECK(index.apply(3, {11, kind::evicted, {5}}));
    DOUBLES_EQUAL(0.9, index.confidence(3), 1e-9);
    CHECK_FALSE(index.apply(3, {9, kind::stored, {9}})); // late
    for (int n = 0; n < 60; ++n)
        index.observed(3, 2, 2);
    CHECK(index.confidence(3) > 0.99);
    index.observed(3, 2, 0);
    CHECK(index.confidence(3) < 0.95);
    DOUBLES_EQUAL(1, index.confidence(4), 1e-9);
    LONGS_EQUAL(2, index.match(std::vector<block_hash>{1, 2, 5}).blocks(3));
    CHECK_FALSE(index.apply(3, {1, kind::cleared, {}})); // restarted
    LONGS_EQUAL(0, index.match(std::vector<block_hash>{1, 2}).blocks(3));
    CHECK_FALSE(index.apply(3, {2, kind::stored, {1}}));
}

TEST(prefix_index, slots_past_the_bound_are_left_out)
{
    prefix_index index({.max_blocks = 4, .max_targets = 64});
    index.dispatched(64, std::vector<block_hash>{1});
    LONGS_EQUAL(0, index.size());
    LONGS_EQUAL(0, index.match(std::vector<block_hash>{1}).blocks(64));
}

// The oracle keeps a set of holders per block and a plain list of last use.
TEST(prefix_index, agrees_with_a_slow_oracle)
{
    testing::check_property({.name = "prefix index", .seed = 16}, [] {
        constexpr std::size_t max_blocks = 6;
        prefix_index index({.max_blocks = max_blocks, .max_targets = 70});
        std::map<block_hash, std::set<target_slot>> holders;
        std::vector<block_hash> used; // oldest first
        const auto touch = [&](block_hash hash, target_slot slot) {
            std::erase(used, hash);
            used.push_back(hash);
            holders[hash].insert(slot);
            if (used.size() > max_blocks) {
                holders.erase(used.front());
                used.erase(used.begin());
            }
        };
        const auto steps = *rc::gen::inRange(1, 40);
        for (int n = 0; n < steps; ++n) {
            const auto slot = *rc::gen::element<target_slot>(0, 1, 63, 64, 69);
            const auto chain = *rc::gen::container<std::vector<block_hash>>(
                3, rc::gen::inRange<block_hash>(1, 9));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                index.dispatched(slot, chain);
                for (auto it = chain.rbegin(); it != chain.rend(); ++it)
                    touch(*it, slot);
                break;
            case 1:
                index.apply(slot, {0, cache_event::kind::evicted, chain});
                for (const auto hash : chain) {
                    if (holders.contains(hash))
                        holders[hash].erase(slot);
                }
                break;
            case 2:
                index.forget(slot);
                for (auto& [hash, who] : holders)
                    who.erase(slot);
                break;
            default:
                break;
            }
            const auto match = index.match(chain);
            std::uint32_t best = 0;
            for (target_slot it = 0; it < 72; ++it) {
                std::uint32_t blocks = 0;
                while (blocks < chain.size() &&
                       holders.contains(chain[blocks]) &&
                       holders[chain[blocks]].contains(it))
                    ++blocks;
                best = std::max(best, blocks);
                RC_ASSERT(match.blocks(it) == blocks);
            }
            RC_ASSERT(match.best() == best);
            RC_ASSERT(index.size() <= max_blocks);
        }
    });
}
