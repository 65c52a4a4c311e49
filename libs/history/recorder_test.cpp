#include "fennelladder/history/recorder.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::history;

namespace {

instant at(std::int64_t count)
{
    return from_nanoseconds(count);
}

std::vector<std::string> read_lines(const std::string& path)
{
    std::ifstream in(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

TEST_GROUP(recorder)
{
    std::string path =
        "/tmp/fennelladder-recorder-" + std::to_string(getpid()) + ".jsonl";

    void teardown() override
    {
        std::remove(path.c_str());
    }
};

// Hundreds of threads write at once; every line must be in the file, whole
// and once. A lost or torn line would make the checker blame the product.
TEST(recorder, keeps_every_line_of_three_hundred_threads)
{
    auto made = recorder::open({.path = path, .buffered_lines = 1000});
    CHECK(made.has_value());
    std::vector<std::thread> threads;
    for (int n = 0; n < 300; ++n) {
        threads.emplace_back([&history = **made, n] {
            for (int k = 0; k < 50; ++k)
                history.record(at(k), node_id(std::to_string(n)), died{});
        });
    }
    for (std::thread& it : threads)
        it.join();
    CHECK((*made)->close().has_value());
    std::vector<int> seen(300);
    for (const std::string& line : read_lines(path)) {
        const auto read = parse_event(line);
        CHECK(read.has_value());
        ++seen[std::stoul(read->node.str())];
    }
    for (const int it : seen)
        CHECK_EQUAL(50, it);
}

// Time first, then the order of recording, also across the buffer's limit.
TEST(recorder, puts_lines_in_order)
{
    auto made = recorder::open({.path = path, .buffered_lines = 8});
    for (std::int64_t n = 0; n < 100; ++n)
        (*made)->record(at(n ^ 1), node_id("n"), died{});
    CHECK((*made)->close().has_value());
    const auto lines = read_lines(path);
    CHECK_EQUAL(100, lines.size());
    for (std::int64_t n = 0; n < 100; ++n)
        CHECK(parse_event(lines[n])->at == at(n));

    auto memory = recorder::open({});
    (*memory)->record(at(5), node_id("late"), died{});
    (*memory)->record(at(5), node_id("later"), died{});
    (*memory)->record(at(1), node_id("first"), died{});
    std::string order;
    for (const std::string& line : (*memory)->lines())
        order += parse_event(line)->node.str() + " ";
    STRCMP_EQUAL("first late later ", order.c_str());
}

// A history with a gap proves nothing, so lost lines must show in close().
TEST(recorder, says_what_it_lost)
{
    auto made = recorder::open({.path = "", .memory_lines = 2});
    for (int n = 0; n < 5; ++n)
        (*made)->record(at(n), node_id("n"), died{});
    CHECK_EQUAL(3, (*made)->lost());
    CHECK((*made)->close().error().code == error_code::exhausted);
    CHECK(recorder::open({.path = "/nowhere/h"}).error().code ==
          error_code::unavailable);

    // A device that takes no byte stands for a full disk.
    auto full = recorder::open({.path = "/dev/full"});
    if (full) {
        (*full)->record(at(1), node_id("n"), died{});
        CHECK(!(*full)->close());
    }
}

TEST(recorder, a_null_recorder_records_nothing)
{
    record(nullptr, at(1), node_id("n"), died{});
}
