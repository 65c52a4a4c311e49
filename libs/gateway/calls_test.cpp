#include "fennelladder/gateway/calls.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace fennelladder;
using namespace fennelladder::gateway;

namespace {

using headers = std::map<std::string, std::string>;

const headers valid_headers{{"Fennelladder-Team", "t"},
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
    headers all = valid_headers;
    all[std::move(name)] = std::move(value);
    return all;
}

} // namespace

TEST_GROUP(calls){};

// A malformed completion is rejected with all its errors at once.
// Since no call is returned, nothing runs and nothing is charged.
TEST(calls, errors_of_a_completion_are_reported)
{
    const std::string valid_body = R"({"model":"m","prompt":"p"})";
    struct
    {
        headers head;
        std::string body;
        const char* error; // empty: the call is valid
    } const cases[] = {
        {valid_headers, valid_body, ""},
        {valid_headers, R"({"model":"m","prompt":"","max_tokens":1000000})",
         ""},
        {valid_headers, R"({"model":"m","prompt":"p","temperature":1})", ""},
        {{}, valid_body, "header Fennelladder-Team: is missing"},
        {with("Fennelladder-Team", "a b"), valid_body, "has blanks"},
        {with("Idempotency-Key", std::string(201, 'k')), valid_body,
         "longer than"},
        {with("Fennelladder-Deadline-Ms", "0"), valid_body, "milliseconds"},
        {with("Fennelladder-Deadline-Ms", "5s"), valid_body, "milliseconds"},
        {valid_headers, "", "body: is not a JSON object"},
        {valid_headers, "[1]", "is not a JSON object"},
        {valid_headers, R"({"model":"m")", "is not a JSON object"},
        {valid_headers, R"({"prompt":"p"})", "body /model: is missing"},
        {valid_headers, R"({"model":7,"prompt":"p"})",
         "/model: is not a string"},
        {valid_headers, R"({"model":"m","prompt":"p","max_tokens":0})",
         "/max_tokens"},
        {valid_headers, R"({"model":"m","prompt":"p","max_tokens":1.5})",
         "/max_tokens"},
        {valid_headers, R"({"model":"m","prompt":"p","stream":1})", "/stream"},
    };
    for (const auto& it : cases) {
        findings found;
        const auto call = read_completion(reader(it.head), it.body, found);
        CHECK_EQUAL(*it.error == '\0', call.has_value());
        CHECK_EQUAL(call.has_value(), found.empty());
        STRCMP_CONTAINS(it.error, found.to_text().c_str());
    }
}

TEST(calls, all_fields_of_a_completion_are_read)
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

TEST(calls, only_well_formed_service_paths_are_accepted)
{
    struct
    {
        const char* path;
        bool valid;
    } const cases[] = {{"/v1/services/desk/ticket", true},
                       {"/v1/services/desk/", false},
                       {"/v1/services//ticket", false},
                       {"/v1/services/desk", false},
                       {"/v1/services/desk/a/b", false}};
    for (const auto& it : cases) {
        findings found;
        const auto call =
            read_service_call(reader(valid_headers), it.path, "{}", found);
        CHECK_EQUAL(it.valid, call.has_value());
    }
}
