// Properties checked with RapidCheck inside a CppUTest test, with a fixed
// seed, so that CI gives the same verdict on every run.
//
//     TEST(ledger, never_oversells)
//     {
//         check_property({.name = "never oversells", .seed = 7}, [] {
//             const auto n = *rc::gen::inRange(0, 100);
//             RC_ASSERT(n < 100);
//         });
//     }
//
// On failure the test fails, and the seed and the shrunk case are printed.

#ifndef FENNELLADDER_TESTING_PROPERTY_HPP
#define FENNELLADDER_TESTING_PROPERTY_HPP

#include <cstdint>
#include <functional>
#include <string>

namespace fennelladder::testing {

/// How a property is run.
struct property_options
{
    std::string name;       ///< Shown with the result.
    std::uint64_t seed = 1; ///< Same seed, same cases.
    int cases = 200;        ///< Random cases tried.
    int max_size = 100;     ///< RapidCheck's size of the largest case.
};

/// Runs `body` on random cases; the body draws with rc::gen and asserts with
/// RC_ASSERT. Fails the current CppUTest test when a case fails.
/// Call from one thread, inside a TEST.
void check_property(const property_options& options,
                    const std::function<void()>& body);

} // namespace fennelladder::testing

#endif
