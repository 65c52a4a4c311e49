#include "test_support.hpp"

#include "fennelladder/journal/group_committer.hpp"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <future>
#include <memory>

using namespace fennelladder;
using namespace fennelladder::journal;

namespace {

/// What happens to a group on its way to another node.
enum class way : std::uint8_t
{
    good,
    lost,       // the owner never sees it
    reply_lost, // the owner commits it, the sender hears nothing
    late,       // the owner sees it after the sender gave up
    garbled     // the owner answers something else
};

class fleet;

class fake_peers final : public forwarder
{
public:
    explicit fake_peers(fleet& all) : fleet_(all) {}

    result<std::vector<applied_record>>
    forward(const incarnation_id& owner, shard_id shard,
            const std::vector<record>& records) override;

private:
    fleet& fleet_;
};

struct node
{
    std::unique_ptr<group_committer> committer;
    std::vector<incarnation_id> ranking;
    std::map<std::uint64_t, applied_record> outcomes;
    bool heard_twice = false;
};

/// Nodes "n0", "n1", ... of one shard in virtual time.
class fleet
{
public:
    explicit fleet(int nodes, committer_options options = {}) : peers_(*this)
    {
        options.log = quick_options();
        for (int n = 0; n < nodes; ++n) {
            const incarnation_id self("n" + std::to_string(n));
            node& made = nodes_[self];
            made.ranking = {incarnation_id("n0"), incarnation_id("n1")};
            made.committer = std::make_unique<group_committer>(
                store, small_ring, shard_id(0), self, make_digest_state,
                [&made] { return made.ranking; }, &peers_, 1, options);
        }
    }

    node& at(int n)
    {
        return nodes_.at(incarnation_id("n" + std::to_string(n)));
    }

    node& at(const incarnation_id& name) { return nodes_.at(name); }

    status submit(int n, int count = 1)
    {
        node& who = at(n);
        for (; count > 0; --count) {
            auto taken = who.committer->submit(
                wish_add, "ab",
                [&who](const applied_record& it) {
                    who.heard_twice |=
                        !who.outcomes.emplace(it.mark.sequence, it).second;
                },
                now);
            if (!taken)
                return tl::unexpected(taken.error());
        }
        return {};
    }

    /// Lets time pass in steps of five milliseconds.
    void run(duration length)
    {
        for (const instant end = now + length; now < end;) {
            now += milliseconds(5);
            for (auto& [name, it] : nodes_)
                it.committer->tick(now);
        }
    }

    /// All of a node's wishes were accepted, each heard of once.
    void check_accepted(int n, std::size_t count)
    {
        LONGS_EQUAL(count, at(n).outcomes.size());
        CHECK(!at(n).heard_twice);
        for (const auto& [sequence, it] : at(n).outcomes)
            CHECK(it.outcome == record_outcome::accepted);
    }

    /// The log holds so many different records, none applied twice.
    void check_log(std::size_t records)
    {
        store.plan = {};
        shard_log log = open_log(store);
        CHECK(log.recover().has_value());
        LONGS_EQUAL(records, digest_of(log).seen.size());
        CHECK(encoded(log) == replay(store.segments).encode());
    }

    instant now = from_nanoseconds(1'000'000'000);
    faulty_store store;
    way road = way::good;
    std::vector<std::vector<record>> late;

private:
    fake_peers peers_;
    std::map<incarnation_id, node> nodes_;
};

result<std::vector<applied_record>>
fake_peers::forward(const incarnation_id& owner, shard_id /*shard*/,
                    const std::vector<record>& records)
{
    result<std::vector<applied_record>> heard =
        fail(error_code::timeout, "no answer");
    const way road = fleet_.road;
    if (road == way::late)
        fleet_.late.push_back(records);
    if (road == way::lost || road == way::late)
        return heard;
    group_committer& to = *fleet_.at(owner).committer;
    const auto taken = to.gather(
        records, [&heard](auto made) { heard = std::move(made); }, fleet_.now);
    if (!taken)
        return tl::unexpected(taken.error());
    (void)to.flush(fleet_.now);
    if (road == way::reply_lost)
        return fail(error_code::timeout, "no answer");
    if (road == way::garbled && heard)
        heard->pop_back();
    return heard;
}

} // namespace

TEST_GROUP(group_committer){};

TEST(group_committer, owner_commits_the_wishes_of_many_nodes_in_one_call)
{
    fleet all(1);
    int heard = 0;
    CHECK(all.submit(0, 3).has_value());
    all.run(seconds(1)); // opened
    const journal_calls before = all.at(0).committer->figures().calls;
    CHECK(all.submit(0, 3).has_value());
    for (int n = 1; n <= 7; ++n)
        CHECK(
            all.at(0)
                .committer
                ->gather(
                    {wish("m" + std::to_string(n), 1)},
                    [&heard](auto made) { heard += made && made->size() == 1; },
                    all.now)
                .has_value());
    all.run(seconds(1));
    LONGS_EQUAL(7, heard);
    const journal_calls after = all.at(0).committer->figures().calls;
    LONGS_EQUAL(before.append + 1, after.append);
    LONGS_EQUAL(before.read, after.read);
    all.check_accepted(0, 6);
    all.check_log(13);
}

TEST(group_committer, a_follower_hears_by_its_owner_and_writes_nothing)
{
    fleet all(3);
    for (int n = 0; n < 20; ++n) {
        CHECK(all.submit(2, 2).has_value());
        all.run(milliseconds(50));
    }
    all.check_accepted(2, 40);
    const committer_figures figures = all.at(2).committer->figures();
    LONGS_EQUAL(0, figures.calls.writes());
    LONGS_EQUAL(1, figures.calls.total()); // where the shard begins for it
    LONGS_EQUAL(20, figures.forwarded);
    all.check_log(40);
}

// A node hands its bills to the shard's owner, and something goes wrong on
// the way: the message is lost, or comes late, or the owner commits and its
// answer is lost. The node appends itself. The treasurer must see each bill
// once, and the node must hear of each once, with the verdict that counted.
TEST(group_committer, wishes_that_go_two_ways_count_once)
{
    for (const way road :
         {way::lost, way::reply_lost, way::late, way::garbled}) {
        fleet all(3);
        all.road = road;
        for (int n = 0; n < 10; ++n) {
            CHECK(all.submit(2, 3).has_value());
            CHECK(all.submit(0).has_value());
            all.run(seconds(2));
        }
        for (const std::vector<record>& it : all.late)
            CHECK(all.at(0)
                      .committer
                      ->gather(
                          it, [](auto) {}, all.now)
                      .has_value());
        all.run(seconds(2));
        all.check_accepted(2, 30);
        all.check_accepted(0, 10);
        CHECK(all.at(2).committer->figures().fallbacks > 0);
        all.check_log(40);
    }
}

// The host list lags: two nodes hold themselves for the owner, and others
// send to one or the other. It costs lost races, nothing else.
TEST(group_committer, two_owners_and_divided_followers)
{
    fleet all(6);
    for (int n = 1; n < 6; n += 2)
        all.at(n).ranking = {incarnation_id("n1")};
    for (int round = 0; round < 30; ++round) {
        for (int n = 0; n < 6; ++n)
            CHECK(all.submit(n).has_value());
        all.run(milliseconds(200));
    }
    all.run(seconds(1));
    for (int n = 0; n < 6; ++n)
        all.check_accepted(n, 30);
    all.check_log(180);
}

// The platform is down for an hour. Wishes wait in memory, as many as the
// options allow, and the callers of the rest are told; when it is back, all
// that were taken are committed in order, once. Meanwhile eight nodes must
// not wear the platform out with tries.
TEST(group_committer, outage_of_an_hour_keeps_wishes_in_order_and_in_bounds)
{
    for (const fault what : {fault::refuse, fault::lose_reply}) {
        committer_options options;
        options.max_pending = 100;
        options.gate =
            std::make_shared<outage_gate>(1, milliseconds(50), seconds(5));
        fleet all(8, options);
        CHECK(all.submit(2, 10).has_value());
        all.run(seconds(1));
        all.store.plan = [what](call_kind) { return what; };
        std::size_t taken = 10;
        for (int minute = 0; minute < 60; ++minute) {
            for (int n = 0; n < 2; ++n)
                taken += all.submit(2).has_value();
            all.run(minutes(1));
        }
        while (all.submit(2).has_value())
            ++taken;
        LONGS_EQUAL(110, taken);
        const committer_figures figures = all.at(2).committer->figures();
        LONGS_EQUAL(100, figures.pending);
        LONGS_EQUAL(200, figures.pending_bytes);
        CHECK(figures.oldest < all.now - minutes(58));
        LONGS_EQUAL(100, all.at(2).committer->pending().size());
        CHECK(all.store.calls < 3600 / 2 * 3);
        all.store.plan = {};
        CHECK(figures.last_failure >= 0);
        all.run(seconds(30));
        LONGS_EQUAL(-1, all.at(2).committer->figures().last_failure);
        all.check_accepted(2, 110);
        all.check_log(110);
        std::string last = "";
        std::uint64_t next = 1;
        for (const std::string& it : all.store.segments) {
            const auto records = decode_segment(it);
            for (const record& one : records.value()) {
                if (one.mark.writer != incarnation_id("n2"))
                    continue;
                CHECK(one.mark.sequence <= next); // repetitions are older
                next = std::max(next, one.mark.sequence + 1);
            }
        }
        LONGS_EQUAL(111, next);
    }
}

// A follower's flush fails while the platform is down; later its owner takes
// the wishes. The follower's figures must not go on saying that it can't
// commit, or its node would hold tokens back for good.
TEST(group_committer, a_group_taken_by_the_owner_ends_a_failure)
{
    committer_options options;
    options.owner_retry = duration(0);
    fleet all(3, options);
    CHECK(all.submit(2).has_value());
    all.run(seconds(1));
    all.store.plan = [](call_kind) { return fault::refuse; };
    CHECK(all.submit(2).has_value());
    all.run(seconds(1));
    CHECK(all.at(2).committer->figures().last_failure >= 0);
    all.store.plan = {};
    all.run(seconds(5));
    all.check_accepted(2, 2);
    LONGS_EQUAL(0, all.at(2).committer->figures().appended);
    LONGS_EQUAL(-1, all.at(2).committer->figures().last_failure);
}

// A node dies with bills that only its peer has a copy of. The peer puts them
// in the journal; so does the node, which was only paused, when it wakes.
TEST(group_committer, copies_kept_by_a_peer_count_once_beside_the_originals)
{
    fleet all(3);
    CHECK(all.submit(2, 5).has_value());
    all.run(seconds(1));
    CHECK(all.submit(2, 5).has_value());
    const std::vector<record> copies = all.at(2).committer->pending();
    LONGS_EQUAL(5, copies.size());
    CHECK(all.at(1)
              .committer
              ->gather(
                  copies, [](auto) {}, all.now)
              .has_value());
    CHECK(all.at(1).committer->flush(all.now).has_value());
    all.check_log(10);
    all.run(seconds(1));
    all.check_accepted(2, 10);
    all.check_log(10);
}

// A node was taken for dead on proof and its incarnation retired, but it only
// slept. What it sends after it wakes must not count, and it must be told so
// that it starts anew.
TEST(group_committer, a_retired_writer_is_told)
{
    fleet all(2);
    CHECK(all.submit(1).has_value());
    all.run(seconds(1));
    shard_log reaper = open_log(all.store);
    CHECK(reaper.append({wish("r", 1, "n1", wish_retire)}).has_value());
    CHECK(all.submit(1).has_value());
    all.run(seconds(1));
    CHECK(all.at(1).outcomes.at(2).outcome == record_outcome::retired);
    all.check_log(2);
}

TEST(group_committer, reads_show_the_newest_state)
{
    fleet all(2);
    CHECK(all.submit(0, 4).has_value());
    all.run(seconds(1));
    std::size_t seen = 0;
    const auto look = [&seen](const fold& it) {
        seen = dynamic_cast<const digest_state&>(it.state()).seen.size();
    };
    CHECK(all.at(1).committer->read(look).has_value());
    LONGS_EQUAL(4, seen);
}

// Threads of a node submit while a runner's threads flush, against a second
// node that does the same; make tsan runs this.
TEST(group_committer, threads_submit_while_a_runner_flushes)
{
    platform::memory_object_store store;
    const system_clock time;
    constexpr int committers = 4;
    constexpr int each = 300;
    committer_options options;
    options.flush_interval = milliseconds(1);
    std::vector<std::unique_ptr<group_committer>> made;
    std::vector<group_committer*> all;
    for (int n = 0; n < committers; ++n) {
        made.push_back(std::make_unique<group_committer>(
            store, small_ring, shard_id(0),
            incarnation_id("n" + std::to_string(n)), make_digest_state,
            owner_ranking(), nullptr, 1, options));
        all.push_back(made.back().get());
    }
    std::atomic<int> accepted = 0;
    std::promise<void> finished;
    const auto done = [&](const applied_record& it) {
        accepted += it.outcome == record_outcome::accepted;
        if (accepted == committers * each)
            finished.set_value();
    };
    const commit_runner runner(all, time, 2);
    std::vector<std::thread> threads;
    for (group_committer* it : all) {
        threads.emplace_back([it, &time, &done] {
            for (int n = 0; n < each; ++n)
                (void)it->submit(wish_add, "ab", done, time.now());
        });
    }
    for (std::thread& it : threads)
        it.join();
    finished.get_future().wait();
    shard_log log = open_log(store);
    CHECK(log.recover().has_value());
    LONGS_EQUAL(committers * each, digest_of(log).seen.size());
}
