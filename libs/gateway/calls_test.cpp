#include "fennelladder/gateway/calls.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace fennelladder;
using namespace fennelladder::gateway;

namespace {

using headers = std::map<std::string, std::string>;

const headers good_head{{"Fennelladder-Team", "t"},
                        {"Fennelladder-Budget", "b"},
                        {"Fennelladder-Caller-Kind", "mechanic"}};

header_reader reader(const headers& all)
{
    return [all](const char* name) {
        const auto it = all.find(name);
        return it == all.end() ? std::string_view()
                               : std::string_view(it->second);
    };
}

headers with(std::string name, std::string value)
{
    headers all = good_head;
    all[std::move(name)] = std::move(value);
    return all;
}

} // namespace

TEST_GROUP(calls){};

// A caller's client is broken: it gets every fault named at once, and since
// nothing was read from it no request exists, so nothing runs or is charged.
TEST(calls, faults_of_a_completion_are_named)
{
    const std::string good = R"({"model":"m","prompt":"p"})";
    struct
    {
        headers head;
        std::string body;
        const char* fault; // empty: it is good
    } const cases[] = {
        {good_head, good, ""},
        {good_head, R"({"model":"m","prompt":"","max_tokens":1000000})", ""},
        {good_head, R"({"model":"m","prompt":"p","temperature":1})", ""},
        {{}, good, "header Fennelladder-Team: is missing"},
        {with("Fennelladder-Team", "a b"), good, "has blanks"},
        {with("Idempotency-Key", std::string(201, 'k')), good, "longer than"},
        {with("Fennelladder-Deadline-Ms", "0"), good, "milliseconds"},
        {with("Fennelladder-Deadline-Ms", "5s"), good, "milliseconds"},
        {good_head, "", "body: is not a JSON object"},
        {good_head, "[1]", "is not a JSON object"},
        {good_head, R"({"model":"m")", "is not a JSON object"},
        {good_head, R"({"prompt":"p"})", "body /model: is missing"},
        {good_head, R"({"model":7,"prompt":"p"})", "/model: is not a string"},
        {good_head, R"({"model":"m","prompt":"p","max_tokens":0})",
         "/max_tokens"},
        {good_head, R"({"model":"m","prompt":"p","max_tokens":1.5})",
         "/max_tokens"},
        {good_head, R"({"model":"m","prompt":"p","stream":1})", "/stream"},
    };
    for (const auto& it : cases) {
        findings found;
        const auto call = read_completion(reader(it.head), it.body, found);
        CHECK_EQUAL(*it.fault == '\0', call.has_value());
        CHECK_EQUAL(call.has_value(), found.empty());
        STRCMP_CONTAINS(it.fault, found.to_text().c_str());
    }
}

TEST(calls, a_completion_is_read_whole)
{
    headers head = with("Idempotency-Key", "k1");
    head["Fennelladder-Origin"] = "o.1";
    head["Fennelladder-Deadline-Ms"] = "250";
    findings found;
    const auto call = read_completion(
        reader(head),
        R"({"model":"m","version":"2","adapter":"a","prompt":"hello",)"
        R"("max_tokens":9,"stream":true})",
        found);
    CHECK(call.has_value());
    CHECK(call->head.key == request_key("k1"));
    CHECK(call->head.origin == incarnation_id("o.1"));
    CHECK(call->head.deadline == milliseconds(250));
    CHECK(call->version == model_version("2"));
    CHECK(call->adapter == adapter_id("a"));
    LONGS_EQUAL(9, call->max_output);
    CHECK(call->stream);
}

TEST(calls, service_paths)
{
    struct
    {
        const char* path;
        bool good;
    } const cases[] = {{"/v1/services/desk/ticket", true},
                       {"/v1/services/desk/", false},
                       {"/v1/services//ticket", false},
                       {"/v1/services/desk", false},
                       {"/v1/services/desk/a/b", false}};
    for (const auto& it : cases) {
        findings found;
        const auto call =
            read_service_call(reader(good_head), it.path, "{}", found);
        CHECK_EQUAL(it.good, call.has_value());
    }
}
