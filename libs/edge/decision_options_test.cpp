#include "fennelladder/edge/decision_options.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::edge;

TEST_GROUP(decision_options)
{
    decision_options options;
};

TEST(decision_options, a_decision_is_set_by_its_name)
{
    CHECK(set_decision(options, "stock.horizon=1500").has_value());
    CHECK(options.stock.horizon == milliseconds(1500));
    CHECK(set_decision(options, "tokens.lend=0").has_value());
    CHECK(!options.lends_tokens);
    CHECK(set_decision(options, "entry.headroom=2.5").has_value());
    DOUBLES_EQUAL(2.5, options.entry.headroom, 0);
}

TEST(decision_options, what_can_not_be_set_is_said)
{
    for (const char* it :
         {"", "stock.horizon", "stock.horizon=", "nothing=1", "tokens.lend=2",
          "stock.horizon=-1", "stock.horizon=12s", "stock.horizon=nan"})
        CHECK(!set_decision(options, it).has_value());
}

TEST(decision_options, the_list_can_be_given_back)
{
    for (const std::string& it : list_decisions(options))
        CHECK(set_decision(options, it).has_value());
    CHECK(list_decisions(options) == list_decisions({}));
}
