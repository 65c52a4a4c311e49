#include "fennelladder/base/random.hpp"
#include "fennelladder/mesh/text_compression.hpp"

#include <CppUTest/TestHarness.h>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr std::size_t limit = 1'000'000;

std::string sample(std::size_t routes)
{
    random_source random(1);
    std::string out;
    for (std::size_t i = 0; i < routes; ++i)
        out += R"({"name":"r-)" + std::to_string(random.below(1'000'000)) +
               R"(","kind":"idempotent","timeoutMs":1000},)";
    return out;
}

} // namespace

TEST_GROUP(text_compression){};

TEST(text_compression, round_trip)
{
    for (const std::size_t routes : {0, 1, 20, 10'000}) {
        const std::string text = sample(routes);
        const auto compressed = compress_text(text);
        CHECK(compressed.has_value());
        const auto back = decompress_text(*compressed, limit);
        CHECK(back.has_value());
        CHECK(*back == text);
    }
}

TEST(text_compression, shrinks_a_configuration)
{
    const std::string text = sample(1'000);
    CHECK(compress_text(text)->size() * 4 < text.size());
}

// Guards against a few kilobytes that expand to more than the host's memory.
TEST(text_compression, decompression_stops_at_the_limit)
{
    const auto bomb = compress_text(std::string(100 * limit, ' '));
    CHECK(bomb->size() < limit);
    const auto got = decompress_text(*bomb, limit);
    CHECK(!got && got.error().code == error_code::too_large);
    const auto full = compress_text(std::string(limit, ' '));
    CHECK(decompress_text(*full, limit).has_value());
    const auto above = compress_text(std::string(limit + 1, ' '));
    CHECK(!decompress_text(*above, limit));
}

TEST(text_compression, truncated_or_extended_bytes_are_rejected)
{
    const std::string good = *compress_text(sample(100));
    for (std::size_t n = 0; n < good.size(); ++n)
        CHECK(!decompress_text(good.substr(0, n), limit));
    CHECK(!decompress_text(good + "x", limit));
}

TEST(text_compression, damaged_bytes_do_not_crash)
{
    const std::string text = sample(100);
    const std::string good = *compress_text(text);
    random_source random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes = good;
        for (int k = 0; k < 3; ++k)
            bytes[random.below(bytes.size())] =
                static_cast<char>(random.below(256));
        // The checksum at the end detects damage.
        const auto got = decompress_text(bytes, limit);
        CHECK(!got || *got == text);
    }
}
