#include "fennelladder/dispatch/stream_origins.hpp"

#include "fennelladder/base/random.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));

const service_id llm("llm");

catalog::software_version version(const char* name)
{
    return catalog::software_version(name);
}

stream_origin origin(std::uint64_t key, const char* of,
                     std::uint32_t attempt = 1)
{
    return {stream_key(key), llm, version(of), attempt};
}

catalog::target_list::entry_map targets(std::vector<const char*> versions)
{
    catalog::target_list::entry_map out;
    for (const char* it : versions) {
        catalog::target_entry entry;
        entry.id = target_id("i-" + std::to_string(out.size()));
        entry.service = llm;
        entry.software = version(it);
        out.emplace(entry.id, entry);
    }
    return out;
}

std::vector<record_holder> hosts(int n)
{
    std::vector<record_holder> out;
    for (int i = 0; i < n; ++i)
        out.push_back({host_id("h" + std::to_string(i)),
                       data_center_id("d" + std::to_string(i % 3))});
    return out;
}

} // namespace

TEST_GROUP(stream_origins)
{
    stream_origin_table table{{.retention = seconds(10), .max_records = 100}};
    version_history history{seconds(10), seconds(2)};

    /// The list is current each second from `from` on, until `to`.
    void confirm(duration from, duration to)
    {
        for (duration at = from; at <= to; at += seconds(1))
            history.confirm(start + at, false);
    }
};

TEST(stream_origins, the_last_attempt_before_the_first_event_counts)
{
    table.note(origin(1, "v2", 2), start);
    table.note(origin(1, "v1", 1), start);
    CHECK(table.find(stream_key(1), start)->origin == origin(1, "v2", 2));
    table.note(origin(1, "v3", 3), start);
    CHECK(table.find(stream_key(1), start)->origin == origin(1, "v3", 3));
    CHECK(!table.find(stream_key(2), start));
}

TEST(stream_origins, records_age_and_are_dropped)
{
    table.note(origin(1, "v1"), start, seconds(3));
    CHECK(table.find(stream_key(1), start + seconds(2))->age == seconds(5));
    UNSIGNED_LONGS_EQUAL(1, table.recent(seconds(4), start).size());
    UNSIGNED_LONGS_EQUAL(0, table.recent(seconds(2), start).size());
    table.note(origin(2, "v1"), start + seconds(11));
    CHECK(!table.find(stream_key(1), start + seconds(11)));
    for (std::uint64_t i = 10; i < 500; ++i)
        table.note(origin(i, "v1"), start + seconds(11));
    UNSIGNED_LONGS_EQUAL(100, table.size());
    CHECK(table.find(stream_key(499), start + seconds(11)).has_value());
}

// Guards against a caller that states another team's id.
TEST(stream_origins, a_stream_belongs_to_its_team)
{
    CHECK(stream_key_of("r1", team_id("a")) != stream_key_of("r1", team_id()));
    CHECK(stream_key_of("r1", team_id("a")) !=
          stream_key_of("r1", team_id("b")));
    CHECK(stream_key_of("r1", team_id("a")) ==
          stream_key_of("r1", team_id("a")));
}

// Guards against two streams, asked for with the same words, of which the
// earlier one counts.
TEST(stream_origins, the_last_stream_of_the_same_content_counts)
{
    const request_fingerprint same = fingerprint_of("GET", "/x", {}, "");
    const std::vector<std::uint64_t> prompt{1, 2};
    const stream_key key = stream_key_of(same, prompt);
    CHECK(key != stream_key_of(same, std::vector<std::uint64_t>{1, 3}));
    CHECK(key == stream_key_of(same, prompt));
    table.note({key, llm, version("v1"), 0}, start);
    table.note({key, llm, version("v2"), 0}, start);
    CHECK(table.find(key, start)->origin.version == version("v2"));
}

// Guards against taking the only version that is left for the only one there
// was, and against a node that has just started.
TEST(stream_origins, a_version_counts_for_a_while_after_it_is_gone)
{
    history.sync(targets({"v1", "v1"}), start);
    confirm(seconds(0), seconds(9));
    CHECK(!history.of(llm, start + seconds(9)).only());
    confirm(seconds(10), seconds(10));
    CHECK(history.of(llm, start + seconds(10)).only() == version("v1"));
    confirm(seconds(11), seconds(20));
    history.sync(targets({"v1", "v2"}), start + seconds(20));
    CHECK(!history.of(llm, start + seconds(20)).only());
    confirm(seconds(21), seconds(62));
    history.sync(targets({"v2", "v2"}), start + seconds(50));
    CHECK(!history.of(llm, start + seconds(60)).only());
    CHECK(history.of(llm, start + seconds(61)).only() == version("v2"));
    history.sync(targets({"v2", "v1"}), start + seconds(62));
    CHECK(!history.of(llm, start + seconds(62)).only());
    CHECK(!history.of(service_id("other"), start + seconds(62)).only());
}

// Guards against a version that came, began streams and went while the node
// stood still or was cut off, so that it was in no list.
TEST(stream_origins, a_gap_may_hide_a_version)
{
    history.sync(targets({"v1"}), start);
    confirm(seconds(0), seconds(20));
    CHECK(history.of(llm, start + seconds(22)).only() == version("v1"));
    // Until the list is current again, and for the span afterwards.
    CHECK(!history.of(llm, start + seconds(23)).only());
    confirm(seconds(23), seconds(32));
    CHECK(!history.of(llm, start + seconds(32)).only());
    confirm(seconds(33), seconds(33));
    CHECK(history.of(llm, start + seconds(33)).only() == version("v1"));
    CHECK(history.covers_span(start + seconds(33)));
    // A confirmation that comes late is of no use.
    history.confirm(start + seconds(30), false);
    CHECK(!history.of(llm, start + seconds(36)).only());
}

// Guards against refusing streams after each gap, although all changes within
// it were seen one by one, and against the versions in them being lost.
TEST(stream_origins, changes_that_were_seen_leave_no_gap)
{
    history.sync(targets({"v1"}), start);
    confirm(seconds(0), seconds(20));
    history.confirm(start + seconds(26), true);
    CHECK(history.of(llm, start + seconds(26)).only() == version("v1"));
    catalog::target_entry entry;
    entry.id = target_id("i-9");
    entry.service = llm;
    entry.software = version("v2");
    const std::vector<catalog::target_change> changes{
        {entry.id, entry, catalog::revision(8)},
        {entry.id, std::nullopt, catalog::revision(9)}};
    history.note_changes(changes, start + seconds(30));
    history.sync(targets({"v1"}), start + seconds(30));
    history.confirm(start + seconds(30), true);
    CHECK(!history.of(llm, start + seconds(30)).only());
    confirm(seconds(31), seconds(41));
    CHECK(history.of(llm, start + seconds(41)).only() == version("v1"));
}

// Guards against what earlier processes recorded before a gap.
TEST(stream_origins, records_count_only_if_they_were_read_after_a_gap)
{
    history.sync(targets({"v1"}), start);
    confirm(seconds(0), seconds(1));
    history.add_recorded({{llm, {version("v1")}}}, start + seconds(1));
    CHECK(history.of(llm, start + seconds(1)).only() == version("v1"));
    history.confirm(start + seconds(6), false);
    CHECK(!history.has_recorded());
    CHECK(!history.of(llm, start + seconds(6)).only());
    history.add_recorded({{llm, {version("v1")}}}, start + seconds(6));
    CHECK(history.of(llm, start + seconds(6)).only() == version("v1"));
    history.confirm(start + seconds(7), false);
    history.add_recorded({{llm, {version("v1"), version("v2")}}},
                         start + seconds(7));
    CHECK(!history.of(llm, start + seconds(7)).only());
}

// Guards against a record that a leaving node hands over late.
TEST(stream_origins, an_older_record_does_not_replace_a_younger_one)
{
    table.note(origin(1, "v2", 0), start, seconds(1));
    table.note(origin(1, "v1", 0), start, seconds(3));
    CHECK(table.find(stream_key(1), start)->origin.version == version("v2"));
}

TEST(stream_origins, nodes_that_know_different_versions_know_of_several)
{
    recent_versions old{{version("v1")}, true};
    recent_versions young{{version("v1")}, false};
    CHECK(!young.only());
    young.merge(old);
    CHECK(young.only() == version("v1"));
    young.merge({{version("v2")}, false});
    CHECK(!young.only());
}

struct resumption_case
{
    const char* name;
    std::optional<stream_origin> origin;
    recent_versions versions;
    bool list_confirmed;
    resumption expected;
    bool has_one_service = true;
};

TEST(stream_origins, a_stream_is_resumed_only_where_it_is_known_to_belong)
{
    stream_origin elsewhere = origin(1, "v1");
    elsewhere.service = service_id("other");
    const recent_versions one{{version("v1")}, true};
    const recent_versions two{{version("v1"), version("v2")}, true};
    const recent_versions some{{version("v1")}, false};
    const std::vector<resumption_case> cases{
        {"a record", origin(1, "v2"), two, false, resumption::at_origin},
        {"a record, one version", origin(1, "v1"), one, true,
         resumption::at_origin},
        {"of another service", elsewhere, one, true, resumption::other_service},
        {"no record", {}, two, true, resumption::unknown},
        {"no record, one version", {}, one, true, resumption::at_only},
        {"the same, with an old list",
         {},
         one,
         false,
         resumption::wait_for_list},
        {"no record, perhaps one version", {}, some, true, resumption::unknown},
        {"no record, no version", {}, {}, true, resumption::unknown},
        {"several services", {}, one, true, resumption::unknown, false},
        {"several services, a record", origin(1, "v2"), two, false,
         resumption::at_origin, false},
    };
    for (const resumption_case& it : cases)
        CHECK_TEXT(decide_resumption({it.origin, it.versions, it.list_confirmed,
                                      llm, it.has_one_service}) == it.expected,
                   it.name);
}

TEST(stream_origins, records_are_kept_in_different_data_centers)
{
    for (std::uint64_t key = 0; key < 100; ++key) {
        const auto got = stream_record_holders(stream_key(key), hosts(8), 3);
        UNSIGNED_LONGS_EQUAL(3, got.size());
        const auto place = [](const host_id& it) {
            return (it.str().back() - '0') % 3;
        };
        CHECK(place(got[0]) != place(got[1]) && place(got[0]) != place(got[2]));
        CHECK(place(got[1]) != place(got[2]));
    }
    CHECK(stream_record_holders(stream_key(1), {}, 3).empty());
    UNSIGNED_LONGS_EQUAL(
        2, stream_record_holders(stream_key(1), hosts(2), 3).size());
}

namespace {

struct fleet_case
{
    int hosts;
    int killed;   ///< Of these, the node that began the stream among them.
    double loss;  ///< Of datagrams.
    double least; ///< Share of streams whose record is found.
};

/// Share of streams whose record is found by a node that lives, when random
/// nodes are killed together.
double found_share(const fleet_case& fleet, random_source& random)
{
    constexpr int streams = 2'000;
    constexpr std::size_t kept_by = 3;
    constexpr std::size_t asked = 8;
    constexpr int questions = 2; ///< Copies of a question that is not answered.
    int found = 0;
    for (int i = 0; i < streams; ++i) {
        const stream_key key(random.bits());
        auto others = hosts(fleet.hosts);
        for (std::size_t n = others.size(); n > 1; --n)
            std::swap(others[n - 1], others[random.below(n)]);
        others.pop_back(); // The node that began the stream.
        std::set<host_id> has_record;
        for (const host_id& it : stream_record_holders(key, others, kept_by))
            if (random.unit() >= fleet.loss)
                has_record.insert(it);
        std::vector<record_holder> alive(others.begin() + (fleet.killed - 1),
                                         others.end());
        const record_holder asker = alive.back();
        alive.pop_back();
        bool known = has_record.contains(asker.host);
        for (const host_id& it : stream_record_holders(key, alive, asked))
            for (int n = 0; n < questions; ++n)
                known |= has_record.contains(it) &&
                         random.unit() >= fleet.loss &&
                         random.unit() >= fleet.loss;
        found += known;
    }
    return static_cast<double>(found) / streams;
}

} // namespace

// Guards against records that die with the node that began the stream, and
// against nodes that ask others than were told.
TEST(stream_origins, a_record_outlives_the_nodes_that_are_killed_together)
{
    random_source random(7);
    for (const fleet_case& it : std::vector<fleet_case>{
             {8, 1, 0, 1},
             {8, 3, 0, 1},
             {8, 4, 0, 0.95},
             {8, 1, 0.1, 0.995},
             {340, 1, 0, 1},
             {340, 40, 0, 0.995},
             {340, 1, 0.1, 0.995},
         })
        CHECK_TEXT(found_share(it, random) >= it.least,
                   std::to_string(it.hosts + it.killed).c_str());
}
