// Reading a manifest from a file, for the commands that take one.

#ifndef FENNELLADDER_APPS_MANIFEST_FILE_HPP
#define FENNELLADDER_APPS_MANIFEST_FILE_HPP

#include "fennelladder/manifest/document.hpp"

#include <optional>
#include <string>

namespace fennelladder::app {

/// The manifest in the file at `path`; nothing after what is wrong with the
/// file has been printed to standard error.
std::optional<manifest::document> load_manifest(const std::string& path);

} // namespace fennelladder::app

#endif
