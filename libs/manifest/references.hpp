// Checks that need more than one place of the manifest: duplicate ids,
// dangling references, sums, and things nobody serves.

#ifndef FENNELLADDER_LIBS_MANIFEST_REFERENCES_HPP
#define FENNELLADDER_LIBS_MANIFEST_REFERENCES_HPP

#include "fennelladder/manifest/document.hpp"
#include "json_codec.hpp"

namespace fennelladder::manifest {

/// Adds what is wrong between the parts of `manifest` to `sink`. Ids that
/// could not be read are empty and are passed over.
void check_references(const document& manifest, finding_sink& sink);

} // namespace fennelladder::manifest

#endif
