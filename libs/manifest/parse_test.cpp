#include "fennelladder/base/random.hpp"
#include "fennelladder/manifest/parse.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <map>
#include <sstream>

using namespace fennelladder;
using namespace fennelladder::manifest;
namespace event = fennelladder::telemetry::event;

namespace {

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

const std::string small = R"({
 "deployment":{"name":"d","weight":"overspend",
  "regions":[{"id":"r","data_centers":["a","b"]}]},
 "caller_kinds":[{"id":"k","priority":1}],
 "objectives":[{"id":"o","caller_kind":"k","measure":"total",
  "latency":"2s","target":"99.5%"}],
 "models":[{"id":"m","versions":["1"],"adapters":["x"]}],
 "services":[{"id":"s","calls":[{"name":"c","idempotent":false,
  "timeout":"5s","tokens":3}]}],
 "teams":[{"id":"t","caller_kinds":["k"],
  "models":[{"model":"m","versions":["1"]}],"services":["s"]}],
 "budgets":[{"id":"b","team":"t","topups":[{"id":"p","tokens":100}]}],
 "targets":[{"id":"e","address":"10.0.0.1:80","data_center":"a",
  "kind":"engine","concurrency":4,"checks_fencing":true,
  "models":[{"model":"m","version":"1"}]},
  {"id":"f","address":"[fd00::1]:80","data_center":"b","kind":"service",
  "concurrency":4,"checks_fencing":false,"services":["s"]}]})";

std::string with(const std::string& from, const std::string& to)
{
    std::string text = small;
    const auto at = text.find(from);
    CHECK_TEXT(at != std::string::npos, from.c_str());
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_GROUP(manifest_parse){};

// A pipeline hands over a manifest with one mistake. The operator must be
// told its place and number, and nothing else may be reported, or the one
// that matters is lost among consequences.
TEST(manifest_parse, each_mistake_is_one_finding_at_its_place)
{
    const struct
    {
        const char* from;
        const char* to;
        int event;
        const char* pointer;
    } cases[] = {
        {"\"caller_kinds\":[{", "\"caller_kinds\":{[", event::manifest_syntax,
         "line 4"},
        {"\"priority\":1", "\"priority\":1,\"color/x\":1",
         event::manifest_unknown_key, "/caller_kinds/0/color~1x"},
        {"\"latency\":\"2s\",", "", event::manifest_missing_key,
         "/objectives/0"},
        {"\"name\":\"d\"", "\"name\":7", event::manifest_wrong_type,
         "/deployment/name"},
        {"[\"a\",\"b\"]", "\"a\"", event::manifest_wrong_type,
         "/deployment/regions/0/data_centers"},
        {"\"id\":\"f\"", "\"id\":\"e\"", event::manifest_duplicate,
         "/targets/1/id"},
        {"[\"a\",\"b\"]", "[\"a\",\"b\",\"a\"]", event::manifest_duplicate,
         "/deployment/regions/0/data_centers/2"},
        {"[fd00::1]:80", "10.0.0.1:80", event::manifest_duplicate,
         "/targets/1/address"},
        {"\"idempotent\":false", "\"idempotent\":true,\"idempotent\":false",
         event::manifest_duplicate, "/services/0/calls/0/idempotent"},
        {"\"team\":\"t\"", "\"team\":\"u\"", event::manifest_dangling,
         "/budgets/0/team"},
        {"\"data_center\":\"b\"", "\"data_center\":\"c\"",
         event::manifest_dangling, "/targets/1/data_center"},
        {"\"version\":\"1\"}", "\"version\":\"1\",\"adapters\":[\"y\"]}",
         event::manifest_dangling, "/targets/0/models/0/adapters/0"},
        {"\"caller_kind\":\"k\"", "\"caller_kind\":\"j\"",
         event::manifest_dangling, "/objectives/0/caller_kind"},
        {"\"priority\":1", "\"priority\":10", event::manifest_out_of_range,
         "/caller_kinds/0/priority"},
        {"\"tokens\":100", "\"tokens\":18446744073709551615",
         event::manifest_out_of_range, "/budgets/0/topups/0/tokens"},
        {"\"tokens\":100", "\"tokens\":99999999999999999999",
         event::manifest_out_of_range, "/budgets/0/topups/0/tokens"},
        {"\"tokens\":100", "\"tokens\":1.5", event::manifest_out_of_range,
         "/budgets/0/topups/0/tokens"},
        {"\"tokens\":100", "\"tokens\":-1", event::manifest_out_of_range,
         "/budgets/0/topups/0/tokens"},
        {"{\"id\":\"p\",\"tokens\":100}",
         "{\"id\":\"p\",\"tokens\":9007199254740992},"
         "{\"id\":\"q\",\"tokens\":1}",
         event::manifest_out_of_range, "/budgets/0/topups"},
        {"\"latency\":\"2s\"", "\"latency\":\"99999999999h\"",
         event::manifest_out_of_range, "/objectives/0/latency"},
        {"\"latency\":\"2s\"", "\"latency\":\"2h\"",
         event::manifest_out_of_range, "/objectives/0/latency"},
        {"overspend", "both", event::manifest_out_of_range,
         "/deployment/weight"},
        {"\"latency\":\"2s\"", "\"latency\":\"2\"", event::manifest_bad_unit,
         "/objectives/0/latency"},
        {"\"latency\":\"2s\"", "\"latency\":2", event::manifest_wrong_type,
         "/objectives/0/latency"},
        {"99.5%", "99.5", event::manifest_bad_unit, "/objectives/0/target"},
        {"99.5%", "100.1%", event::manifest_bad_unit, "/objectives/0/target"},
        {"99.5%", "9.-5%", event::manifest_bad_unit, "/objectives/0/target"},
        {"10.0.0.1:80", "host:80", event::manifest_bad_format,
         "/targets/0/address"},
        {"10.0.0.1:80", "10.0.0.1:65536", event::manifest_bad_format,
         "/targets/0/address"},
        {"\"id\":\"o\"", "\"id\":\"o o\"", event::manifest_bad_format,
         "/objectives/0/id"},
        {"\"services\":[\"s\"]}]}", "\"services\":[]}]}",
         event::manifest_inconsistent, "/teams/0/services/0"},
        {"\"concurrency\":4,\"checks_fencing\":true,",
         "\"concurrency\":4,\"checks_fencing\":true,\"services\":[\"s\"],",
         event::manifest_inconsistent, "/targets/0/services"},
        {"\"calls\":[{\"name\":\"c\",\"idempotent\":false,\n  "
         "\"timeout\":\"5s\",\"tokens\":3}]",
         "\"calls\":[]", event::manifest_inconsistent, "/services/0/calls"},
    };
    for (const auto& it : cases) {
        const auto outcome = parse(with(it.from, it.to), "m.json");
        const std::string text =
            std::string(it.to) + " gives:\n" + outcome.found.to_text();
        CHECK_TEXT(!outcome.ok(), text.c_str());
        const auto& all = outcome.found.all();
        CHECK_TEXT(all.size() == 1, text.c_str());
        CHECK_TEXT(all[0].event == it.event, text.c_str());
        CHECK_TEXT(all[0].place.inside == it.pointer, text.c_str());
        STRCMP_EQUAL("m.json", all[0].place.source.c_str());
    }
}

TEST(manifest_parse, mistakes_are_told_all_at_once)
{
    std::string text = with("\"priority\":1", "\"priority\":-1");
    const auto at = text.find("\"team\":\"t\"");
    text.replace(at, 10, "\"team\":\"u\"");
    CHECK_EQUAL(2, int(parse(text, "m").found.all().size()));
    std::string many = R"({"deployment":[)";
    for (int n = 0; n < 1000; ++n)
        many += "{\"a\":1},";
    many += "0]}";
    CHECK(parse(many, "m").found.all().size() <= max_findings + 1);
}

TEST(manifest_parse, examples_are_valid_and_survive_a_round_trip)
{
    for (const char* name : {"spoke-and-sprocket", "chao-phraya"}) {
        const std::string path = "examples/" + std::string(name) + ".json";
        auto first = parse(read_file(path), path);
        CHECK_TEXT(first.ok(), first.found.to_text().c_str());
        STRCMP_EQUAL(name, first.manifest->deployment.name.c_str());
        const std::string bytes = encode(*first.manifest);
        const auto second = parse(bytes, "encoded");
        CHECK_TEXT(second.ok(), second.found.to_text().c_str());
        sort_lists(*first.manifest);
        CHECK(*first.manifest == *second.manifest);
        CHECK(bytes == encode(*second.manifest));
    }
}

// Random bytes and cut or altered manifests must give findings, not a crash.
TEST(manifest_parse, damaged_text_never_crashes)
{
    random_source random(11);
    for (int n = 0; n < 3000; ++n) {
        std::string text = small;
        for (int edits = 0; edits < 3; ++edits)
            text[random.below(text.size())] = char(random.below(256));
        if (random.chance(0.3))
            text.resize(random.below(text.size()));
        const auto outcome = parse(text, "m");
        CHECK(outcome.ok() == outcome.found.empty());
    }
}

// A key that the page doesn't name can't be used by an operator, and one that
// the parser doesn't know would be refused: the page is compared both ways.
TEST(manifest_parse, page_and_schema_name_the_same_keys)
{
    std::map<std::string, std::string> documented;
    std::istringstream page(read_file("docs/MANIFEST.md"));
    std::string line;
    while (std::getline(page, line)) {
        // Rows of the form "| `/teams/*/id` | id | yes | ... |".
        if (!line.starts_with("| `/"))
            continue;
        const auto key_end = line.find('`', 3);
        const auto type_end = line.find(" |", key_end + 4);
        const auto need_end = line.find(" |", type_end + 2);
        documented[line.substr(3, key_end - 3)] =
            line.substr(key_end + 4, need_end - key_end - 4);
    }
    for (const schema_key& it : schema()) {
        if (it.pointer.ends_with("/*"))
            continue;
        const std::string expected =
            it.type + " | " + (it.required ? "yes" : "no");
        STRCMP_EQUAL((it.pointer + " " + expected).c_str(),
                     (it.pointer + " " + documented[it.pointer]).c_str());
        documented.erase(it.pointer);
    }
    for (const auto& [key, rest] : documented)
        FAIL(("only in docs/MANIFEST.md: " + key).c_str());
}
