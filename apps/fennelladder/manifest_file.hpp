// Loads a manifest from a file, for the commands that take one as an argument.

#ifndef FENNELLADDER_APPS_MANIFEST_FILE_HPP
#define FENNELLADDER_APPS_MANIFEST_FILE_HPP

#include "fennelladder/manifest/document.hpp"

#include <optional>
#include <string>

namespace fennelladder::app {

/// Parses the manifest in the file at `path`. If the file can't be read or is
/// invalid, prints all findings to standard error and returns nothing.
std::optional<manifest::document> load_manifest(const std::string& path);

} // namespace fennelladder::app

#endif
