#include "fennelladder/history/event.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::history;

namespace {

struct case_of_line
{
    const char* line;
    const char* fault; ///< Nullptr: the line reads back as it is.
};

} // namespace

TEST_GROUP(event){};

// Every kind of event in its documented spelling reads and writes back to the
// same bytes: this is the part of the format that others rely on.
TEST(event, every_kind_keeps_its_spelling)
{
    const std::vector<const char*> lines{
        R"({"t":1,"node":"n","event":"prepaid","budget":"b","tokens":9,"topup":"p"})",
        R"({"t":1,"node":"n","event":"sent","request":"r","team":"t","budget":"b","key":"t/k","kind":"inspector","idempotent":false,"caller":"c"})",
        R"({"t":1,"node":"n","event":"dispatched","request":"r","key":"t/k","target":"g","attempt":2})",
        R"({"t":1,"node":"g","event":"executed","key":"t/k","target":"g","attempt":2})",
        R"({"t":1,"node":"n","event":"chunk","request":"r","caller":"c","offset":3,"bytes":4,"digest":"run:00"})",
        R"({"t":1,"node":"n","event":"answered","request":"r","caller":"c","length":7,"digest":"run:00"})",
        R"({"t":1,"node":"n","event":"not_run","request":"r \" \\ \u0001 é"})",
        R"({"t":1,"node":"n","event":"unknown","request":"r"})",
        R"({"t":1,"node":"n","event":"billed","key":"t/k","budget":"b","tokens":0,"bill":"x"})",
        R"({"t":1,"node":"n","event":"refused","request":"r","budget":"b"})",
        R"({"t":1,"node":"n","event":"target_leaving","target":"g"})",
        R"({"t":1,"node":"n","event":"config_accepted","generation":3,"hash":"h"})",
        R"({"t":1,"node":"n","event":"config_in_force","generation":3,"hash":"h"})",
        R"({"t":1,"node":"n","event":"shutdown_begin"})",
        R"({"t":1,"node":"n","event":"shutdown_end"})",
        R"({"t":1764700000000000000,"node":"n","event":"died"})"};
    CHECK_EQUAL(std::variant_size_v<event_body>, lines.size());
    for (std::size_t n = 0; n < lines.size(); ++n) {
        const auto read = parse_event(lines[n]);
        CHECK_TEXT(read.has_value(), lines[n]);
        CHECK_EQUAL(n, read->body.index());
        STRCMP_EQUAL(lines[n], to_json_line(*read).c_str());
    }
}

TEST(event, faults_of_a_line_are_all_named)
{
    const std::vector<case_of_line> cases{
        {"", "not JSON at byte 1"},
        {R"({"t":1,"node":"n","event":"di)", "not JSON at byte 30"},
        {"[]", "'t' is missing; 'node' is missing; 'event' is missing"},
        {"7", "not a JSON object"},
        {R"({"t":1,"node":"n","event":"gone"})", "'gone' is no event"},
        {R"({"t":-1,"node":"","event":7})",
         "'t' is negative; 'node' is empty; 'event' is not text"},
        {R"({"t":1.5,"node":"n","event":"died"})", "'t' is not a whole number"},
        {R"({"t":1,"t":2,"node":"n","event":"died"})", "'t' is given twice"},
        {R"({"t":99999999999999999999,"node":"n","event":"died"})",
         "'t' is not a whole number"},
        {R"({"t":9999999999999999999,"node":"n","event":"died"})",
         "'t' is too large"},
        {R"({"t":1,"node":"n","event":"not_run"})", "'request' is missing"},
        {R"({"t":1,"node":"n","event":"billed","key":"k","budget":null,"tokens":-3,"bill":true})",
         "'budget' is not text; 'tokens' is negative; 'bill' is not text"},
        {R"({"t":1,"node":"n","event":"sent","request":"r","team":"t","budget":"b","key":"k","kind":"i","idempotent":1,"caller":"c"})",
         "'idempotent' is not true or false"}};
    for (const case_of_line& it : cases) {
        const auto read = parse_event(it.line);
        CHECK_TEXT(!read, it.line);
        STRCMP_EQUAL(it.fault, read.error().message.c_str());
    }
}

TEST(event, unknown_fields_are_passed_over)
{
    CHECK(parse_event(R"({"t":1,"x":[1,{"t":2}],"node":"n","event":"died"})")
              .has_value());
}

TEST(event, running_digest_depends_on_bytes_not_on_cuts)
{
    const std::string text(700, 'x');
    answer_digest whole;
    whole.add(text);
    for (std::size_t cut = 0; cut <= text.size(); cut += 50) {
        answer_digest pieces;
        pieces.add(text.substr(0, cut));
        pieces.add(text.substr(cut));
        STRCMP_EQUAL(whole.text().c_str(), pieces.text().c_str());
        CHECK_EQUAL(text.size(), pieces.size());
    }
    answer_digest other;
    other.add(text.substr(1) + "y");
    CHECK(other.text() != whole.text());
}
