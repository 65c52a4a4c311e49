#include "fennelladder/edge/tuning_options.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

TEST_GROUP(tuning_options)
{
    tuning_options options;
};

TEST(tuning_options, sets_an_option_by_name)
{
    CHECK(set_tuning_option(options, "stock.horizon=1500").has_value());
    CHECK(options.stock.horizon == milliseconds(1500));
    CHECK(set_tuning_option(options, "tokens.lend=0").has_value());
    CHECK(!options.requests_peer_tokens);
    CHECK(set_tuning_option(options, "entry.headroom=2.5").has_value());
    DOUBLES_EQUAL(2.5, options.entry.headroom, 0);
}

TEST(tuning_options, rejects_unknown_names_and_invalid_values)
{
    for (const char* it :
         {"", "stock.horizon", "stock.horizon=", "nothing=1", "tokens.lend=2",
          "stock.horizon=-1", "stock.horizon=12s", "stock.horizon=nan"})
        CHECK(!set_tuning_option(options, it).has_value());
}

TEST(tuning_options, listed_options_can_be_set_again)
{
    for (const std::string& it : list_tuning_options(options))
        CHECK(set_tuning_option(options, it).has_value());
    CHECK(list_tuning_options(options) == list_tuning_options({}));
}
