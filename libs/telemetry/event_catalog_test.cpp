#include "fennelladder/telemetry/event_catalog.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

using namespace fennelladder::telemetry;

namespace {

// Parses rows of the form "| 1000 | error | setting_invalid | ... |".
std::map<int, std::string> documented_events()
{
    std::ifstream in("docs/EVENTS.md");
    std::map<int, std::string> events;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream row(line);
        std::string bar;
        int number = 0;
        std::string level;
        std::string name;
        if (row >> bar >> number >> bar >> level >> bar >> name)
            events[number] = name;
    }
    return events;
}

} // namespace

TEST_GROUP(event_catalog){};

// Operators look up the numbers of log lines in docs/EVENTS.md. Compares both
// ways: an event may neither lack its row, nor a row its event.
TEST(event_catalog, documentation_and_catalog_list_the_same_events)
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

TEST(event_catalog, is_sorted_and_searchable)
{
    int last = 0;
    for (const event_description& it : event_catalog()) {
        CHECK(it.number > last);
        last = it.number;
        CHECK(find_event(it.number) == &it);
    }
    POINTERS_EQUAL(nullptr, find_event(1));
}
