#include "fennelladder/manifest/active_manifest.hpp"
#include "fennelladder/manifest/apply.hpp"
#include "fennelladder/manifest/synthetic.hpp"
#include "fennelladder/platform/memory_object_store.hpp"
#include "scripted_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::manifest;

namespace {

// Manifest number n of a series in which each differs from all others.
document numbered_manifest(int n)
{
    document made = make_synthetic({.teams = 30, .budgets = 300});
    made.budgets[0].topups[0].amount = tokens(1'000 + n);
    return made;
}

apply_request request_of(int n, std::optional<std::uint64_t> base = {})
{
    apply_request made;
    made.manifest = numbered_manifest(n);
    if (base)
        made.base = generation(*base);
    made.apply = apply_id("apply-" + std::to_string(n));
    made.who = "operator-" + std::to_string(n);
    return made;
}

} // namespace

TEST_GROUP(manifest_apply)
{
    platform::memory_object_store inner;
    scripted_store store{inner};

    applier make_applier()
    {
        return {store, {}, [](duration) {}};
    }

    result<apply_receipt> apply(const apply_request& request)
    {
        return make_applier().apply(request);
    }

    root accepted()
    {
        return *decode_root(inner.get(root_key())->value);
    }

    std::size_t count_parts()
    {
        return inner.list(part_prefix(), {}, 100'000)->objects.size();
    }

    // Every part of what is accepted is there and reads well.
    void check_whole()
    {
        part_map parts;
        const auto page = inner.list(part_prefix(), {}, 100'000);
        for (const auto& it : page->objects) {
            const part_hash name(it.key.str().substr(part_prefix().size()));
            CHECK(matches(name, it.value));
            parts[name] = std::make_shared<const std::string>(it.value);
        }
        const auto whole =
            active_manifest::assemble(accepted(), parts, nullptr);
        CHECK_TEXT(whole.has_value(),
                   whole ? "" : whole.error().message.c_str());
    }
};

TEST(manifest_apply, generations_follow_each_other)
{
    LONGS_EQUAL(1, apply(request_of(1))->number.value());
    const auto second = apply(request_of(2, 1));
    LONGS_EQUAL(2, second->number.value());
    LONGS_EQUAL(2, second->parts_sent); // Its bucket and the directory.
    CHECK(second->hash == accepted().hash());
    apply_request same = request_of(2);
    same.apply = apply_id("again");
    CHECK(apply(same)->unchanged);
    LONGS_EQUAL(2, accepted().change.number.value());
    check_whole();
}

// Two pipelines start from generation 1, one finishes first. The other must
// not undo its change unseen: it is refused, and its operator reads who won,
// so that the two can talk.
TEST(manifest_apply, racing_operators_are_told_of_each_other)
{
    const struct
    {
        const char* when;
        int write; ///< Of the loser, before which the winner strikes.
        std::optional<std::uint64_t> base;
    } cases[] = {{"before it starts", -1, 1},
                 {"while parts go up", 1, 1},
                 {"just before the root", 2, 1},
                 {"no base was given", 2, {}}};
    int n = 10;
    for (const auto& it : cases) {
        SimpleString where(it.when);
        const auto base = apply(request_of(++n))->number;
        applier winner(inner, {}, [](duration) {});
        const auto wins = request_of(++n, base.value());
        const int start = store.writes();
        if (it.write < 0)
            CHECK_TEXT(winner.apply(wins).has_value(), it.when);
        store.on_write = [&](int write, const platform::object_key&) {
            if (write - start == it.write)
                CHECK_TEXT(winner.apply(wins).has_value(), it.when);
            return call_fate::well;
        };
        auto loses = request_of(++n, it.base ? std::optional(base.value())
                                             : std::nullopt);
        const auto lost = apply(loses);
        store.on_write = {};
        CHECK_TEXT(!lost && lost.error().code == error_code::conflict, it.when);
        for (const std::string& name :
             {wins.who, wins.apply.str(), loses.who, loses.apply.str(),
              std::to_string(base.next().value())})
            CHECK_TEXT(lost.error().message.find(name) != std::string::npos,
                       (lost.error().message + " lacks " + name).c_str());
        CHECK(accepted().change.apply == wins.apply);
        check_whole();
    }
}

// The platform takes a write but its reply is lost, or the write itself is,
// or the platform refuses for a while. Whichever of the writes it hits, the
// operator reads "accepted" exactly when the change is accepted, once.
TEST(manifest_apply, any_write_may_fail_and_the_change_counts_once)
{
    int unique = 0;
    for (const call_fate fate :
         {call_fate::refused, call_fate::reply_lost, call_fate::request_lost}) {
        for (int bad = 0; bad < 3; ++bad) {
            for (const int times : {1, 3}) {
                const auto before = apply(request_of(++unique))->number;
                const int start = store.writes();
                store.on_write = [&](int n, const platform::object_key&) {
                    const int at = n - start;
                    return at >= bad && at < bad + times ? fate
                                                         : call_fate::well;
                };
                const auto receipt =
                    apply(request_of(++unique, before.value()));
                store.on_write = {};
                CHECK_TEXT(receipt.has_value(),
                           receipt ? "" : receipt.error().message.c_str());
                CHECK(receipt->number == before.next());
                CHECK(accepted().change.number == before.next());
                check_whole();
            }
        }
    }
}

// The reply to the root's write is lost, and before the operator reads back
// another one builds on the change. The first must still learn "accepted as
// generation 2", though the root shows generation 3 by then.
TEST(manifest_apply, own_change_is_found_below_a_later_one)
{
    CHECK(apply(request_of(1)).has_value());
    bool done = false;
    store.on_write = [&](int, const platform::object_key& key) {
        if (key != root_key())
            return call_fate::well;
        if (!done) {
            done = true;
            return call_fate::reply_lost;
        }
        applier other(inner, {}, [](duration) {});
        CHECK(other.apply(request_of(3, 2)).has_value());
        return call_fate::well;
    };
    const auto receipt = apply(request_of(2, 1));
    CHECK(receipt->found_by_apply_id);
    LONGS_EQUAL(2, receipt->number.value());
    LONGS_EQUAL(3, accepted().change.number.value());
}

// The platform goes away right after it took the root's write. The operator
// is told that the end is unknown; running again with the same apply id, once
// the platform is back, says what became of it and changes nothing.
TEST(manifest_apply, outage_after_the_write_is_ambiguous_and_settled_later)
{
    CHECK(apply(request_of(1)).has_value());
    bool down = false;
    const auto fate = [&](int, const platform::object_key& key) {
        const bool was_down = down;
        down |= key == root_key() && store.writes() > 0;
        return was_down ? call_fate::refused : call_fate::reply_lost;
    };
    store.on_write = [&](int n, const platform::object_key& key) {
        return key == root_key() ? fate(n, key) : call_fate::well;
    };
    store.on_read = [&](int, const platform::object_key&) {
        return down ? call_fate::refused : call_fate::well;
    };
    const auto doubtful = apply(request_of(2, 1));
    CHECK(doubtful.error().code == error_code::ambiguous);
    store.on_write = {};
    store.on_read = {};
    const auto settled = apply(request_of(2, 1));
    CHECK(settled->found_by_apply_id);
    LONGS_EQUAL(2, settled->number.value());
    LONGS_EQUAL(2, accepted().change.number.value());
}

TEST(manifest_apply, outage_before_the_root_accepts_nothing)
{
    CHECK(apply(request_of(1)).has_value());
    store.on_write = [](int, const platform::object_key&) {
        return call_fate::refused;
    };
    CHECK(apply(request_of(2)).error().code == error_code::unavailable);
    LONGS_EQUAL(1, accepted().change.number.value());
}

// An operator uploads parts and pauses; meanwhile orphans are collected, its
// parts among them; then it wakes and writes the root. If that write took
// effect the fleet would wait for parts that are gone.
TEST(manifest_apply, collection_never_takes_a_part_that_comes_into_use)
{
    // Write numbers of the paused operator: 0 and 1 are parts, 2 the root.
    for (int pause_before = 0; pause_before < 3; ++pause_before) {
        const auto base = apply(request_of(pause_before + 1))->number;
        // An abandoned upload of the very same parts lies about.
        const auto pieces =
            split(numbered_manifest(100 + pause_before), nullptr);
        for (const auto& [name, bytes] : pieces->parts)
            CHECK(inner
                      .put(part_key(name), bytes,
                           platform::write_condition::always())
                      .has_value());
        const int start = store.writes();
        std::size_t collected = 0;
        store.on_write = [&](int n, const platform::object_key&) {
            if (n - start == pause_before) {
                applier other(inner, {}, [](duration) {});
                collected = other.collect_orphans().value();
            }
            return call_fate::well;
        };
        const auto receipt =
            apply(request_of(100 + pause_before, base.value()));
        store.on_write = {};
        CHECK(collected > 0);
        CHECK(receipt->number == base.next());
        check_whole();
    }
}

// The same from the other side: the collector pauses between listing and
// erasing while an operator brings the listed parts into use.
TEST(manifest_apply, a_paused_collector_is_harmless)
{
    // Write 0 of the collector is the root, the rest erase.
    for (int pause_before = 0; pause_before < 3; ++pause_before) {
        const auto base = apply(request_of(3 * pause_before + 1))->number;
        CHECK(apply(request_of(3 * pause_before + 2)).has_value());
        const int start = store.writes();
        store.on_write = [&](int n, const platform::object_key&) {
            if (n - start == pause_before) {
                // Back to the parts of the first, which are orphans now.
                auto back = request_of(3 * pause_before + 1);
                back.apply = apply_id("back-" + std::to_string(n));
                applier other(inner, {}, [](duration) {});
                CHECK(other.apply(back)->number == base.next().next());
            }
            return call_fate::well;
        };
        const auto erased = make_applier().collect_orphans();
        store.on_write = {};
        CHECK(erased.has_value() ||
              erased.error().code == error_code::conflict);
        check_whole();
        CHECK(make_applier().collect_orphans().has_value());
        check_whole();
        LONGS_EQUAL(5, count_parts());
    }
}
