// How long a configuration takes to spread from one node to all, in virtual
// time: admission, pacing, referrals, source selection and retries. Links and
// the time to read a configuration are simulated; the rest is the real code.

#include "fennelladder/mesh/source_choice.hpp"
#include "fennelladder/mesh/transfer_slots.hpp"
#include "fennelladder/testing/event_queue.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

/// 4,450 routes, compressed.
constexpr std::size_t configuration_bytes = 126'000;
constexpr std::size_t chunk_bytes = 16'384;
constexpr double small_link = 10e6;
constexpr double large_link = 200e6;
constexpr duration round_trip = milliseconds(5);
/// 31 ms of CPU time, on a host with an eighth of a core and one with half a
/// core.
constexpr duration small_time_to_read = milliseconds(250);
constexpr duration large_time_to_read = milliseconds(60);
const data_center_id place("austin");
const catalog::configuration_version version(7);

class fleet
{
public:
    fleet(std::uint64_t seed, std::size_t size, std::size_t large)
        : random_(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            const bool is_large = i > 0 && i <= large;
            nodes_.emplace_back(is_large ? large_link : small_link);
            nodes_.back().knows = {0};
        }
        nodes_[0].has_it = true;
        for (std::size_t i = 1; i < size; ++i) {
            const double part =
                static_cast<double>(large) / static_cast<double>(size);
            const duration first =
                initial_delay(i <= large, part, size, 1, random_);
            queue_.after(first, [this, i] { ask(i); });
        }
    }

    /// Runs until the last node has the configuration; returns the time taken.
    duration spread_for(duration limit)
    {
        const instant start = queue_.now();
        const instant end = start + limit;
        while (left() > 0 && queue_.now() < end)
            queue_.run_until(queue_.now() + milliseconds(5));
        return queue_.now() - start;
    }

    std::size_t left() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            nodes_, [](const node& it) { return !it.has_it; }));
    }

    std::size_t sent_by_first() const { return nodes_[0].sent; }
    std::size_t asked_first() const { return nodes_[0].asked; }

private:
    struct node
    {
        explicit node(double its_link) : link(its_link), slots(its_link) {}

        double link;
        transfer_slots slots;
        source_backoff backoff;
        std::vector<std::size_t> knows; ///< Nodes known to have it.
        bool has_it = false;
        std::size_t asked = 0;
        std::size_t sent = 0;
        instant link_free;
    };

    struct transfer
    {
        std::size_t from;
        std::size_t to;
        transfer_id slot;
        std::size_t left;
    };

    void ask(std::size_t i)
    {
        node& it = nodes_[i];
        std::vector<update_source> sources;
        for (const std::size_t k : it.knows)
            sources.push_back({std::to_string(k), place, nodes_[k].link});
        const std::string address = choose_source(
            it.backoff.available(sources, queue_.now()), place, random_);
        if (address.empty())
            return ask_later(i);
        queue_.after(round_trip,
                     [this, i, k = std::stoul(address)] { answer(k, i); });
    }

    void ask_later(std::size_t i)
    {
        const duration wait =
            request_interval(nodes_.size(), nodes_[i].knows.size());
        queue_.after(jitter(random_, wait), [this, i] { ask(i); });
    }

    void answer(std::size_t k, std::size_t i)
    {
        node& source = nodes_[k];
        ++source.asked;
        if (!source.has_it)
            return reject(k, i, fetch_result::not_newer);
        const auto slot = source.slots.begin(queue_.now());
        if (slot)
            return send({k, i, *slot, configuration_bytes});
        for (const std::string& it : source.slots.served(version))
            learn(i, std::stoul(it));
        reject(k, i, fetch_result::busy);
    }

    void reject(std::size_t k, std::size_t i, fetch_result end)
    {
        nodes_[i].backoff.note(std::to_string(k), end, queue_.now(), random_);
        ask_later(i);
    }

    void learn(std::size_t i, std::size_t k)
    {
        auto& knows = nodes_[i].knows;
        if (i != k && std::ranges::find(knows, k) == knows.end())
            knows.push_back(k);
    }

    void send(transfer it)
    {
        if (it.left == 0)
            return arrived(it);
        node& source = nodes_[it.from];
        const std::size_t bytes = std::min(it.left, chunk_bytes);
        const duration wait =
            source.slots.pacing_delay(it.slot, bytes, queue_.now());
        if (wait > duration(0))
            return queue_.after(wait, [this, it] { send(it); });
        it.left -= bytes;
        // One link carries all of a node's transfers in sequence.
        source.link_free = std::max(source.link_free, queue_.now()) +
                           time_on_link(bytes, source.link);
        const duration slowest = time_on_link(bytes, nodes_[it.to].link);
        queue_.at(std::max(source.link_free, queue_.now() + slowest),
                  [this, it] { send(it); });
    }

    static duration time_on_link(std::size_t bytes, double link)
    {
        return from_seconds(static_cast<double>(bytes) * 8 / link);
    }

    void arrived(const transfer& it)
    {
        node& source = nodes_[it.from];
        ++source.sent;
        source.slots.end(it.slot);
        source.slots.note_served(version, std::to_string(it.to));
        node& reader = nodes_[it.to];
        const bool is_large = reader.link == large_link;
        queue_.after(is_large ? large_time_to_read : small_time_to_read,
                     [&reader] { reader.has_it = true; });
    }

    testing::event_queue queue_;
    random_source random_;
    std::vector<node> nodes_;
};

} // namespace

TEST_GROUP(spread){};

// Guards against concurrent transfers that all finish late. 59 nodes fetched
// 293 kB from one small host over a link of 10 Mbit/s, and none had it within
// 2.5 s. The bound is 3 s, and a configuration may be three times as large.
TEST(spread, a_configuration_reaches_all_nodes_from_one_small_host)
{
    struct row
    {
        std::size_t nodes;
        std::size_t large;
        duration limit;
    };
    const row rows[] = {{60, 0, milliseconds(2200)},
                        {60, 6, milliseconds(1500)},
                        {340, 0, milliseconds(3000)},
                        {340, 30, milliseconds(2200)}};
    for (const row& it : rows) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            fleet all(seed, it.nodes, it.large);
            const duration took = all.spread_for(seconds(10));
            UNSIGNED_LONGS_EQUAL(0, all.left());
            CHECK(took < it.limit);
            // Requests alone must not saturate the first node's processor, nor
            // must it serve all others itself.
            CHECK(all.asked_first() < it.nodes * 5);
            CHECK(all.sent_by_first() < 20);
        }
    }
}
