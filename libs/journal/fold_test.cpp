#include "test_support.hpp"

#include "fennelladder/telemetry/event_catalog.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace fennelladder;
using namespace fennelladder::journal;

namespace {

const digest_state& state_of(const fold& books)
{
    return dynamic_cast<const digest_state&>(books.state());
}

record marked(const std::string& name, std::uint64_t sequence,
              std::uint64_t acknowledged, std::uint64_t opened_at = 0)
{
    record made = wish(name, sequence);
    made.mark.acknowledged = acknowledged;
    made.mark.opened_at = opened_at;
    return made;
}

/// A fold that went through its stored bytes.
fold stored_copy(const fold& books)
{
    fold copy(make_digest_state());
    CHECK(copy.decode(books.encode()).has_value());
    copy.set_position(books.position());
    return copy;
}

} // namespace

TEST_GROUP(fold){};

TEST(fold, passes_over_what_it_has_seen)
{
    struct step
    {
        record what;
        record_outcome outcome;
        bool found;
    };
    const step steps[] = {
        {marked("a", 1, 0), record_outcome::accepted, false},
        {marked("a", 1, 0), record_outcome::accepted, true},
        {marked("a", 3, 0), record_outcome::accepted, false}, // out of order
        {marked("a", 2, 0), record_outcome::accepted, false},
        {wish("a", 4, "odd"), record_outcome::refused, false},
        {wish("a", 4, "odd"), record_outcome::refused, true},
        {marked("a", 5, 3), record_outcome::accepted, false},
        {marked("a", 2, 0), record_outcome::repeated, true}, // forgotten
        {marked("a", 4, 0), record_outcome::refused, true},
        {marked("b", 1, 0), record_outcome::accepted, false},
        {marked("b", 0, 0), record_outcome::repeated, true}, // no such mark
        {marked("b", 7, 9), record_outcome::repeated, true},
        {wish("b", 2, "a", wish_retire), record_outcome::accepted, false},
        {marked("a", 6, 3), record_outcome::retired, true},
        {marked("a", 5, 3), record_outcome::retired, true},
        {marked("b", 3, 0), record_outcome::accepted, false},
    };
    fold books(make_digest_state());
    for (const step& it : steps) {
        fold copy = stored_copy(books);
        const applied_record made = books.apply(it.what);
        CHECK(made.outcome == it.outcome);
        CHECK(made.found == it.found);
        // A node that read a checkpoint here goes on in the same way.
        CHECK(copy.apply(it.what).outcome == it.outcome);
        CHECK(copy.encode() == books.encode());
    }
    CHECK(!state_of(books).doubled);
}

// A writer that never acknowledges, or leaves gaps, must cost bounded memory,
// and a record older than the window must not count a second time.
TEST(fold, keeps_a_window_of_marks_per_writer)
{
    fold books(make_digest_state());
    for (std::uint64_t n = 1; n <= 2 * mark_window; ++n)
        books.apply(wish("w", n, ""));
    CHECK(books.find(wish("w", mark_window).mark)->outcome ==
          record_outcome::repeated);
    CHECK(books.find(wish("w", mark_window + 1).mark)->outcome ==
          record_outcome::accepted);
    CHECK(!books.find(wish("w", 2 * mark_window + 1).mark).has_value());
    CHECK(stored_copy(books).encode() == books.encode());
}

// Nodes are replaced 57 times a day, for years. A copy of a bill lay in a
// paused node's memory meanwhile and arrives when its writer's name has long
// been dropped; it must not be billed again.
TEST(fold, old_records_stay_dead_when_names_of_retired_writers_are_dropped)
{
    fold books(make_digest_state());
    std::uint64_t reaper = 0;
    constexpr std::uint64_t lives = retired_limit + 50;
    for (std::uint64_t n = 1; n <= lives; ++n) {
        books.set_position(n * 10);
        const std::string name = "w" + std::to_string(n);
        books.apply(marked(name, 1, 0, n * 10));
        books.apply(wish("r", ++reaper, name, wish_retire));
    }
    LONGS_EQUAL(retired_limit, books.retired_writers());
    LONGS_EQUAL(1, books.writers());
    const std::size_t before = state_of(books).seen.size();
    fold copy = stored_copy(books);
    for (std::uint64_t n = 1; n <= lives; ++n) {
        const record late = marked("w" + std::to_string(n), 1, 0, n * 10);
        CHECK(books.apply(late).outcome == record_outcome::retired);
        CHECK(copy.apply(late).outcome == record_outcome::retired);
    }
    LONGS_EQUAL(before, state_of(books).seen.size());
    // One who began before the horizon and never wrote must open anew; one
    // who began later is served.
    CHECK(books.apply(marked("slow", 1, 0, 500)).outcome ==
          record_outcome::retired);
    CHECK(books.apply(marked("new", 1, 0, lives * 10)).outcome ==
          record_outcome::accepted);
}

TEST_GROUP(codec){};

// Bytes that pass the checksum but were made by someone else, or by a newer
// build: the decoder must say so, whatever they are.
TEST(codec, bodies_made_on_purpose_are_corrupt_or_well_formed)
{
    const auto framed = [](const std::string& body) {
        const std::string rest = std::string(8, '\1') + body;
        std::uint64_t sum =
            hash64(rest, static_cast<std::uint64_t>(object_kind::segment));
        std::string bytes;
        for (int n = 0; n < 8; ++n, sum >>= 8)
            bytes += static_cast<char>(sum & 0xff);
        return bytes + rest;
    };
    const std::string good =
        encode_segment(7, {wish("w", 1), wish("v", 9, "payload")});
    CHECK(framed(good.substr(16)).substr(16) == good.substr(16));
    CHECK(decode_segment(framed(good.substr(16))).has_value());
    random_source random(11);
    int corrupt = 0;
    for (int n = 0; n < 20'000; ++n) {
        std::string body = good.substr(16);
        for (std::uint64_t k = random.below(4) + 1; k > 0; --k)
            body[random.below(body.size())] = static_cast<char>(random.bits());
        body.resize(random.below(body.size() + 1));
        const auto read = decode_segment(framed(body));
        if (!read)
            CHECK(read.error().code == error_code::corrupt);
        corrupt += !read;
    }
    CHECK(corrupt > 10'000);
    wire::segment newer;
    newer.version = stored_version + 1;
    CHECK(decode_segment(pack(1, newer)).error().code == error_code::corrupt);
}

TEST(codec, a_segment_is_as_large_as_it_was_reckoned_to_be)
{
    random_source random(5);
    std::vector<record> wishes;
    std::size_t reckoned = 64;
    for (std::uint64_t n = 0; n < 500; ++n) {
        record made = wish("host-1." + to_hex(random.bits()), random.bits(),
                           std::string(random.below(300), 'x'),
                           static_cast<int>(random.bits()));
        made.mark.acknowledged = random.bits();
        made.mark.opened_at = random.bits();
        reckoned += encoded_size(made);
        wishes.push_back(made);
    }
    CHECK(encode_segment(1, wishes).size() <= reckoned);
}

TEST_GROUP(layout){};

TEST(layout, the_first_one_holds_and_a_differing_setting_is_a_finding)
{
    for (const fault what :
         {fault::none, fault::lose_reply, fault::lose_request}) {
        faulty_store store([what](call_kind kind) {
            return kind == call_kind::read ? fault::none : what;
        });
        findings found;
        auto made = establish_layout(store, {"j", 4, 64}, found);
        if (what == fault::lose_request) {
            CHECK(made.error().code == error_code::unavailable);
            continue;
        }
        CHECK(found.empty());
        made = establish_layout(store, {"j", 8, 32}, found);
        LONGS_EQUAL(4, made->shards);
        LONGS_EQUAL(64, made->slots);
        LONGS_EQUAL(2, found.all().size());
        for (const finding& it : found.all())
            LONGS_EQUAL(telemetry::event::journal_layout_differs, it.event);
    }
    faulty_store store;
    findings found;
    for (const journal_layout& bad :
         {journal_layout{"j", 0, 64}, journal_layout{"j", 4, 3},
          journal_layout{"j", 5000, 64}, journal_layout{"j", 4, 100'000}})
        CHECK(establish_layout(store, bad, found).error().code ==
              error_code::invalid);
}

// A node that starts while the platform is down gets the layout from a peer.
// Damaged on the way, or from another fleet, it must not cut the journal.
TEST(layout, a_peers_layout_is_taken_only_if_it_is_whole)
{
    findings found;
    const std::string bytes = encode_layout({"j", 4, 64});
    const auto taken = adopt_layout(bytes, {"j", 4, 64}, found);
    LONGS_EQUAL(4, taken->shards);
    LONGS_EQUAL(64, taken->slots);
    STRCMP_EQUAL("j", taken->prefix.c_str());
    CHECK(found.empty());
    LONGS_EQUAL(4, adopt_layout(bytes, {"j", 8, 64}, found)->shards);
    LONGS_EQUAL(1, found.all().size());
    CHECK(adopt_layout(bytes, {"k", 4, 64}, found).error().code ==
          error_code::invalid);
    CHECK(adopt_layout(encode_layout({"j", 0, 64}), {"j", 4, 64}, found)
              .error()
              .code == error_code::corrupt);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        std::string damaged = bytes;
        damaged[n] = static_cast<char>(damaged[n] ^ 1);
        CHECK(!adopt_layout(damaged, {"j", 4, 64}, found));
        CHECK(!adopt_layout(bytes.substr(0, n), {"j", 4, 64}, found));
    }
}

TEST(layout, a_member_that_leaves_moves_only_its_own_shards)
{
    std::vector<incarnation_id> members;
    for (int n = 0; n < 40; ++n)
        members.emplace_back("host-" + std::to_string(n));
    const incarnation_id gone = members[17];
    std::vector<incarnation_id> rest = members;
    std::erase(rest, gone);
    std::map<incarnation_id, int> load;
    for (std::uint64_t n = 0; n < 4000; ++n) {
        const shard_id shard(n);
        const auto ranked = rank_owners(shard, members, 2);
        const incarnation_id after = owner_of(shard, rest);
        CHECK(after == (ranked[0] == gone ? ranked[1] : ranked[0]));
        ++load[ranked[0]];
    }
    for (const auto& [member, shards] : load)
        CHECK(shards > 50 && shards < 170); // 100 on average
    LONGS_EQUAL(40, load.size());
    CHECK(owner_of(shard_id(1), {}).empty());
}

TEST(layout, every_shard_gets_its_share_of_teams)
{
    std::vector<int> load(16);
    for (int n = 0; n < 8200; ++n)
        ++load[shard_of(team_id("team-" + std::to_string(n)), 16).value()];
    for (const int it : load)
        CHECK(it > 400 && it < 625); // 512 on average
}
