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
    settings options("sample", "For tests.");
    options.text("listen", "127.0.0.1:1", "address");
    options.number({.name = "workers",
                    .fallback = 8,
                    .low = 1,
                    .high = 64,
                    .unit = "threads",
                    .help = "pool size"});
    options.choice("format", {"text", "json"}, "output");
    options.flag("quiet", "say less");
    options.positional("FILE", 0, 1, "a file");
    return options;
}

parse_outcome parse(settings& options, std::vector<const char*> args,
                    std::map<std::string, std::string> variables = {})
{
    args.insert(args.begin(), "sample");
    return options.parse(
        static_cast<int>(args.size()), args.data(), [&](const char* name) {
            const auto it = variables.find(name);
            return it == variables.end() ? nullptr : it->second.c_str();
        });
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, flag_overrides_variable_and_variable_overrides_default)
{
    settings options = sample();
    const auto outcome =
        parse(options, {"--workers", "9", "--quiet", "file.json"},
              {{"FENNELLADDER_WORKERS", "7"}, {"FENNELLADDER_FORMAT", "json"}});
    CHECK_FALSE(outcome.stop);
    LONGS_EQUAL(9, options.number_of("workers"));
    STRCMP_EQUAL("json", options.text_of("format").c_str());
    STRCMP_EQUAL("127.0.0.1:1", options.text_of("listen").c_str());
    CHECK(options.flag_of("quiet"));
    CHECK_FALSE(options.given("listen"));
    STRCMP_EQUAL("file.json", options.positionals().at(0).c_str());
}

// A node started with several invalid settings reports all of them at once,
// each with the flag or variable that set it.
TEST(settings, all_invalid_settings_are_reported_together)
{
    settings options = sample();
    const auto outcome =
        parse(options, {"--workers", "65", "--nonsense", "a", "b"},
              {{"FENNELLADDER_FORMAT", "xml"}, {"FENNELLADDER_QUIET", "2"}});
    CHECK(outcome.stop);
    LONGS_EQUAL(2, outcome.exit_code);
    const std::string text = outcome.found.to_text();
    for (const char* place : {"--workers", "--nonsense", "FENNELLADDER_FORMAT",
                              "FENNELLADDER_QUIET", "b"})
        CHECK(text.find(place) != std::string::npos);
}

TEST(settings, numbers_are_integers_within_bounds)
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
        settings options = sample();
        CHECK_EQUAL(it.good, !parse(options, {"--workers", it.text}).stop);
    }
}

TEST(settings, variable_is_named_after_the_flag)
{
    STRCMP_EQUAL("FENNELLADDER_CALL_TIMEOUT",
                 variable_of("call-timeout").c_str());
}
