#include "fennelladder/base/text.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;

TEST_GROUP(text){};

TEST(text, split_list_splits_at_commas_and_omits_empty_parts)
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
