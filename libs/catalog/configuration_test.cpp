#include "fennelladder/catalog/configuration.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::catalog;

namespace {

route make_route(const char* id, const char* host, const char* prefix)
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
    parts.routes = {make_route("all", "Shop.example", "/"),
                    make_route("a", "shop.example", "/a/"),
                    make_route("ab", "shop.example", "/a/b/"),
                    make_route("other", "desk.example", "/a/b/c/")};
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

TEST(configuration, host_name_ignores_case_and_port)
{
    check("SHOP.Example:8080", "/a/", "a");
}

TEST(configuration, each_key_of_a_team_finds_it)
{
    CHECK(config.find_team_by_key("k2") != nullptr);
    CHECK(config.find_team_by_key("k3") == nullptr);
    CHECK(config.find_team_by_key("") == nullptr);
}

TEST(configuration, regions_of_route_and_team_are_intersected)
{
    const region_id a("a");
    const region_id b("b");
    route matched = make_route("r", "h", "/");
    team payer;
    CHECK(!regions_for(matched, nullptr));
    CHECK(!regions_for(matched, &payer));
    matched.regions = {a, b};
    CHECK(regions_for(matched, &payer) == std::vector({a, b}));
    payer.regions = {b};
    CHECK(regions_for(matched, &payer) == std::vector{b});
    matched.regions = {a};
    CHECK(regions_for(matched, &payer)->empty());
    matched.regions = {};
    CHECK(regions_for(matched, &payer) == std::vector{b});
}

TEST(configuration, regions_of_a_host_name_are_allowed_by_all_its_routes)
{
    configuration_parts parts;
    parts.routes = {make_route("1", "h", "/"), make_route("2", "h", "/x/"),
                    make_route("3", "g", "/")};
    parts.routes[1].regions = {region_id("a")};
    const configuration config(std::move(parts));
    CHECK(config.regions_of_host("H:80") == std::vector{region_id("a")});
    CHECK(!config.regions_of_host("g"));
    CHECK(!config.regions_of_host("unknown"));
}
