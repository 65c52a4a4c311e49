// Scales a duration by a factor.
//
//     const duration limit = part_of(bound, 0.75);

#ifndef FENNELLADDER_BASE_PART_OF_HPP
#define FENNELLADDER_BASE_PART_OF_HPP

#include "fennelladder/base/time.hpp"

namespace fennelladder {

/// `whole` times `share`, rounded towards zero; `share` may exceed 1.
/// Pure; thread safe.
constexpr duration part_of(duration whole, double share)
{
    return from_seconds(to_seconds(whole) * share);
}

} // namespace fennelladder

#endif
