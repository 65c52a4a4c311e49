#include "fennelladder/mesh/transfer_slots.hpp"

#include "fennelladder/testing/event_queue.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <list>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr double small_link = 10e6;
constexpr std::size_t chunk_bytes = 16'384;
const instant start = from_nanoseconds(1'000'000'000);

std::size_t begin_many(transfer_slots& slots, std::size_t tries, instant now)
{
    std::size_t out = 0;
    for (std::size_t i = 0; i < tries; ++i)
        out += slots.begin(now) ? 1 : 0;
    return out;
}

/// Transfers over one link in virtual time, as seen by their receivers.
class shared_link
{
public:
    explicit shared_link(double link) : link_(link), slots_(link) {}

    /// Starts as many transfers as there are slots, all at the same time.
    void fill(std::size_t bytes)
    {
        while (const auto id = slots_.begin(queue_.now())) {
            transfers_.push_back({*id, bytes, bytes, queue_.now()});
            send(transfers_.back());
        }
    }

    void run_for(duration length) { queue_.run_until(queue_.now() + length); }

    std::size_t left() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            transfers_, [](const transfer& it) { return it.left > 0; }));
    }

    duration longest_silence_seen() const { return longest_silence_; }
    instant first_done() const { return first_done_; }
    instant now() const { return queue_.now(); }

private:
    struct transfer
    {
        transfer_id id;
        std::size_t unsent;
        std::size_t left; ///< Not yet arrived.
        instant last_arrival;
    };

    /// The socket accepts a chunk at once; the link carries chunks in sequence.
    void send(transfer& it)
    {
        if (it.unsent == 0)
            return;
        const std::size_t bytes = std::min(it.unsent, chunk_bytes);
        const duration wait = slots_.pacing_delay(it.id, bytes, queue_.now());
        if (wait > duration(0))
            return queue_.after(wait, [this, &it] { send(it); });
        it.unsent -= bytes;
        const double seconds_on_link = static_cast<double>(bytes) * 8 / link_;
        link_free_ =
            std::max(link_free_, queue_.now()) + from_seconds(seconds_on_link);
        queue_.at(link_free_, [this, &it, bytes] { arrived(it, bytes); });
        queue_.after(duration(0), [this, &it] { send(it); });
    }

    void arrived(transfer& it, std::size_t bytes)
    {
        longest_silence_ = std::max<duration>(longest_silence_,
                                              queue_.now() - it.last_arrival);
        it.last_arrival = queue_.now();
        it.left -= bytes;
        if (it.left > 0)
            return;
        slots_.end(it.id);
        if (first_done_ == instant())
            first_done_ = queue_.now();
    }

    double link_;
    transfer_slots slots_;
    testing::event_queue queue_;
    std::list<transfer> transfers_;
    instant link_free_;
    instant first_done_;
    duration longest_silence_{0};
};

} // namespace

TEST_GROUP(transfer_slots){};

TEST(transfer_slots, number_follows_the_link)
{
    struct row
    {
        double link;
        std::size_t slots;
    };
    for (const row& it : {row{0, 2}, row{10e6, 2}, row{50e6, 2}, row{100e6, 4},
                          row{200e6, 8}, row{1e9, 8}}) {
        transfer_slots slots(it.link);
        UNSIGNED_LONGS_EQUAL(it.slots, slots.size());
        UNSIGNED_LONGS_EQUAL(it.slots, begin_many(slots, 20, start));
    }
}

TEST(transfer_slots, a_transfer_that_ends_lets_the_next_begin)
{
    transfer_slots slots(small_link);
    const auto first = slots.begin(start);
    const auto second = slots.begin(start);
    CHECK(first && second && *first != *second);
    CHECK(!slots.begin(start));
    slots.end(*first);
    CHECK(slots.begin(start).has_value());
    CHECK(!slots.begin(start));
    // Ending it twice releases no other slot.
    slots.end(*first);
    CHECK(!slots.begin(start));
}

TEST(transfer_slots, a_slot_that_is_not_released_expires)
{
    transfer_slots slots(small_link);
    UNSIGNED_LONGS_EQUAL(2, begin_many(slots, 3, start));
    CHECK(!slots.begin(start + transfer_timeout - milliseconds(1)));
    CHECK(slots.begin(start + transfer_timeout).has_value());
}

// Guards against transfers that delay callers. Sixty nodes fetched a
// configuration from a small host, whose callers waited 3 s behind it. All
// transfers together get half of the link.
TEST(transfer_slots, transfers_use_half_of_the_link)
{
    transfer_slots slots(small_link);
    const transfer_id ids[] = {*slots.begin(start), *slots.begin(start)};
    instant now = start;
    std::size_t sent = 0;
    for (std::size_t turn = 0; now < start + seconds(10); ++turn) {
        const duration wait =
            slots.pacing_delay(ids[turn % 2], chunk_bytes, now);
        if (wait == duration(0))
            sent += chunk_bytes;
        else
            now += milliseconds(1);
    }
    const double share = static_cast<double>(sent) * 8 / 10 / small_link;
    DOUBLES_EQUAL(0.5, share, 0.02);
}

// After a long idle time, at most 200 ms of it may be made up for.
TEST(transfer_slots, an_idle_link_allows_a_burst)
{
    transfer_slots slots(small_link);
    instant now = start;
    for (int round = 0; round < 3; ++round) {
        const auto id = slots.begin(now);
        std::size_t at_once = 0;
        while (slots.pacing_delay(*id, chunk_bytes, now) == duration(0))
            at_once += chunk_bytes;
        CHECK(at_once >= 125'000 && at_once < 125'000 + 2 * chunk_bytes);
        CHECK(slots.pacing_delay(*id, chunk_bytes, now) < milliseconds(27));
        slots.end(*id);
        now += seconds(60);
    }
}

TEST(transfer_slots, the_first_has_precedence)
{
    transfer_slots slots(small_link);
    const auto first = slots.begin(start);
    const auto second = slots.begin(start);
    instant now = start;
    while (slots.pacing_delay(*first, chunk_bytes, now) == duration(0))
        continue;
    // Both may send by then, but the first has precedence.
    now += milliseconds(100);
    CHECK(slots.pacing_delay(*second, chunk_bytes, now) > duration(0));
    CHECK(slots.pacing_delay(*first, chunk_bytes, now) == duration(0));
    CHECK(slots.pacing_delay(*second, chunk_bytes, now) == duration(0));
    // One that ended delays no other.
    while (slots.pacing_delay(*first, chunk_bytes, now) == duration(0))
        continue;
    slots.end(*first);
    now += milliseconds(100);
    CHECK(slots.pacing_delay(*second, chunk_bytes, now) == duration(0));
}

// Guards against starvation. Two nodes fetch half a megabyte from a small host.
// While the older transfer was paced, the younger one got no byte for longer
// than an idle connection is kept. It failed, backed off and restarted behind
// the next one.
TEST(transfer_slots, a_younger_transfer_is_not_starved)
{
    for (const double link : {10e6, 50e6, 100e6, 200e6, 1e9}) {
        for (const std::size_t bytes : {500'000, 1'100'000}) {
            shared_link all(link);
            all.fill(bytes);
            all.run_for(transfer_timeout);
            UNSIGNED_LONGS_EQUAL(0, all.left());
            CHECK(all.longest_silence_seen() < transfer_idle_timeout * 2 / 3);
        }
    }
}

// On a link so slow that each chunk takes nearly as long as a transfer may
// wait, both are starved all the time, and neither may always go first.
TEST(transfer_slots, a_younger_transfer_is_not_starved_on_a_slow_link)
{
    shared_link all(8e5);
    all.fill(100'000);
    all.run_for(transfer_timeout);
    UNSIGNED_LONGS_EQUAL(0, all.left());
    CHECK(all.longest_silence_seen() < transfer_idle_timeout);
}

// The bytes that the younger transfer gets meanwhile, its part of the burst
// included, must not make the two take turns: the first would then take more
// than twice as long as alone.
TEST(transfer_slots, the_first_is_hardly_delayed)
{
    shared_link all(small_link);
    const instant begun = all.now();
    all.fill(500'000);
    all.run_for(transfer_timeout);
    // Half of the link, less the burst.
    const duration alone = from_seconds((500'000 - 125'000) * 8 / 5e6);
    CHECK(all.first_done() - begun < alone * 4 / 3);
}

TEST(transfer_slots, the_latest_served_are_listed_first)
{
    const catalog::configuration_version old(6);
    const catalog::configuration_version version(7);
    transfer_slots slots(small_link);
    slots.note_served(old, "old");
    for (int i = 0; i < 12; ++i)
        slots.note_served(version, std::to_string(i));
    slots.note_served(version, "7");
    slots.note_served(old, "late");
    const auto named = slots.served(version);
    UNSIGNED_LONGS_EQUAL(max_referrals, named.size());
    STRCMP_EQUAL("7", named.at(0).c_str());
    STRCMP_EQUAL("11", named.at(1).c_str());
    STRCMP_EQUAL("4", named.back().c_str());
    CHECK(slots.served(old).empty());
    CHECK(slots.served(catalog::configuration_version(8)).empty());
}
