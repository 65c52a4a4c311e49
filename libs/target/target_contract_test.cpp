// One contract, held to by every implementation of target_client: the fake in
// memory, and the HTTP client in front of the stand-in engine and service.

#include "fennelladder/http/client.hpp"
#include "fennelladder/standin/answer.hpp"
#include "fennelladder/standin/engine_server.hpp"
#include "fennelladder/standin/service_server.hpp"
#include "fennelladder/target/fake_target.hpp"
#include "fennelladder/target/http_target_client.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace fennelladder;
using namespace fennelladder::target;

namespace {

const model_id model("guide");
const model_version v1("1");

// An engine and a service of one kind, with the faults they share.
struct subject
{
    virtual ~subject() = default;
    virtual target_client& engine() = 0;
    virtual target_client& service() = 0;
    virtual void reject_all() = 0;
    virtual void break_after(std::uint32_t tokens) = 0;
    virtual void lose_replies() = 0;
    virtual void die() = 0;
    virtual std::size_t service_runs(const request_key& key) = 0;
};

std::vector<std::string> answer_tokens(const completion& ask)
{
    const standin::answer whole(ask.key, ask.prompt, ask.max_tokens);
    std::vector<std::string> out;
    for (std::uint32_t n = 0; n < whole.length(); ++n)
        out.push_back(whole.text(n, n + 1));
    return out;
}

std::string answer_call(const service_call& ask)
{
    return standin::service_answer(ask.key, ask.name, ask.body);
}

struct fake_subject : subject
{
    target_client& engine() override { return one; }
    target_client& service() override { return two; }

    void reject_all() override
    {
        one.set_faults({.reject = true});
        two.set_faults({.reject = true});
    }

    void break_after(std::uint32_t tokens) override
    {
        fake_target_faults faults;
        faults.interrupt_after = tokens;
        one.set_faults(faults);
    }

    void lose_replies() override { two.set_faults({.lose_replies = true}); }

    void die() override
    {
        one.set_faults({.dead = true});
        two.set_faults({.dead = true});
    }

    std::size_t service_runs(const request_key& key) override
    {
        return two.executions_of(key);
    }

    fake_target_options options()
    {
        return {answer_tokens, answer_call, {{model, v1, {}, true}}, true};
    }

    fake_target one{options()};
    fake_target two{options()};
};

struct http_subject : subject
{
    target_client& engine() override { return engine_client; }
    target_client& service() override { return service_client; }

    void reject_all() override
    {
        one.set_faults({.reject = true});
        two.set_faults({.reject = true});
    }

    void break_after(std::uint32_t tokens) override
    {
        one.set_faults({.cut_after_tokens = tokens});
    }

    void lose_replies() override { two.set_faults({.lose_replies = true}); }

    void die() override
    {
        one.crash();
        two.crash();
    }

    std::size_t service_runs(const request_key& key) override
    {
        return two.executions_of(key);
    }

    static standin::engine_server_options engine_options()
    {
        standin::engine_server_options options;
        options.models = {{"guide", "1", ""}};
        options.engine.step = microseconds(100);
        options.load_time = duration(0);
        return options;
    }

    standin::engine_server one{engine_options()};
    standin::service_server two{{}};
    http::client connections;
    http_target_client engine_client{connections, {.url = one.url()}};
    http_target_client service_client{connections, {.url = two.url()}};
};

template <class T>
std::unique_ptr<subject> make()
{
    return std::make_unique<T>();
}

struct implementation
{
    const char* name;
    std::unique_ptr<subject> (*make)();
};

constexpr implementation implementations[] = {
    {"fake", make<fake_subject>},
    {"http", make<http_subject>},
};

completion make_completion(std::uint32_t max_tokens)
{
    completion ask;
    ask.id = request_id("r-1");
    ask.key = request_key("donated frame #7 \xc3\xa9");
    ask.model = model;
    ask.prompt = "How do I true a wheel?";
    ask.max_tokens = max_tokens;
    return ask;
}

std::string expected_answer(const completion& ask)
{
    return standin::answer_text(ask.key, ask.prompt, ask.max_tokens);
}

service_call make_call()
{
    service_call ask;
    ask.id = request_id("r-2");
    ask.key = request_key("ticket 12");
    ask.name = "ticket";
    ask.body = R"({"bike":"blue"})";
    return ask;
}

completion_end collect(target_client& engine, const completion& ask,
                       std::string& text)
{
    return engine.complete(ask, [&](const chunk& it) {
        text += it.text;
        return true;
    });
}

} // namespace

TEST_GROUP(target_contract){template <class F> static void each(F clause){
    for (const implementation& it
         : implementations){const auto made = it.make();
clause(*made, it.name);
}
}
}
;

TEST(target_contract, whole_answer_comes_in_order)
{
    each([](subject& it, const char* name) {
        for (const std::uint32_t limit : {0U, 1U, 40U}) {
            const completion ask = make_completion(limit);
            std::string text;
            const auto end = collect(it.engine(), ask, text);
            CHECK_TEXT(end.outcome == dispatch_outcome::ran, name);
            CHECK_TEXT(text == expected_answer(ask), name);
            LONGS_EQUAL_TEXT(text.size() / 4, end.next_offset, name);
            LONGS_EQUAL_TEXT(standin::count_tokens(ask.prompt),
                             end.prompt_tokens, name);
            CHECK_TEXT(end.finish_reason == "length" ||
                           end.finish_reason == "stop",
                       name);
        }
    });
}

// An inspector's draft breaks off in the middle. The next attempt goes on
// where it stopped, and the two parts make the whole answer, once.
TEST(target_contract, interrupted_answer_goes_on_at_its_offset)
{
    each([](subject& it, const char* name) {
        completion ask = make_completion(40);
        it.break_after(5);
        std::string text;
        auto end = collect(it.engine(), ask, text);
        CHECK_TEXT(end.outcome == dispatch_outcome::interrupted, name);
        LONGS_EQUAL_TEXT(5, end.next_offset, name);
        it.break_after(1'000);
        ask.resume_offset = end.next_offset;
        end = collect(it.engine(), ask, text);
        CHECK_TEXT(end.outcome == dispatch_outcome::ran, name);
        CHECK_TEXT(text == expected_answer(ask), name);
        ask.resume_offset = 1'000;
        end = collect(it.engine(), ask, text);
        CHECK_TEXT(end.outcome == dispatch_outcome::rejected_before_run, name);
    });
}

TEST(target_contract, receiver_and_cancel_check_end_an_attempt)
{
    each([](subject& it, const char* name) {
        const auto ask = make_completion(40);
        std::uint32_t seen = 0;
        auto end = it.engine().complete(ask, [&](const chunk& piece) {
            seen += piece.tokens;
            return false;
        });
        CHECK_TEXT(end.canceled, name);
        CHECK_TEXT(end.outcome == dispatch_outcome::interrupted, name);
        CHECK_TEXT(seen > 0, name);
        LONGS_EQUAL_TEXT(seen, end.next_offset, name);
        end = it.engine().complete(
            ask, [](const chunk&) { return true; }, [] { return true; });
        CHECK_TEXT(end.canceled, name);
    });
}

// "Not run" is said only on proof: the target says so itself, or no byte left.
TEST(target_contract, tells_proof_of_not_run_from_doubt)
{
    each([](subject& it, const char* name) {
        completion unknown = make_completion(4);
        unknown.model = model_id("no-such-model");
        std::string text;
        const auto rejected = dispatch_outcome::rejected_before_run;
        CHECK_TEXT(collect(it.engine(), unknown, text).outcome == rejected,
                   name);
        it.lose_replies();
        const service_call lost = make_call();
        CHECK_TEXT(it.service().call(lost).outcome ==
                       dispatch_outcome::interrupted,
                   name);
        LONGS_EQUAL_TEXT(1, it.service_runs(lost.key), name);
        it.reject_all();
        const auto ask = make_completion(4);
        CHECK_TEXT(collect(it.engine(), ask, text).outcome == rejected, name);
        CHECK_TEXT(it.service().call(lost).outcome == rejected, name);
        it.die();
        const auto never = dispatch_outcome::never_dispatched;
        CHECK_TEXT(collect(it.engine(), ask, text).outcome == never, name);
        CHECK_TEXT(it.service().call(lost).outcome == never, name);
        CHECK_TEXT(!it.engine().probe(), name);
        LONGS_EQUAL_TEXT(1, it.service_runs(lost.key), name);
        CHECK_TEXT(text.empty(), name);
    });
}

TEST(target_contract, service_answers_its_own_call)
{
    each([](subject& it, const char* name) {
        for (const bool repeatable : {false, true}) {
            service_call ask = make_call();
            ask.repeatable = repeatable;
            const auto end = it.service().call(ask);
            CHECK_TEXT(end.outcome == dispatch_outcome::ran, name);
            LONGS_EQUAL_TEXT(200, end.status, name);
            CHECK_TEXT(end.body == answer_call(ask), name);
        }
        LONGS_EQUAL_TEXT(2, it.service_runs(make_call().key), name);
    });
}

// A stale issuer wakes up and gives an order that was overtaken long ago. A
// target that checks fencing numbers refuses it and keeps what it runs.
TEST(target_contract, old_fencing_number_is_refused)
{
    each([](subject& it, const char* name) {
        order load{order_kind::load_model, model, model_version("2"), {}, {},
                   fencing_number(7)};
        CHECK_TEXT(it.engine().give(load).has_value(), name);
        order stale = load;
        stale.kind = order_kind::unload_model;
        stale.fencing = fencing_number(6);
        const auto refused = it.engine().give(stale);
        CHECK_TEXT(!refused && refused.error().code == error_code::refused,
                   name);
        const auto state = it.engine().read_back();
        CHECK_TEXT(state && state->models.size() == 2, name);
        CHECK_TEXT(state->models[1].version == load.version, name);
        CHECK_TEXT(state->models[1].ready, name);
        CHECK_TEXT(state->highest_fencing == load.fencing, name);
        CHECK_TEXT(it.engine().load().has_value(), name);
        CHECK_TEXT(it.engine().cache_events(0).has_value(), name);
        CHECK_TEXT(it.engine().probe().has_value(), name);
    });
}
