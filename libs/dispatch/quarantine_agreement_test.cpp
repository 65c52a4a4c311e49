#include "fennelladder/base/random.hpp"
#include "quarantine_samples.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

TEST_GROUP(quarantine_agreement){};

// Records may be lost, repeated and reordered on their way.
TEST(quarantine_agreement, nodes_that_have_the_same_records_agree)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        random_source random(seed);
        quarantine nodes[3];
        const auto exchange = [&](double s, std::size_t from, std::size_t to) {
            for (const auto& it : nodes[from].take_news(minutes(10), 64, at(s)))
                nodes[to].merge(it, at(s));
        };
        double s = 0;
        for (int i = 0; i < 30; ++i) {
            s += random.unit();
            quarantine& node = nodes[random.below(3)];
            const crash_mark mark = crash_mark::of_part(random.below(3));
            const std::vector<crash_mark> one{mark};
            if (random.unit() < 0.7)
                node.note_death(mark,
                                death("t" + std::to_string(random.below(8)), s,
                                      random.unit() < 0.3),
                                at(s));
            else
                node.note_answer(one, v1, at(s));
            if (random.unit() < 0.5)
                exchange(s, random.below(3), random.below(3));
        }
        for (std::size_t i = 0; i < 9; ++i)
            exchange(s, i % 3, (i + 1 + i / 3) % 3);
        for (std::uint64_t part = 0; part < 3; ++part) {
            const auto mark = crash_mark::of_part(part);
            const auto levels = {level_of(nodes[0], mark, s),
                                 level_of(nodes[1], mark, s),
                                 level_of(nodes[2], mark, s)};
            CHECK(std::ranges::count(levels, *levels.begin()) == 3);
        }
    }
}
