// Configurations sent by datagrams, over simulated networks that lose, repeat
// and reorder datagrams, from peers that die, don't answer or differ.

#include "fennelladder/base/hash.hpp"
#include "fennelladder/mesh/answer_budget.hpp"
#include "fennelladder/mesh/configuration_download.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <map>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr node_incarnation own(7);
constexpr std::size_t small_size = 2'500;

catalog::configuration_version version_of(std::uint64_t value)
{
    return catalog::configuration_version(value);
}

std::string random_text(std::size_t size, std::uint64_t seed)
{
    random_source random(seed);
    std::string out(size, '\0');
    for (char& it : out)
        it = static_cast<char>(random.below(256));
    return out;
}

/// A node that has a configuration.
struct peer
{
    packed_configuration has;
    double capacity = 10;
    duration lives = seconds(3600); ///< Then it no longer answers.
    int questions = 0;
};

struct network
{
    double loss = 0;
    double repeats = 0;
    duration max_delay = milliseconds(5); ///< Larger ones reorder datagrams.
};

/// A download in virtual time.
class simulation
{
public:
    simulation(std::uint64_t seed, network over) : random_(seed), net_(over) {}

    /// Runs until a text has come; unset if none has after `limit`.
    std::optional<std::string> run(duration limit)
    {
        while (now_ - instant() < limit) {
            std::vector<part_source> sources;
            for (const auto& [address, it] : peers)
                sources.push_back({address, it.has.version, it.capacity});
            change(now_);
            for (const auto& it :
                 download_.next_questions(sources, now_, random_))
                ask(it);
            const instant next = now_ + download_.interval(random_);
            if (auto text = receive_until(next))
                return text;
        }
        return std::nullopt;
    }

    duration elapsed() const { return now_ - instant(); }
    std::uint64_t questions() const { return download_.questions(); }

    std::map<std::string, peer> peers;
    /// Set to make a peer have another configuration from some time on.
    std::function<void(instant)> change = [](instant) {};

private:
    std::optional<std::string> receive_until(instant next)
    {
        while (!arriving_.empty() && arriving_.begin()->first <= next) {
            const auto first = arriving_.begin();
            now_ = std::max(now_, first->first);
            const auto [from, part] = first->second;
            arriving_.erase(first);
            const part_effect effect = download_.on_part(part, from, now_);
            if (effect == part_effect::complete)
                return download_.take();
            if (effect == part_effect::answered)
                return std::nullopt;
        }
        now_ = next;
        return std::nullopt;
    }

    void ask(const configuration_download::addressed_question& it)
    {
        peer& to = peers.at(it.address);
        ++to.questions;
        if (random_.unit() < net_.loss || now_ - instant() > to.lives)
            return;
        const auto answer = answer_to(it.question, to.has);
        CHECK(answer.size() <= max_parts_per_answer);
        for (const configuration_part& part : answer) {
            deliver(it.address, part);
            if (random_.unit() < net_.repeats)
                deliver(it.address, part);
        }
    }

    void deliver(const std::string& from, const configuration_part& part)
    {
        if (random_.unit() >= net_.loss)
            arriving_.emplace(now_ + from_seconds(random_.unit() *
                                                  to_seconds(net_.max_delay)),
                              std::pair(from, part));
    }

    random_source random_;
    network net_;
    instant now_;
    configuration_download download_{own};
    std::multimap<instant, std::pair<std::string, configuration_part>>
        arriving_;
};

} // namespace

TEST_GROUP(configuration_download){};

TEST(configuration_download, arrives_whole_in_any_size)
{
    for (const std::size_t size :
         {std::size_t(1), max_part_bytes, max_part_bytes + 1, small_size,
          max_datagram_configuration}) {
        simulation all(size, {});
        const std::string text = random_text(size, size);
        all.peers["a"] = {{version_of(9), text}};
        CHECK(all.run(seconds(1)) == text);
    }
    simulation all(1, {});
    const std::size_t too_large = max_datagram_configuration + 1;
    all.peers["a"] = {{version_of(9), random_text(too_large, 1)}};
    CHECK_FALSE(all.run(seconds(30)).has_value());
    // It must not be asked for at the full rate forever.
    CHECK(all.questions() < 50);
}

// A host with a full link got no configuration for 12 s. The bound is 3 s.
TEST(configuration_download, half_of_the_datagrams_are_lost)
{
    std::vector<duration> took;
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        simulation all(seed, {0.5, 0.3, milliseconds(300)});
        const std::string text = random_text(small_size, seed);
        for (const char* address : {"a", "b", "c", "d"})
            all.peers[address] = {{version_of(9), text}};
        all.peers["b"].lives = milliseconds(200);
        CHECK(all.run(seconds(20)) == text);
        took.push_back(all.elapsed());
    }
    std::ranges::sort(took);
    CHECK(took[990] <= seconds(3));
}

TEST(configuration_download, the_largest_one_arrives_despite_losses)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        simulation all(seed, {0.5, 0.3, milliseconds(300)});
        const std::string text = random_text(max_datagram_configuration, seed);
        for (const char* address : {"a", "b", "c"})
            all.peers[address] = {{version_of(9), text}};
        CHECK(all.run(seconds(30)) == text);
    }
}

// Peers of an earlier release and dead ones never answer.
TEST(configuration_download, silent_peers_are_asked_less)
{
    simulation all(3, {});
    const std::string text = random_text(max_datagram_configuration, 3);
    for (int i = 0; i < 5; ++i)
        all.peers["silent" + std::to_string(i)] = {
            {version_of(9), text}, 1'000, duration(-1)};
    all.peers["small"] = {{version_of(9), text}, 1};
    CHECK(all.run(seconds(3)) == text);
    int wasted = 0;
    for (int i = 0; i < 5; ++i)
        wasted += all.peers["silent" + std::to_string(i)].questions;
    // Each one once, and one of them together with the other.
    CHECK(wasted <= 6);
    CHECK(all.peers["small"].questions >= 3);
}

TEST(configuration_download, large_hosts_are_asked_first)
{
    simulation all(4, {});
    const std::string text = random_text(small_size, 4);
    for (int i = 0; i < 20; ++i)
        all.peers["small" + std::to_string(i)] = {{version_of(9), text}, 1};
    all.peers["large"] = {{version_of(9), text}, 100};
    CHECK(all.run(seconds(1)) == text);
    LONGS_EQUAL(1, all.peers["large"].questions);
}

// The configuration is replaced at all peers while its parts arrive.
TEST(configuration_download, a_newer_version_replaces_an_older_one)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        simulation all(seed, {0.5, 0.3, milliseconds(300)});
        const std::string older = random_text(max_datagram_configuration, 1);
        const std::string newer = random_text(small_size, 2);
        all.peers["a"] = {{version_of(9), older}};
        all.peers["b"] = {{version_of(9), older}};
        all.change = [&](instant now) {
            if (now - instant() > milliseconds(400))
                all.peers["a"].has = {version_of(10), newer};
            if (now - instant() > milliseconds(800))
                all.peers["b"].has = {version_of(10), newer};
        };
        CHECK(all.run(seconds(20)) == newer);
    }
}

// Two nodes compressed the same version differently, and the one with most of
// the parts dies. Parts of both never make one text.
TEST(configuration_download, parts_of_different_texts_are_not_joined)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        simulation all(seed, {0.3, 0, milliseconds(100)});
        const std::string one = random_text(40'000, seed);
        const std::string other = random_text(38'000, seed + 1'000);
        all.peers["a"] = {{version_of(9), one}, 10, milliseconds(300)};
        all.peers["b"] = {{version_of(9), other}};
        const auto got = all.run(seconds(30));
        CHECK(got == one || got == other);
    }
}

TEST(configuration_download, a_text_that_is_not_of_its_hash_is_rejected)
{
    configuration_assembly assembly;
    CHECK(assembly.add({own, 1, version_of(9), 1, 0, 2, "ab"}, instant()));
    CHECK_FALSE(
        assembly.add({own, 1, version_of(9), 1, 0, 2, "ab"}, instant()));
    CHECK_FALSE(assembly.add({own, 1, version_of(9), 2, 1, 2, "c"}, instant()));
    CHECK_FALSE(assembly.add({own, 1, version_of(9), 1, 1, 3, "c"}, instant()));
    CHECK_FALSE(assembly.add({own, 1, version_of(8), 1, 1, 2, "c"}, instant()));
    CHECK_FALSE(assembly.add({own, 1, version_of(9), 1, 2, 2, "c"}, instant()));
    CHECK(assembly.add({own, 1, version_of(9), 1, 1, 2, "c"}, instant()));
    CHECK(assembly.is_complete());
    CHECK_FALSE(assembly.take().has_value());
    CHECK(assembly.missing().all());
}

TEST(configuration_download, parts_for_another_node_are_ignored)
{
    configuration_download download(own);
    const configuration_part part{
        node_incarnation(8), 0, version_of(9), hash64("a"), 0, 1, "a"};
    CHECK(download.on_part(part, "a", instant()) == part_effect::none);
}

// Sixty nodes ask one small host at once. Its callers need the link.
TEST(configuration_download, answers_leave_the_link_to_callers)
{
    constexpr double link = 10e6;
    answer_budget budget(link);
    std::size_t sent = 0;
    for (int ms = 0; ms < 1'000; ++ms)
        for (int i = 0; i < 60; ++i)
            if (budget.take(max_packet_bytes, instant(milliseconds(ms))))
                sent += max_packet_bytes;
    const double share = static_cast<double>(sent) * 8 / link;
    CHECK(share > 0.1);
    CHECK(share < 0.13);
    // The clock of a test may stand still or go back.
    CHECK_FALSE(budget.take(max_packet_bytes * 100, instant()));
}
