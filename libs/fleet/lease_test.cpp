#include "fennelladder/fleet/order_issuer.hpp"
#include "fennelladder/platform/fault_object_store.hpp"
#include "fennelladder/platform/memory_object_store.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::fleet;
using namespace fennelladder::platform;

namespace {

/// An engine that takes every order and never changes.
class stubborn_engine final : public engine_orders
{
public:
    std::vector<fencing_number> fences;

    status give(const engine_order& order) override
    {
        fences.push_back(order.fence);
        return {};
    }

    result<engine_state> read_back(const target_id&) override
    {
        return engine_state();
    }
};

/// Two issuers that both want the one group, as when each takes the other
/// for dead; a step of one is a moment in which only it runs.
struct lease_fixture : Utest
{
    manual_clock time{instant(hours(1))};
    memory_object_store inner;
    fault_object_store store{inner, 3, [](duration) {}};
    stubborn_engine engine;
    issuer_options options;
    issuer_input input;
    std::unique_ptr<order_issuer> a;
    std::unique_ptr<order_issuer> b;

    lease_fixture()
    {
        options.groups = 1;
        engine_plan plan;
        plan.target = target_id("e");
        plan.models[{model_id("m"), model_version("v")}] = {};
        input.plans = {plan};
        input.preferred = [](std::size_t) { return true; };
        a = make("a.1");
        b = make("b.1");
    }

    std::unique_ptr<order_issuer> make(const char* name)
    {
        return std::make_unique<order_issuer>(store, engine, time,
                                              incarnation_id(name), options, 7);
    }

    static bool holds(const order_issuer& it)
    {
        return !it.held_groups().empty();
    }

    void step(order_issuer& it, duration after)
    {
        time.advance(after);
        it.step(input);
    }

    /// Steps `it` each second until it holds the lease; returns the seconds.
    int seconds_until_held(order_issuer& it)
    {
        int n = 0;
        for (; n < 300 && !holds(it); ++n)
            step(it, seconds(1));
        return n;
    }

    fencing_number lease_version()
    {
        const auto got = inner.get(object_key(options.prefix + "lease/0"));
        return fencing_number(got->version.value());
    }
};

} // namespace

TEST_GROUP_BASE(lease, lease_fixture){};

// Two nodes order one engine about: it loads and unloads by turns. The holder
// is silent for a moment only, and the other one may not take over before the
// lease has lapsed by its own clock.
TEST(lease, is_not_taken_before_it_lapses)
{
    step(*a, seconds(1));
    CHECK(holds(*a));
    const int waited = seconds_until_held(*b);
    CHECK(waited >= to_seconds(options.lease));
    CHECK(waited < 3 * to_seconds(options.lease));
}

// A holder that slept past its lease wakes up and renews: it must be told that
// it lost, and its successor goes on.
TEST(lease, of_a_sleeper_is_lost_when_it_wakes)
{
    step(*a, seconds(1));
    seconds_until_held(*b);
    const fencing_number of_b = lease_version();
    step(*a, seconds(1));
    CHECK(!holds(*a));
    CHECK(holds(*b));
    CHECK(lease_version() == of_b);
}

// The reply to the write that takes the lease is lost: reading it back shows
// that it took effect, and the engines needn't wait.
TEST(lease, whose_reply_was_lost_is_held)
{
    store.set({.lost_reply = 1});
    step(*a, seconds(1));
    CHECK(holds(*a));
    // Not so when the request itself was lost.
    store.set({.lost_request = 1});
    step(*b, options.lease * 4);
    step(*b, options.lease * 4);
    CHECK(!holds(*b));
}

// An engine refuses orders with a number below the highest it has seen, so
// each order must carry the lease's version, and a successor's is higher.
TEST(lease, fences_orders_with_its_version)
{
    step(*a, seconds(1));
    const fencing_number of_a = lease_version();
    for (int n = 0; n < 5; ++n)
        step(*a, seconds(1));
    CHECK(!engine.fences.empty());
    for (const fencing_number it : engine.fences)
        CHECK(it == of_a);
    engine.fences.clear();
    seconds_until_held(*b);
    const fencing_number of_b = lease_version();
    for (int n = 0; n < 9; ++n)
        step(*b, seconds(1));
    CHECK(of_b > of_a);
    CHECK(!engine.fences.empty());
    for (const fencing_number it : engine.fences)
        CHECK(it == of_b);
}
