// Made-up manifests of any size, for measurements and tests.
//
//     document big = manifest::make_synthetic({.teams = 8200,
//                                              .budgets = 350'000});
//
// They are valid, and equal sizes give equal manifests.

#ifndef FENNELLADDER_MANIFEST_SYNTHETIC_HPP
#define FENNELLADDER_MANIFEST_SYNTHETIC_HPP

#include "fennelladder/manifest/document.hpp"

#include <cstddef>

namespace fennelladder::manifest {

/// How large a made-up manifest is. Preconditions: all at least 1.
struct synthetic_size
{
    std::size_t teams = 10;
    std::size_t budgets = 10;
    std::size_t targets = 13;
    std::size_t models = 2;
    std::size_t models_per_team = 2; ///< Capped at `models`.
    std::size_t data_centers = 3;
};

document make_synthetic(const synthetic_size& size);

} // namespace fennelladder::manifest

#endif
