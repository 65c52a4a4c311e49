#include "fennelladder/catalog/configuration.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::catalog;

namespace {

route way(const char* id, const char* host, const char* prefix)
{
    route out;
    out.id = route_id(id);
    out.host_name = host;
    out.path_prefix = prefix;
    return out;
}

configuration sample()
{
    configuration_parts parts;
    parts.routes = {way("all", "Shop.example", "/"),
                    way("a", "shop.example", "/a/"),
                    way("ab", "shop.example", "/a/b/"),
                    way("other", "desk.example", "/a/b/c/")};
    team payer;
    payer.id = team_id("t");
    payer.keys = {"k1", "k2"};
    parts.teams = {payer};
    return configuration(std::move(parts));
}

} // namespace

TEST_GROUP(configuration)
{
    const catalog::configuration config = sample();

    void check(const char* host, const char* path, const char* wanted)
    {
        const route* found = config.find_route(host, path);
        STRCMP_EQUAL(wanted, found ? found->id.str().c_str() : "none");
    }
};

TEST(configuration, the_longest_prefix_of_the_host_wins)
{
    check("shop.example", "/a/b/c/d", "ab");
    check("shop.example", "/a/x", "a");
    check("shop.example", "/ab", "all");
    check("desk.example", "/a/b/", "none");
    check("nobody.example", "/", "none");
}

TEST(configuration, a_host_name_has_no_case_and_maybe_a_port)
{
    check("SHOP.Example:8080", "/a/", "a");
}

TEST(configuration, any_key_of_a_team_finds_it)
{
    CHECK(config.find_team_by_key("k2") != nullptr);
    CHECK(config.find_team_by_key("k3") == nullptr);
    CHECK(config.find_team_by_key("") == nullptr);
}

TEST(configuration, regions_of_route_and_team_both_bind)
{
    const region_id a("a");
    const region_id b("b");
    route way_in = way("r", "h", "/");
    team payer;
    CHECK(!regions_for(way_in, nullptr));
    CHECK(!regions_for(way_in, &payer));
    way_in.regions = {a, b};
    CHECK(regions_for(way_in, &payer) == std::vector({a, b}));
    payer.regions = {b};
    CHECK(regions_for(way_in, &payer) == std::vector{b});
    way_in.regions = {a};
    CHECK(regions_for(way_in, &payer)->empty());
    way_in.regions = {};
    CHECK(regions_for(way_in, &payer) == std::vector{b});
}

TEST(configuration, regions_of_a_host_name_are_those_of_all_its_routes)
{
    configuration_parts parts;
    parts.routes = {way("1", "h", "/"), way("2", "h", "/x/"),
                    way("3", "g", "/")};
    parts.routes[1].regions = {region_id("a")};
    const configuration config(std::move(parts));
    CHECK(config.regions_of_host("H:80") == std::vector{region_id("a")});
    CHECK(!config.regions_of_host("g"));
    CHECK(!config.regions_of_host("unknown"));
}
