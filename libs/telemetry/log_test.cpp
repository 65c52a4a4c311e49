#include "fennelladder/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace fennelladder::telemetry;

TEST_GROUP(log){};

TEST(log, special_characters_are_quoted_or_escaped)
{
    struct
    {
        const char* value;
        const char* text;
        const char* json;
    } const cases[] = {
        {"plain", "k=plain", R"("k":"plain")"},
        {"", R"(k="")", R"("k":"")"},
        {"two words", R"(k="two words")", R"("k":"two words")"},
        {"a\nb", R"(k="a\nb")", R"("k":"a\nb")"},
        {"say \"hi\"", R"(k="say \"hi\"")", R"("k":"say \"hi\"")"},
        {"\xff", "k=\xff", "\"k\":\"\xef\xbf\xbd\""},
    };
    const auto& what = *find_event(event::node_started);
    for (const auto& it : cases) {
        const std::vector<log_field> fields{{"k", it.value}};
        const std::string text = format_event(what, fields, false);
        const std::string json = format_event(what, fields, true);
        STRCMP_EQUAL(
            (std::string("event=1001 name=node_started level=info ") + it.text)
                .c_str(),
            text.c_str());
        CHECK(json.find(it.json) != std::string::npos);
    }
}
