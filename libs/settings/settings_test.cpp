#include "fennelladder/settings/settings.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using fennelladder::settings::environment;
using fennelladder::settings::parse_outcome;
using fennelladder::settings::settings;
using fennelladder::settings::variable_of;

namespace {

settings sample()
{
    settings wanted("sample", "For tests.");
    wanted.text("listen", "127.0.0.1:1", "address");
    wanted.number({.name = "workers",
                   .fallback = 8,
                   .low = 1,
                   .high = 64,
                   .unit = "threads",
                   .help = "pool size"});
    wanted.choice("format", {"text", "json"}, "output");
    wanted.flag("quiet", "say less");
    wanted.positional("FILE", 0, 1, "a file");
    return wanted;
}

parse_outcome parse(settings& wanted, std::vector<const char*> args,
                    std::map<std::string, std::string> variables = {})
{
    args.insert(args.begin(), "sample");
    return wanted.parse(
        static_cast<int>(args.size()), args.data(), [&](const char* name) {
            const auto it = variables.find(name);
            return it == variables.end() ? nullptr : it->second.c_str();
        });
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, flag_wins_over_variable_and_variable_over_default)
{
    settings wanted = sample();
    const auto outcome =
        parse(wanted, {"--workers", "9", "--quiet", "file.json"},
              {{"FENNELLADDER_WORKERS", "7"}, {"FENNELLADDER_FORMAT", "json"}});
    CHECK_FALSE(outcome.stop);
    LONGS_EQUAL(9, wanted.number_of("workers"));
    STRCMP_EQUAL("json", wanted.text_of("format").c_str());
    STRCMP_EQUAL("127.0.0.1:1", wanted.text_of("listen").c_str());
    CHECK(wanted.flag_of("quiet"));
    CHECK_FALSE(wanted.given("listen"));
    STRCMP_EQUAL("file.json", wanted.positionals().at(0).c_str());
}

// An operator starts a node with several bad settings: all of them are named
// at once, each with the flag or variable that it came from.
TEST(settings, all_bad_settings_are_reported_together)
{
    settings wanted = sample();
    const auto outcome =
        parse(wanted, {"--workers", "65", "--nonsense", "a", "b"},
              {{"FENNELLADDER_FORMAT", "xml"}, {"FENNELLADDER_QUIET", "2"}});
    CHECK(outcome.stop);
    LONGS_EQUAL(2, outcome.exit_code);
    const std::string text = outcome.found.to_text();
    for (const char* place : {"--workers", "--nonsense", "FENNELLADDER_FORMAT",
                              "FENNELLADDER_QUIET", "b"})
        CHECK(text.find(place) != std::string::npos);
}

TEST(settings, numbers_are_whole_and_within_bounds)
{
    struct
    {
        const char* text;
        bool good;
    } const cases[] = {{"1", true},    {"64", true},
                       {"0", false},   {"65", false},
                       {"", false},    {"1x", false},
                       {"1.5", false}, {"99999999999999999999", false}};
    for (const auto& it : cases) {
        settings wanted = sample();
        CHECK_EQUAL(it.good, !parse(wanted, {"--workers", it.text}).stop);
    }
}

TEST(settings, variable_is_named_after_the_flag)
{
    STRCMP_EQUAL("FENNELLADDER_CALL_TIMEOUT",
                 variable_of("call-timeout").c_str());
}
