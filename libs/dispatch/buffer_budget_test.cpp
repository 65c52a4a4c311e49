#include "fennelladder/dispatch/buffer_budget.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <random>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr std::size_t kilobyte = 1'000;

bool gave_way(const claim_result& got, exchange_id id, displacement why)
{
    return std::ranges::any_of(got.others, [&](const displaced& it) {
        return it.exchange == id && it.why == why;
    });
}

} // namespace

TEST_GROUP(buffer_budget)
{
    buffer_budget budget{{100 * kilobyte, 80 * kilobyte, 4}};
    instant now = instant(seconds(100));

    exchange_id reader(std::size_t held)
    {
        const exchange_id out = budget.begin(now);
        CHECK(budget.claim(out, held, now).granted);
        return out;
    }

    exchange_id served(std::size_t held)
    {
        const exchange_id out = reader(held);
        CHECK(budget.start_serving(out, held, now).granted);
        return out;
    }
};

TEST(buffer_budget, grants_what_fits_and_takes_it_back)
{
    const exchange_id one = reader(60 * kilobyte);
    const exchange_id other = reader(40 * kilobyte);
    UNSIGNED_LONGS_EQUAL(100 * kilobyte, budget.held());
    budget.end(one);
    CHECK(budget.claim(other, 100 * kilobyte, now).granted);
    budget.end(other);
    UNSIGNED_LONGS_EQUAL(0, budget.held());
    UNSIGNED_LONGS_EQUAL(0, budget.exchanges());
}

// Failure: requests that stop short of their end keep all others out.
TEST(buffer_budget, a_stalled_request_gives_way_to_one_that_moves)
{
    const exchange_id stalled = reader(90 * kilobyte);
    now += seconds(3);
    const exchange_id moving = reader(10 * kilobyte);
    const claim_result got = budget.claim(moving, 20 * kilobyte, now);
    CHECK(got.granted);
    CHECK(gave_way(got, stalled, displacement::behind));
    UNSIGNED_LONGS_EQUAL(20 * kilobyte, budget.held());
}

TEST(buffer_budget, the_one_that_is_furthest_behind_gives_way_first)
{
    const exchange_id first = reader(50 * kilobyte);
    now += seconds(1);
    const exchange_id second = reader(50 * kilobyte);
    now += seconds(5);
    const exchange_id moving = budget.begin(now);
    const claim_result got = budget.claim(moving, 10 * kilobyte, now);
    CHECK(got.granted);
    UNSIGNED_LONGS_EQUAL(1, got.others.size());
    CHECK(gave_way(got, first, displacement::behind));
    CHECK(budget.claim(second, 60 * kilobyte, now).granted);
}

// Failure: callers on slow links are cut off as if they had stopped.
TEST(buffer_budget, a_slow_but_steady_request_is_not_behind)
{
    const exchange_id slow = reader(50 * kilobyte);
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(500);
        budget.note_progress(slow, 512, now);
        CHECK(!budget.displace_slowest(now));
    }
}

// Failure: a byte now and then keeps a connection's memory for good.
TEST(buffer_budget, a_trickle_falls_behind)
{
    const exchange_id slow = reader(50 * kilobyte);
    for (int i = 0; i < 30; ++i) {
        now += milliseconds(100);
        budget.note_progress(slow, 1, now);
    }
    const auto got = budget.displace_slowest(now);
    CHECK(got && got->exchange == slow);
    CHECK(got->why == displacement::behind);
}

// Failure: a caller that was cut off for some seconds stays behind for good,
// though it sends fast again.
TEST(buffer_budget, a_request_that_moves_again_catches_up)
{
    const exchange_id one = reader(50 * kilobyte);
    now += seconds(8);
    budget.note_progress(one, 64 * kilobyte, now);
    CHECK(!budget.displace_slowest(now + seconds(1)));
}

TEST(buffer_budget, nobody_is_disturbed_while_there_is_room)
{
    reader(50 * kilobyte);
    now += minutes(1);
    const exchange_id other = budget.begin(now);
    CHECK(budget.claim(other, 50 * kilobyte, now).others.empty());
}

// Failure: a few large bodies that move fast shut out all small requests.
TEST(buffer_budget, a_larger_request_gives_way_to_a_small_one)
{
    const exchange_id large = reader(60 * kilobyte);
    const exchange_id larger = reader(40 * kilobyte);
    CHECK(!budget.claim(larger, 61 * kilobyte, now).granted);
    const exchange_id small = budget.begin(now);
    const claim_result got = budget.claim(small, 5 * kilobyte, now);
    CHECK(got.granted);
    CHECK(gave_way(got, large, displacement::larger));
    UNSIGNED_LONGS_EQUAL(1, got.others.size());
}

TEST(buffer_budget, among_equals_the_one_that_asks_is_refused)
{
    const exchange_id one = reader(50 * kilobyte);
    const exchange_id other = reader(50 * kilobyte);
    const claim_result got = budget.claim(other, 51 * kilobyte, now);
    CHECK(!got.granted);
    CHECK(got.refused == displacement::full);
    CHECK(got.others.empty());
    CHECK(budget.claim(one, 50 * kilobyte, now).granted);
}

// Failure: a request that can't ever be held displaces all others first.
TEST(buffer_budget, what_is_larger_than_all_displaces_nobody)
{
    reader(50 * kilobyte);
    now += seconds(10);
    const exchange_id huge = budget.begin(now);
    const claim_result got = budget.claim(huge, 101 * kilobyte, now);
    CHECK(!got.granted);
    CHECK(got.others.empty());
}

// Failure: a request that may have run is refused as not run.
TEST(buffer_budget, a_request_that_is_served_never_gives_way)
{
    served(80 * kilobyte);
    now += minutes(1);
    const exchange_id other = budget.begin(now);
    const claim_result got = budget.claim(other, 30 * kilobyte, now);
    CHECK(!got.granted);
    CHECK(got.others.empty());
    CHECK(!budget.displace_slowest(now));
}

// Failure: callers that don't read their responses keep all places.
TEST(buffer_budget, an_unread_response_gives_way_once_it_is_behind)
{
    const exchange_id unread = served(70 * kilobyte);
    now += minutes(1);
    budget.set_unread(unread, true, now);
    const exchange_id other = budget.begin(now);
    CHECK(!budget.claim(other, 40 * kilobyte, now).granted);
    now += seconds(3);
    const claim_result got = budget.claim(other, 40 * kilobyte, now);
    CHECK(got.granted);
    CHECK(gave_way(got, unread, displacement::behind));
}

TEST(buffer_budget, a_response_that_is_read_keeps_its_place)
{
    const exchange_id read = served(70 * kilobyte);
    budget.set_unread(read, true, now);
    for (int i = 0; i < 10; ++i) {
        now += seconds(1);
        budget.note_progress(read, 16 * kilobyte, now);
        CHECK(!budget.displace_slowest(now));
    }
    budget.set_unread(read, false, now);
    now += minutes(1);
    CHECK(!budget.displace_slowest(now));
}

// Failure: requests in flight leave no memory to read another one.
TEST(buffer_budget, requests_in_flight_leave_memory_for_reading)
{
    served(80 * kilobyte);
    const exchange_id next = reader(20 * kilobyte);
    CHECK(!budget.start_serving(next, 20 * kilobyte, now).granted);
    CHECK(!budget.may_serve(1));
}

TEST(buffer_budget, serves_a_bounded_number_of_requests)
{
    for (int i = 0; i < 3; ++i)
        served(kilobyte);
    const exchange_id unread = served(kilobyte);
    budget.set_unread(unread, true, now);
    const exchange_id next = reader(kilobyte);
    CHECK(!budget.start_serving(next, kilobyte, now).granted);
    now += seconds(3);
    const claim_result got = budget.start_serving(next, kilobyte, now);
    CHECK(got.granted);
    CHECK(gave_way(got, unread, displacement::behind));
    UNSIGNED_LONGS_EQUAL(4, budget.served());
}

// A response isn't buffered at the cost of requests that move.
TEST(buffer_budget, a_growing_response_displaces_only_what_is_behind)
{
    const exchange_id response = served(10 * kilobyte);
    const exchange_id large = reader(90 * kilobyte);
    CHECK(!budget.claim(response, 20 * kilobyte, now).granted);
    now += seconds(3);
    const claim_result got = budget.claim(response, 20 * kilobyte, now);
    CHECK(got.granted);
    CHECK(gave_way(got, large, displacement::behind));
}

TEST(buffer_budget, what_gave_way_is_granted_nothing)
{
    const exchange_id stalled = reader(90 * kilobyte);
    now += seconds(3);
    const exchange_id moving = reader(50 * kilobyte);
    budget.note_progress(stalled, 90 * kilobyte, now);
    CHECK(!budget.claim(stalled, kilobyte, now).granted);
    CHECK(!budget.start_serving(stalled, kilobyte, now).granted);
    budget.set_unread(stalled, true, now);
    budget.end(stalled);
    budget.end(moving);
    UNSIGNED_LONGS_EQUAL(0, budget.held());
}

// Failure: a limit that is lowered holds for new requests only.
TEST(buffer_budget, lower_limits_take_memory_from_those_that_are_being_read)
{
    const exchange_id kept = served(30 * kilobyte);
    const exchange_id large = reader(40 * kilobyte);
    const exchange_id small = reader(20 * kilobyte);
    const auto got = budget.set_limits({50 * kilobyte, 40 * kilobyte, 4}, now);
    UNSIGNED_LONGS_EQUAL(1, got.size());
    CHECK(got.front().exchange == large);
    UNSIGNED_LONGS_EQUAL(50 * kilobyte, budget.held());
    CHECK(budget.claim(small, 10 * kilobyte, now).granted);
    CHECK(budget.claim(kept, 30 * kilobyte, now).granted);
}

// Random exchanges: the sum never exceeds the limit, is that of its parts, and
// nobody who keeps the pace is said to be behind.
TEST(buffer_budget, keeps_its_bounds_whatever_happens)
{
    std::mt19937 random(1); // NOLINT: the same exchanges in each run
    std::map<exchange_id, std::size_t> held;
    const auto take_out = [&](const std::vector<displaced>& all) {
        for (const displaced& it : all) {
            CHECK(held.at(it.exchange) > 0 || it.why == displacement::behind);
            held.at(it.exchange) = 0;
        }
    };
    for (int step = 0; step < 50'000; ++step) {
        now += milliseconds(random() % 200);
        const std::size_t bytes = random() % (60 * kilobyte);
        if (held.size() < 3 || random() % 8 == 0) {
            held[budget.begin(now)] = 0;
            continue;
        }
        const auto at = std::next(
            held.begin(), static_cast<std::ptrdiff_t>(random() % held.size()));
        const exchange_id id = at->first;
        claim_result got;
        switch (random() % 6) {
        case 0:
            budget.end(id);
            held.erase(id);
            break;
        case 1:
            budget.note_progress(id, bytes, now);
            break;
        case 2:
            budget.set_unread(id, random() % 2 == 0, now);
            break;
        case 3:
            got = budget.claim(id, at->second, now);
            take_out(got.others);
            if (got.granted) {
                got = budget.start_serving(id, at->second, now);
                take_out(got.others);
            }
            break;
        default:
            got = budget.claim(id, bytes, now);
            take_out(got.others);
            if (got.granted)
                held.at(id) = bytes;
            break;
        }
        std::size_t sum = 0;
        for (const auto& [each, size] : held)
            sum += size;
        UNSIGNED_LONGS_EQUAL(sum, budget.held());
        CHECK(budget.held() <= 100 * kilobyte);
        CHECK(budget.held_by_served() <= 80 * kilobyte);
        CHECK(budget.served() <= 4);
    }
}
