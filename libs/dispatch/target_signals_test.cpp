// What targets say of themselves, against lists, restarts and late answers in
// any order.

#include "sample_targets.hpp"

#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/target_registry.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(100));

using entry_map = catalog::target_list::entry_map;

catalog::target_entry engine(int n, std::uint64_t process)
{
    catalog::target_entry out = sample_engine(n, 24);
    out.start = catalog::target_start(process);
    return out;
}

routing_request wish_for(bool on_engine = false)
{
    routing_request out;
    out.service = service_id("llm");
    out.on_engine = on_engine;
    return out;
}

} // namespace

TEST_GROUP(target_signals)
{
    random_source random{1};
    target_registry registry{target_registry_options{}};
    instant now = start;

    void list(const entry_map& entries, bool in_doubt = false)
    {
        registry.sync(entries, in_doubt, now);
    }

    bool is_choice()
    {
        return registry.choose(wish_for(), now, random).has_value();
    }
};

// Guards against an entry that lapsed while the platform was away, and brings a
// target back that has said that it leaves.
TEST(target_signals, leaving_outlives_the_entry)
{
    const auto only = engine(1, 5);
    list({{only.id, only}});
    CHECK(
        registry.note_signals(only.process(), {.leaving = true}, now).leaving);
    CHECK(
        !registry.note_signals(only.process(), {.leaving = true}, now).leaving);
    CHECK(!is_choice());
    CHECK(!registry.may_use(only.id, now));
    for (const bool in_doubt : {true, false}) {
        now += seconds(5);
        list({}, in_doubt);
        CHECK_EQUAL(in_doubt ? 1 : 0, registry.count(only.service));
        list({{only.id, only}});
        CHECK(!is_choice());
    }
    const auto next = engine(1, 6);
    list({{next.id, next}});
    CHECK(is_choice());
}

// Guards against an id without starts that is shunned once another process has
// it.
TEST(target_signals, without_a_start_a_move_ends_what_was_said)
{
    auto only = sample_engine(1, 24);
    list({{only.id, only}});
    registry.note_signals(only.process(), {.leaving = true}, now);
    ++only.slots;
    list({{only.id, only}});
    CHECK(!is_choice());
    only.address = "10.0.0.9:80";
    list({{only.id, only}});
    CHECK(is_choice());
}

// Guards against a word of the process before that is taken for the next one's.
TEST(target_signals, a_late_answer_of_the_process_before_says_nothing)
{
    const auto only = engine(1, 6);
    list({{only.id, only}});
    CHECK(!registry.note_signals(engine(1, 5).process(), {.leaving = true}, now)
               .any());
    CHECK(is_choice());
}

// Guards against a target that asked for rest and is chosen as no other is
// left.
TEST(target_signals, a_target_that_asked_for_rest_is_no_choice)
{
    const auto first = engine(1, 5);
    const auto second = engine(2, 5);
    const entry_map both = {{first.id, first}, {second.id, second}};
    list(both);
    CHECK(!registry.backoff_wait(wish_for(), now));
    registry.note_signals(first.process(), {.rest = seconds(3)}, now);
    CHECK(is_choice());
    CHECK(!registry.backoff_wait(wish_for(), now));
    registry.note_signals(second.process(), {.rest = seconds(2)}, now);
    CHECK(!is_choice());
    CHECK(!registry.may_use(first.id, now));
    CHECK(registry.why_no_target(wish_for(), now) ==
          no_target_reason::backing_off);
    CHECK(registry.backoff_wait(wish_for(), now) == duration(seconds(2)));
    now += seconds(2);
    CHECK(is_choice());
    CHECK(!registry.backoff_wait(wish_for(), now));
    CHECK(!registry.may_use(first.id, now));
}

// Guards against a rest that ends with what was under way, a shorter one, or
// the list.
TEST(target_signals, only_its_time_or_a_new_process_ends_a_rest)
{
    const auto only = engine(1, 5);
    list({{only.id, only}});
    const auto made = registry.choose(wish_for(), now, random);
    registry.started(*made, wish_for(), now);
    registry.note_signals(only.process(), {.rest = seconds(3)}, now);
    registry.first_byte(*made, seconds(1), now);
    registry.finished(*made, true, target_evidence::answered, now);
    CHECK(!is_choice());
    registry.note_signals(only.process(), {.rest = seconds(1)}, now);
    registry.note_signals(only.process(), {.is_latest = true}, now);
    list({});
    list({{only.id, only}});
    now += milliseconds(2999);
    CHECK(!is_choice());
    now += milliseconds(1);
    CHECK(is_choice());
    registry.note_signals(only.process(), {.rest = seconds(3)}, now);
    const auto next = engine(1, 6);
    list({{next.id, next}});
    CHECK(is_choice());
}

// Guards against all requests at once to a target whose rest has just ended:
// it looks idle.
TEST(target_signals, one_request_finds_out_whether_a_rest_was_enough)
{
    const auto rested = engine(1, 5);
    const auto busy = engine(2, 5);
    list({{rested.id, rested}, {busy.id, busy}});
    registry.set_peer_load(host_id("peer"), {{busy.id, 20, 0, busy.start}});
    const auto chosen = [&] {
        return registry.choose(wish_for(true), now, random)->target;
    };
    CHECK(chosen() == rested.id);
    registry.note_signals(rested.process(), {.rest = seconds(3)}, now);
    CHECK(chosen() == busy.id);
    now += seconds(3);
    const auto trial = registry.choose(wish_for(true), now, random);
    CHECK(trial->target == rested.id);
    registry.started(*trial, wish_for(true), now);
    CHECK(chosen() == busy.id);
    registry.first_byte(*trial, milliseconds(10), now);
    CHECK(chosen() == rested.id);
}

// Guards against other nodes' requests to a target that leaves, and may end
// with them.
TEST(target_signals, peers_are_told_once_that_a_target_leaves)
{
    const auto first = engine(1, 5);
    const auto second = engine(2, 5);
    const auto third = engine(3, 5);
    const entry_map all = {
        {first.id, first}, {second.id, second}, {third.id, third}};
    list(all);
    target_registry peer{target_registry_options{}};
    peer.sync(all, false, now);
    registry.note_signals(first.process(), {.leaving = true}, now);
    now += seconds(1);
    registry.note_signals(second.process(), {.leaving = true}, now);
    CHECK(registry.own_leaving(1, now) ==
          std::vector<catalog::target_process>{second.process()});
    const auto told = registry.own_leaving(16, now);
    UNSIGNED_LONGS_EQUAL(2, told.size());
    UNSIGNED_LONGS_EQUAL(2, peer.merge_peer_leaving(told, now).size());
    CHECK(peer.merge_peer_leaving(told, now).empty());
    CHECK(peer.own_leaving(16, now).empty());
    CHECK(!peer.may_use(first.id, now));
    CHECK(!peer.may_use(second.id, now));
    CHECK(peer.may_use(third.id, now));
    CHECK(peer.merge_peer_leaving({engine(3, 4).process()}, now).empty());
    CHECK(peer.may_use(third.id, now));
    now += seconds(11);
    registry.note_signals(first.process(), {.leaving = true}, now);
    CHECK(registry.own_leaving(16, now).empty());
}

namespace {

/// One target, and what it may be sent by the words of its processes alone.
class spoken_target
{
public:
    explicit spoken_target(std::uint64_t seed) : random_(seed) { list(); }

    void step()
    {
        now_ += from_seconds(random_.unit());
        static constexpr void (spoken_target::*moves[])() = {
            &spoken_target::list,       &spoken_target::lapse,
            &spoken_target::disappear,  &spoken_target::start_again,
            &spoken_target::say_leaves, &spoken_target::ask_for_rest,
            &spoken_target::late_words, &spoken_target::hear_peer,
            &spoken_target::begin,      &spoken_target::end};
        (this->*moves[random_.below(std::size(moves))])();
        check();
    }

private:
    catalog::target_process process() const
    {
        return engine(1, process_).process();
    }

    void list()
    {
        auto entry = engine(1, process_);
        entry.slots = 1 + static_cast<std::uint32_t>(random_.below(3));
        book_.sync({{entry.id, entry}}, false, now_);
        listed_ = true;
    }

    void lapse()
    {
        book_.sync({}, true, now_);
        listed_ = false;
    }

    void disappear()
    {
        book_.sync({}, false, now_);
        listed_ = false;
    }

    void start_again()
    {
        ++process_;
        leaves_ = false;
        rests_until_ = instant();
        running_.clear();
        list();
    }

    bool is_known() { return book_.entry_of(process().id).has_value(); }

    void say_leaves()
    {
        if (!is_known() || random_.below(3) > 0)
            return;
        book_.note_signals(process(), {.leaving = true, .is_latest = true},
                           now_);
        leaves_ = true;
    }

    void ask_for_rest()
    {
        if (!is_known())
            return;
        const duration rest = from_seconds(random_.unit() * 3);
        book_.note_signals(process(), {.rest = rest}, now_);
        rests_until_ = std::max(rests_until_, now_ + rest);
    }

    void late_words()
    {
        book_.note_signals(engine(1, process_ - 1).process(),
                           {.leaving = true, .rest = seconds(9)}, now_);
        book_.note_signals(process(), {.is_latest = true}, now_);
    }

    void hear_peer()
    {
        book_.merge_peer_leaving({engine(1, process_ - 1).process()}, now_);
        if (is_known() && random_.below(4) == 0) {
            book_.merge_peer_leaving({process()}, now_);
            leaves_ = true;
        }
    }

    void begin()
    {
        const auto made = book_.choose(wish_for(), now_, random_);
        if (!made)
            return;
        book_.started(*made, wish_for(), now_);
        running_.push_back(*made);
    }

    void end()
    {
        static constexpr target_evidence ends[] = {
            target_evidence::answered, target_evidence::failed,
            target_evidence::full, target_evidence::nothing};
        if (running_.empty())
            return;
        const target_evidence how = ends[random_.below(std::size(ends))];
        book_.finished(running_.back(), false, how, now_);
        running_.pop_back();
    }

    void check()
    {
        const bool is_barred = leaves_ || now_ < rests_until_;
        const bool is_chosen =
            book_.choose(wish_for(), now_, random_).has_value();
        if (is_barred) {
            CHECK(!is_chosen);
            CHECK(!book_.may_use(process().id, now_));
        } else if (listed_) {
            CHECK(is_chosen);
        }
    }

    random_source random_;
    target_registry book_{target_registry_options{}};
    instant now_ = start;
    std::uint64_t process_ = 5;
    bool listed_ = false;
    bool leaves_ = false;
    instant rests_until_;
    std::vector<choice> running_;
};

} // namespace

// Guards against any order of lists, restarts, late answers and peers' words
// that takes back what a process said, or ascribes it to another.
TEST(target_signals, hold_in_any_order_of_events)
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        spoken_target it(seed);
        for (int i = 0; i < 150; ++i)
            it.step();
    }
}
