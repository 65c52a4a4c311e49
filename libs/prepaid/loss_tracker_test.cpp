#include "fennelladder/prepaid/loss_tracker.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::prepaid;

namespace {

constexpr instant start = instant(seconds(100));
constexpr instant later = start + seconds(10);

} // namespace

TEST_GROUP(loss_tracker){};

TEST(loss_tracker, first_start_assumes_no_loss)
{
    const loss_tracker it(true, start);
    DOUBLES_EQUAL(0, it.at(start), 1e-9);
    DOUBLES_EQUAL(0, *it.known(start), 1e-9);
}

TEST(loss_tracker, deaths_add_up_and_decay)
{
    loss_tracker it(true, start);
    for (int i = 0; i < 6; ++i)
        it.note_death(10, start);
    DOUBLES_EQUAL(0.6, it.at(start), 1e-9);
    DOUBLES_EQUAL(0.3, it.at(start + minutes(5)), 1e-9);
}

// All nodes died: those that start afterwards must not stock as if nothing had
// been lost.
TEST(loss_tracker, without_older_nodes_assumes_total_loss)
{
    const loss_tracker it(false, start);
    DOUBLES_EQUAL(1, it.at(start), 1e-9);
    CHECK(!it.known(start));
    DOUBLES_EQUAL(1, *it.known(later), 0.05);
    DOUBLES_EQUAL(0.5, it.at(start + minutes(5)), 1e-9);
}

// A rolling restart must not count as the loss of all nodes.
TEST(loss_tracker, estimate_of_older_node_replaces_assumption)
{
    loss_tracker it(false, start);
    it.merge_peer(0, start + seconds(1));
    DOUBLES_EQUAL(0, it.at(later), 1e-9);
    DOUBLES_EQUAL(0, *it.known(start + seconds(1)), 1e-9);
}

TEST(loss_tracker, largest_reported_loss_counts)
{
    loss_tracker it(false, start);
    it.note_death(8, start);
    it.merge_peer(0.6, start);
    it.merge_peer(0.2, start);
    DOUBLES_EQUAL(0.6, it.at(start), 1e-9);
}
