#include "fennelladder/prepaid/loss_tracker.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

constexpr instant start = instant(seconds(100));
constexpr instant later = start + seconds(10);

} // namespace

TEST_GROUP(loss_tracker){};

TEST(loss_tracker, the_first_start_follows_no_loss)
{
    const loss_tracker it(true, start);
    DOUBLES_EQUAL(0, it.at(start), 1e-9);
    DOUBLES_EQUAL(0, *it.known(start), 1e-9);
}

TEST(loss_tracker, deaths_add_up_and_fade)
{
    loss_tracker it(true, start);
    for (int i = 0; i < 6; ++i)
        it.note_death(10, start);
    DOUBLES_EQUAL(0.6, it.at(start), 1e-9);
    DOUBLES_EQUAL(0.3, it.at(start + minutes(5)), 1e-9);
}

// Guards against nodes that all died, and stock as if nothing had happened.
TEST(loss_tracker, where_nobody_is_older_all_died)
{
    const loss_tracker it(false, start);
    DOUBLES_EQUAL(1, it.at(start), 1e-9);
    CHECK(!it.known(start));
    DOUBLES_EQUAL(1, *it.known(later), 0.05);
    DOUBLES_EQUAL(0.5, it.at(start + minutes(5)), 1e-9);
}

// Guards against a rolling restart that counts as the loss of all nodes.
TEST(loss_tracker, an_older_node_knows_better)
{
    loss_tracker it(false, start);
    it.merge_peer(0, start + seconds(1));
    DOUBLES_EQUAL(0, it.at(later), 1e-9);
    DOUBLES_EQUAL(0, *it.known(start + seconds(1)), 1e-9);
}

TEST(loss_tracker, the_most_that_is_remembered_counts)
{
    loss_tracker it(false, start);
    it.note_death(8, start);
    it.merge_peer(0.6, start);
    it.merge_peer(0.2, start);
    DOUBLES_EQUAL(0.6, it.at(start), 1e-9);
}
