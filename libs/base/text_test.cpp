#include "fennelladder/base/text.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;

TEST_GROUP(text){};

TEST(text, a_list_is_split_at_commas_and_empty_parts_are_left_out)
{
    struct
    {
        const char* text;
        std::vector<std::string> parts;
    } const cases[] = {{"", {}},
                       {",", {}},
                       {"a", {"a"}},
                       {"a,b", {"a", "b"}},
                       {",a,,b,", {"a", "b"}}};
    for (const auto& it : cases)
        CHECK(split_list(it.text) == it.parts);
}
