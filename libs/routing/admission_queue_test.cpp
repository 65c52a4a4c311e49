#include "fennelladder/routing/admission_queue.hpp"

#include "fennelladder/testing/property.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>

using namespace fennelladder;
using namespace fennelladder::routing;

namespace {

const pool_id pool(0);

waiting_request waiting(std::uint64_t ticket, const char* team, int start_by,
                        priority rank = 1, double work = 1)
{
    waiting_request it;
    it.ticket = ticket_id(ticket);
    it.team = team_id(team);
    it.pool = pool;
    it.rank = rank;
    it.work = work;
    it.start_by = instant(seconds(start_by));
    return it;
}

// Takes everything of one rank; the tickets in order.
std::vector<std::uint64_t> drain(admission_queue& queue, priority rank)
{
    std::vector<std::uint64_t> order;
    while (const waiting_request* next = queue.front(rank, pool)) {
        order.push_back(next->ticket.value());
        queue.take(next->ticket);
    }
    return order;
}

} // namespace

TEST_GROUP(admission_queue){};

// Story: one large team sends forty drafts at once, and an inspector of a
// small team sends one a second later. The inspector would wait for all forty.
// Teams share by work, so the small team's draft is second.
TEST(admission_queue, a_flooding_team_does_not_hold_up_another)
{
    admission_queue queue;
    for (std::uint64_t n = 0; n < 40; ++n)
        queue.push(waiting(n, "large", 100));
    queue.push(waiting(40, "small", 200));
    const auto order = drain(queue, 1);
    LONGS_EQUAL(41, order.size());
    CHECK(std::ranges::find(order, 40U) - order.begin() <= 1);
}

// Story: as above, but the queue is full when the small team's draft comes.
// Turning the newcomer away would let the large team keep all others out; the
// large team's own last draft goes instead.
TEST(admission_queue, a_full_queue_displaces_the_one_who_filled_it)
{
    admission_queue queue({.max_waiting = 10});
    for (std::uint64_t n = 0; n < 10; ++n)
        CHECK_FALSE(queue.push(waiting(n, "large", 100 + static_cast<int>(n))));
    CHECK(queue.push(waiting(10, "small", 200)) == ticket_id(9));
    CHECK(queue.push(waiting(11, "large", 300)) == ticket_id(11));
    // A more urgent rank displaces a lower one, never the reverse.
    CHECK(queue.push(waiting(12, "urgent", 50, 0)) == ticket_id(8));
    CHECK(queue.push(waiting(13, "small", 1, 2)) == ticket_id(13));
    // A preempted stream is part answered: it neither counts nor goes.
    auto resumed = waiting(14, "large", 900);
    resumed.preempted = true;
    CHECK_FALSE(queue.push(resumed));
    LONGS_EQUAL(11, queue.size());
    CHECK(queue.push(waiting(15, "urgent", 50, 0)) == ticket_id(7));
    CHECK(queue.front(1, pool)->ticket != ticket_id(15));
}

TEST(admission_queue, order_within_a_team)
{
    admission_queue queue;
    queue.push(waiting(1, "a", 30));
    queue.push(waiting(2, "a", 10));
    queue.push(waiting(3, "a", 10));
    auto resumed = waiting(4, "a", 99);
    resumed.preempted = true;
    queue.push(resumed);
    CHECK((drain(queue, 1) == std::vector<std::uint64_t>{4, 2, 3, 1}));
    LONGS_EQUAL(0, queue.size());
}

TEST(admission_queue, overdue_requests_leave_in_order_of_time)
{
    admission_queue queue;
    queue.push(waiting(1, "a", 30));
    queue.push(waiting(2, "b", 10, 0));
    queue.push(waiting(3, "c", 20, 7));
    CHECK(queue.next_overdue() == instant(seconds(10)));
    CHECK(queue.take_overdue(instant(seconds(10))).empty());
    const auto gone = queue.take_overdue(instant(seconds(21)));
    CHECK((gone == std::vector<ticket_id>{ticket_id(2), ticket_id(3)}));
    CHECK(queue.remove(ticket_id(1)));
    CHECK_FALSE(queue.remove(ticket_id(1)));
    CHECK_FALSE(queue.next_overdue());
}

TEST(admission_queue, work_ahead_counts_ranks_above_and_the_teams_share)
{
    admission_queue queue;
    queue.push(waiting(1, "large", 9, 1, 50));
    queue.push(waiting(2, "urgent", 9, 0, 5));
    queue.push(waiting(3, "low", 9, 2, 70));
    queue.push(waiting(4, "small", 9, 1, 4));
    DOUBLES_EQUAL(5, queue.work_ahead(team_id("new"), 1, pool), 1e-9);
    DOUBLES_EQUAL(5 + 4 + 4, queue.work_ahead(team_id("small"), 1, pool), 1e-9);
    DOUBLES_EQUAL(5 + 50 + 4, queue.work_ahead(team_id("large"), 1, pool),
                  1e-9);
    DOUBLES_EQUAL(0, queue.work_ahead(team_id("urgent"), 0, pool_id(9)), 1e-9);
}

// Every order of arrival of four requests out of two teams, two ranks and two
// times gives the same set, ranks apart, earliest first within a team.
TEST(admission_queue, all_small_arrival_orders)
{
    std::vector<int> kinds = {0, 1, 2, 3, 4, 5, 6, 7};
    do {
        admission_queue queue({.max_waiting = 4});
        for (int n = 0; n < 4; ++n) {
            const int kind = kinds[static_cast<std::size_t>(n)];
            queue.push(waiting(static_cast<std::uint64_t>(n + 1),
                               kind % 2 ? "a" : "b", kind / 2 % 2,
                               static_cast<priority>(kind / 4)));
        }
        std::size_t seen = 0;
        for (priority rank = 0; rank < 2; ++rank) {
            std::map<team_id, instant> last;
            while (const waiting_request* next = queue.front(rank, pool)) {
                CHECK(next->rank == rank);
                CHECK(!last.contains(next->team) ||
                      last[next->team] <= next->start_by);
                last[next->team] = next->start_by;
                queue.take(next->ticket);
                ++seen;
            }
        }
        LONGS_EQUAL(4, seen);
        std::ranges::reverse(kinds.begin() + 4, kinds.end());
    } while (std::ranges::next_permutation(kinds).found);
}

// Over any time in which two teams both wait, the work they start differs by
// at most two requests; nothing is lost, and the bound holds.
TEST(admission_queue, keeps_shares_and_bound_under_random_use)
{
    testing::check_property({.name = "admission queue", .seed = 5}, [] {
        constexpr std::size_t bound = 12;
        constexpr int largest_work = 9;
        admission_queue queue({.max_waiting = bound});
        std::map<ticket_id, waiting_request> oracle;
        std::map<team_id, double> started;
        std::uint64_t ticket = 0;
        const auto of_team = [&](const char* team) {
            return std::ranges::count_if(oracle, [&](const auto& it) {
                return it.second.team == team_id(team);
            });
        };
        const auto steps = *rc::gen::inRange(10, 80);
        for (int n = 0; n < steps; ++n) {
            if (*rc::gen::inRange(0, 3) > 0) {
                const auto it = waiting(++ticket, *rc::gen::element("a", "b"),
                                        *rc::gen::inRange(50, 60), 1,
                                        *rc::gen::inRange(1, largest_work + 1));
                oracle[it.ticket] = it;
                const auto gone = queue.push(it);
                RC_ASSERT(gone.has_value() == (oracle.size() > bound));
                if (gone) {
                    // The displaced one is of the larger team, latest first.
                    const auto& victim = oracle.at(*gone);
                    const char* other = victim.team == team_id("a") ? "b" : "a";
                    RC_ASSERT(of_team(victim.team.str().c_str()) >=
                              of_team(other));
                    for (const auto& [key, rest] : oracle)
                        RC_ASSERT(rest.team != victim.team ||
                                  rest.start_by <= victim.start_by);
                    oracle.erase(*gone);
                }
            } else if (const auto* next = queue.front(1, pool)) {
                const waiting_request it = *next;
                for (const auto& [key, rest] : oracle)
                    RC_ASSERT(rest.team != it.team ||
                              it.start_by <= rest.start_by);
                queue.take(it.ticket);
                oracle.erase(it.ticket);
                started[it.team] += it.work;
            }
            if (of_team("a") == 0 || of_team("b") == 0)
                started.clear();
            RC_ASSERT(std::abs(started[team_id("a")] - started[team_id("b")]) <=
                      2 * largest_work);
            RC_ASSERT(queue.size() == oracle.size());
        }
    });
}
