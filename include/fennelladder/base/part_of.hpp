// A share of a length of time.
//
//     const duration limit = part_of(bound, 0.75);

#ifndef FENNELLADDER_BASE_PART_OF_HPP
#define FENNELLADDER_BASE_PART_OF_HPP

#include "fennelladder/base/time.hpp"

namespace fennelladder {

/// `share` of `whole`, which may be more than all of it; rounds towards zero.
/// Pure; thread safe.
constexpr duration part_of(duration whole, double share)
{
    return from_seconds(to_seconds(whole) * share);
}

} // namespace fennelladder

#endif
