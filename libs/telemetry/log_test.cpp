#include "fennelladder/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
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

// A line whose text isn't that of a JSON library can't be read by others.
TEST(log, a_json_line_is_what_a_json_library_writes)
{
    const auto& what = *find_event(event::request_answered);
    std::vector<log_field> fields{{"empty", ""}, {"level", "own"}};
    const std::vector<std::string> names = [] {
        std::vector<std::string> out;
        for (int i = 0; i < 256; ++i)
            out.push_back("byte_" + std::to_string(i));
        return out;
    }();
    for (int i = 0; i < 256; ++i)
        fields.push_back({names[std::size_t(i)],
                          "a" + std::string(1, static_cast<char>(i)) + "b"});
    fields.push_back({"whole", "\xe0\xb8\x81 \xf0\x9f\x9a\xb2"});
    fields.push_back({"cut", "\xe0\xb8"});
    nlohmann::ordered_json expected;
    expected["event"] = what.number;
    expected["name"] = what.name;
    expected["level"] = "info";
    for (const log_field& it : fields)
        expected[std::string(it.name)] = it.value;
    const std::string text =
        expected.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    STRCMP_EQUAL(text.c_str(), format_event(what, fields, true).c_str());
}
