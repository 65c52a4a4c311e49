#include "fennelladder/telemetry/event_catalog.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

using namespace fennelladder::telemetry;

namespace {

// Rows of the form "| 1000 | error | setting_invalid | ... |".
std::map<int, std::string> documented_events()
{
    std::ifstream in("docs/EVENTS.md");
    std::map<int, std::string> found;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream row(line);
        std::string bar;
        int number = 0;
        std::string level;
        std::string name;
        if (row >> bar >> number >> bar >> level >> bar >> name)
            found[number] = name;
    }
    return found;
}

} // namespace

TEST_GROUP(event_catalog){};

// An operator who looks up a number from a log must find it in the page, and
// every number of the page must exist: the page is compared both ways.
TEST(event_catalog, page_and_table_name_the_same_events)
{
    auto documented = documented_events();
    for (const event_description& it : event_catalog()) {
        STRCMP_EQUAL(std::string(it.name).c_str(),
                     documented[it.number].c_str());
        documented.erase(it.number);
    }
    for (const auto& [number, name] : documented)
        FAIL(("only in docs/EVENTS.md: " + name).c_str());
}

TEST(event_catalog, is_sorted_and_findable)
{
    int last = 0;
    for (const event_description& it : event_catalog()) {
        CHECK(it.number > last);
        last = it.number;
        CHECK(find_event(it.number) == &it);
    }
    POINTERS_EQUAL(nullptr, find_event(1));
}
