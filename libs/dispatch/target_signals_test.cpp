// Signals of targets, combined with lists, restarts and late answers in any
// order.

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

routing_request request_for(bool on_engine = false)
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

    bool has_target()
    {
        return registry.choose(request_for(), now, random).has_value();
    }
};

// A target announced that it is leaving; its entry expires while the platform
// is unreachable and is listed again. That must not make the target eligible.
TEST(target_signals, leaving_outlives_the_entry)
{
    const auto only = engine(1, 5);
    list({{only.id, only}});
    CHECK(
        registry.note_signals(only.process(), {.leaving = true}, now).leaving);
    CHECK(
        !registry.note_signals(only.process(), {.leaving = true}, now).leaving);
    CHECK(!has_target());
    CHECK(!registry.may_use(only.id, now));
    for (const bool in_doubt : {true, false}) {
        now += seconds(5);
        list({}, in_doubt);
        CHECK_EQUAL(in_doubt ? 1 : 0, registry.count(only.service));
        list({{only.id, only}});
        CHECK(!has_target());
    }
    const auto next = engine(1, 6);
    list({{next.id, next}});
    CHECK(has_target());
}

// Without start times, a new address shows that another process has the id. It
// must not be excluded by the signals of the previous process.
TEST(target_signals, without_start_times_a_new_address_resets_signals)
{
    auto only = sample_engine(1, 24);
    list({{only.id, only}});
    registry.note_signals(only.process(), {.leaving = true}, now);
    ++only.slots;
    list({{only.id, only}});
    CHECK(!has_target());
    only.address = "10.0.0.9:80";
    list({{only.id, only}});
    CHECK(has_target());
}

// Guards against applying a signal of the previous process to the new one.
TEST(target_signals, late_answer_of_the_previous_process_is_ignored)
{
    const auto only = engine(1, 6);
    list({{only.id, only}});
    CHECK(!registry.note_signals(engine(1, 5).process(), {.leaving = true}, now)
               .any());
    CHECK(has_target());
}

// A target that asked for backoff must not be chosen, even if no other is left.
TEST(target_signals, target_that_asked_for_backoff_is_not_chosen)
{
    const auto first = engine(1, 5);
    const auto second = engine(2, 5);
    const entry_map both = {{first.id, first}, {second.id, second}};
    list(both);
    CHECK(!registry.backoff_wait(request_for(), now));
    registry.note_signals(first.process(), {.backoff = seconds(3)}, now);
    CHECK(has_target());
    CHECK(!registry.backoff_wait(request_for(), now));
    registry.note_signals(second.process(), {.backoff = seconds(2)}, now);
    CHECK(!has_target());
    CHECK(!registry.may_use(first.id, now));
    CHECK(registry.why_no_target(request_for(), now) ==
          no_target_reason::backing_off);
    CHECK(registry.backoff_wait(request_for(), now) == duration(seconds(2)));
    now += seconds(2);
    CHECK(has_target());
    CHECK(!registry.backoff_wait(request_for(), now));
    CHECK(!registry.may_use(first.id, now));
}

// A requested backoff must not be ended by requests in flight, a shorter
// backoff or the list.
TEST(target_signals, only_its_time_or_a_new_process_ends_a_backoff)
{
    const auto only = engine(1, 5);
    list({{only.id, only}});
    const auto made = registry.choose(request_for(), now, random);
    target_use use = registry.started(*made, request_for(), now);
    registry.note_signals(only.process(), {.backoff = seconds(3)}, now);
    registry.first_byte(use, seconds(1), now);
    registry.finished(std::move(use), target_evidence::answered, now);
    CHECK(!has_target());
    registry.note_signals(only.process(), {.backoff = seconds(1)}, now);
    registry.note_signals(only.process(), {.is_latest = true}, now);
    list({});
    list({{only.id, only}});
    now += milliseconds(2999);
    CHECK(!has_target());
    now += milliseconds(1);
    CHECK(has_target());
    registry.note_signals(only.process(), {.backoff = seconds(3)}, now);
    const auto next = engine(1, 6);
    list({{next.id, next}});
    CHECK(has_target());
}

// Guards against a burst of requests to a target whose requested backoff has
// just ended, since it looks idle.
TEST(target_signals, one_request_probes_after_a_backoff)
{
    const auto recovered = engine(1, 5);
    const auto busy = engine(2, 5);
    list({{recovered.id, recovered}, {busy.id, busy}});
    registry.set_peer_load(host_id("peer"), {{busy.id, 20, 0, busy.start}});
    const auto chosen = [&] {
        return registry.choose(request_for(true), now, random)->target;
    };
    CHECK(chosen() == recovered.id);
    registry.note_signals(recovered.process(), {.backoff = seconds(3)}, now);
    CHECK(chosen() == busy.id);
    now += seconds(3);
    const auto probe = registry.choose(request_for(true), now, random);
    CHECK(probe->target == recovered.id);
    target_use use = registry.started(*probe, request_for(true), now);
    CHECK(chosen() == busy.id);
    registry.first_byte(use, milliseconds(10), now);
    CHECK(chosen() == recovered.id);
}

// A leaving target may exit while other nodes' requests run there, so the nodes
// must learn of it from peers.
TEST(target_signals, leaving_is_reported_to_peers_once)
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
    const auto reported = registry.own_leaving(16, now);
    UNSIGNED_LONGS_EQUAL(2, reported.size());
    UNSIGNED_LONGS_EQUAL(2, peer.merge_peer_leaving(reported, now).size());
    CHECK(peer.merge_peer_leaving(reported, now).empty());
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

/// Random events at one target. Checks that its eligibility depends only on the
/// signals of its current process.
class random_target
{
public:
    explicit random_target(std::uint64_t seed) : random_(seed) { list(); }

    void step()
    {
        now_ += from_seconds(random_.unit());
        static constexpr void (random_target::*events[])() = {
            &random_target::list,           &random_target::expire,
            &random_target::disappear,      &random_target::restart,
            &random_target::signal_leaving, &random_target::signal_backoff,
            &random_target::late_answers,   &random_target::report_of_peer,
            &random_target::begin,          &random_target::end};
        (this->*events[random_.below(std::size(events))])();
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
        registry_.sync({{entry.id, entry}}, false, now_);
        listed_ = true;
    }

    void expire()
    {
        registry_.sync({}, true, now_);
        listed_ = false;
    }

    void disappear()
    {
        registry_.sync({}, false, now_);
        listed_ = false;
    }

    void restart()
    {
        ++process_;
        leaving_ = false;
        backoff_until_ = instant();
        running_.clear();
        list();
    }

    bool is_known() { return registry_.entry_of(process().id).has_value(); }

    void signal_leaving()
    {
        if (!is_known() || random_.below(3) > 0)
            return;
        registry_.note_signals(process(), {.leaving = true, .is_latest = true},
                               now_);
        leaving_ = true;
    }

    void signal_backoff()
    {
        if (!is_known())
            return;
        const duration backoff = from_seconds(random_.unit() * 3);
        registry_.note_signals(process(), {.backoff = backoff}, now_);
        backoff_until_ = std::max(backoff_until_, now_ + backoff);
    }

    void late_answers()
    {
        registry_.note_signals(engine(1, process_ - 1).process(),
                               {.leaving = true, .backoff = seconds(9)}, now_);
        registry_.note_signals(process(), {.is_latest = true}, now_);
    }

    void report_of_peer()
    {
        registry_.merge_peer_leaving({engine(1, process_ - 1).process()}, now_);
        if (is_known() && random_.below(4) == 0) {
            registry_.merge_peer_leaving({process()}, now_);
            leaving_ = true;
        }
    }

    void begin()
    {
        const auto made = registry_.choose(request_for(), now_, random_);
        if (!made)
            return;
        running_.push_back(registry_.started(*made, request_for(), now_));
    }

    void end()
    {
        static constexpr target_evidence ends[] = {
            target_evidence::answered, target_evidence::failed,
            target_evidence::full, target_evidence::nothing};
        if (running_.empty())
            return;
        const target_evidence how = ends[random_.below(std::size(ends))];
        registry_.finished(std::move(running_.back()), how, now_);
        running_.pop_back();
    }

    void check()
    {
        const bool is_excluded = leaving_ || now_ < backoff_until_;
        const bool is_chosen =
            registry_.choose(request_for(), now_, random_).has_value();
        if (is_excluded) {
            CHECK(!is_chosen);
            CHECK(!registry_.may_use(process().id, now_));
        } else if (listed_) {
            CHECK(is_chosen);
        }
    }

    random_source random_;
    target_registry registry_{target_registry_options{}};
    instant now_ = start;
    std::uint64_t process_ = 5;
    bool listed_ = false;
    bool leaving_ = false;
    instant backoff_until_;
    std::vector<target_use> running_;
};

} // namespace

// No order of lists, restarts, late answers and reports of peers may revoke a
// signal of a process or apply it to another one.
TEST(target_signals, hold_in_any_order_of_events)
{
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        random_target it(seed);
        for (int i = 0; i < 150; ++i)
            it.step();
    }
}
