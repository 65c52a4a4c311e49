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

TEST_GROUP(packed_text){};

TEST(packed_text, survives_the_way)
{
    for (const std::size_t routes : {0, 1, 20, 10'000}) {
        const std::string text = sample(routes);
        const auto packed = compress_text(text);
        CHECK(packed.has_value());
        const auto back = decompress_text(*packed, limit);
        CHECK(back.has_value());
        CHECK(*back == text);
    }
}

TEST(packed_text, is_a_fraction_of_a_configuration)
{
    const std::string text = sample(1'000);
    CHECK(compress_text(text)->size() * 4 < text.size());
}

// A few kilobytes that stand for more than the host's memory.
TEST(packed_text, that_unpacks_to_too_much_is_given_up)
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

TEST(packed_text, cut_short_or_with_more_behind_is_unreadable)
{
    const std::string good = *compress_text(sample(100));
    for (std::size_t n = 0; n < good.size(); ++n)
        CHECK(!decompress_text(good.substr(0, n), limit));
    CHECK(!decompress_text(good + "x", limit));
}

TEST(packed_text, damaged_bytes_end_nothing)
{
    const std::string text = sample(100);
    const std::string good = *compress_text(text);
    random_source random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes = good;
        for (int k = 0; k < 3; ++k)
            bytes[random.below(bytes.size())] =
                static_cast<char>(random.below(256));
        // The checksum at its end tells damaged text from good.
        const auto got = decompress_text(bytes, limit);
        CHECK(!got || *got == text);
    }
}
