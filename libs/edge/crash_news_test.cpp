// Counts the bytes of what heartbeats tell of requests that crash targets.

#include "fennelladder/dispatch/quarantine.hpp"
#include "fennelladder/mesh/messages.hpp"
#include "fennelladder/mesh/peer_view.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

constexpr instant start = instant(seconds(1000));
const run_place place =
    place_of(service_id("s"), catalog::software_version("v1"));
const run_place other_place =
    place_of(service_id("s"), catalog::software_version("v2"));

/// As heartbeats take news.
constexpr duration news_span = seconds(20);
constexpr std::size_t news_limit = 12;

/// Of an Ethernet packet, without the headers of IPv4 and UDP.
constexpr std::size_t packet_bytes = 1500 - 28;

std::size_t bytes_of(const std::vector<crash_record>& records)
{
    mesh::datagram with;
    with.heartbeat = mesh::node_heartbeat();
    const std::size_t empty = mesh::encode(with).size();
    with.heartbeat->crash_records = records;
    return mesh::encode(with).size() - empty;
}

/// A death with an id and a start as on the platform.
crash_death<instant> death(std::size_t number, instant at)
{
    char id[16];
    std::snprintf(id, sizeof id, "i-%010zx", 0x070d74303f + number * 7919);
    return {{target_id(id), catalog::target_start(1'777'649'426'018 + number)},
            place,
            at,
            milliseconds(100),
            false};
}

crash_mark part(std::uint64_t number)
{
    // Ids of parts are hashes.
    return crash_mark::of_part(number * 0x9e3779b97f4a7c15);
}

/// What a node knows after `deaths` targets died of one part, each beside
/// `beside` sound requests that share their first part with it.
quarantine after_storm(std::size_t deaths, std::size_t beside)
{
    quarantine out;
    const crash_mark bad = part(1);
    const crash_mark first = part(2);
    std::uint64_t number = 2;
    for (std::size_t i = 0; i < deaths; ++i) {
        const instant at = start + milliseconds(100) * i;
        std::vector<crash_mark> marks{bad, first};
        for (std::size_t j = 0; j <= beside; ++j) {
            marks.push_back(part(++number));
            marks.push_back(
                crash_mark::of(request_fingerprint(part(number).value)));
        }
        for (const crash_mark& it : marks)
            out.note_death(it, death(i, at), at);
    }
    const std::vector<crash_mark> answered{first};
    for (const run_place it : {place, other_place})
        out.note_answer(answered, it, start + seconds(1));
    return out;
}

/// Each record as large as it may be.
quarantine with_full_records()
{
    quarantine out;
    for (std::uint64_t number = 1; number <= news_limit; ++number)
        for (std::size_t i = 0; i < out.options().max_deaths_told; ++i) {
            const instant at = start + seconds(1) * i;
            out.note_death(part(number), death(i, at), at);
        }
    return out;
}

} // namespace

TEST_GROUP(crash_news){};

// Guards against news of crashes that fill a host's link while targets die.
TEST(crash_news, fits_one_packet_after_a_storm)
{
    const bool show = std::getenv("SHOW_FIGURES") != nullptr;
    struct row
    {
        std::size_t nodes;
        std::size_t targets;
        double sound_per_second;
        std::size_t deaths;
    };
    const row rows[] = {
        {8, 18, 40, 14}, {77, 154, 40, 22}, {340, 680, 170, 23}};
    for (const row& it : rows) {
        const auto beside = static_cast<std::size_t>(
            std::ceil(it.sound_per_second / double(it.targets)));
        quarantine table = after_storm(it.deaths, beside);
        const instant now = start + seconds(3);
        constexpr int heartbeats = 40;
        std::size_t sum = 0;
        std::size_t most = 0;
        for (int i = 0; i < heartbeats; ++i) {
            const std::size_t bytes = bytes_of(table.take_news(
                news_span, news_limit, now + milliseconds(25) * i));
            sum += bytes;
            most = std::max(most, bytes);
        }
        const mesh::peer_view_options options;
        const double others = double(it.nodes - 1);
        const double a_second =
            std::min(others / to_seconds(options.heartbeat_period),
                     options.max_heartbeat_rate);
        if (show)
            std::printf("| %zu | %zu | %zu | %zu | %.0f | %.1f |\n", it.nodes,
                        table.size(), sum / heartbeats, most, a_second,
                        a_second * double(sum) / heartbeats / 1000);
        CHECK(most <= packet_bytes);
    }
}

TEST(crash_news, of_one_death_takes_few_bytes)
{
    const bool show = std::getenv("SHOW_FIGURES") != nullptr;
    quarantine table;
    const auto it = death(1, start);
    for (std::uint64_t number = 1; number <= news_limit; ++number)
        table.note_death(part(number), it, start);
    const std::size_t twelve =
        bytes_of(table.take_news(news_span, news_limit, start));
    quarantine full = with_full_records();
    const std::size_t most =
        bytes_of(full.take_news(news_span, news_limit, start + seconds(8)));
    if (show)
        std::printf("twelve of one death %zu, twelve full %zu\n", twelve, most);
    CHECK(twelve <= packet_bytes);
}
