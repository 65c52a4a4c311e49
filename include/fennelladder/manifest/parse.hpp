// Reading and writing manifests as JSON.
//
//     auto parsed = manifest::parse(text, "manifest.json");
//     if (!parsed.ok())
//         return print(parsed.found); // everything that is wrong, at once
//     std::string bytes = manifest::encode(*parsed.manifest);
//
// The schema stands in docs/MANIFEST.md; a test holds the page to schema().

#ifndef FENNELLADDER_MANIFEST_PARSE_HPP
#define FENNELLADDER_MANIFEST_PARSE_HPP

#include "fennelladder/base/findings.hpp"
#include "fennelladder/manifest/document.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::manifest {

/// Outcome of parse(): a manifest, or findings.
struct parse_outcome
{
    std::optional<document> manifest; ///< Set when nothing was found.
    findings found;

    bool ok() const { return manifest.has_value(); }
};

/// Largest number of findings collected; a last one says that there are more.
constexpr std::size_t max_findings = 200;

/// Checks `text` whole: syntax, unknown and repeated keys, types, units,
/// ranges, duplicate ids, dangling references, sums. Each finding carries
/// `source`, a JSON pointer and an event number (1100 to 1109).
/// Thread safe. Time and memory are linear in the size of `text`.
parse_outcome parse(std::string_view text, std::string_view source);

/// The manifest as canonical JSON: lists in order of their ids, keys sorted,
/// no white space, defaults written out. Equal manifests give equal bytes, and
/// parse() gives back an equal manifest. Thread safe.
std::string encode(const document& manifest);

/// Sorts the lists in which order has no meaning by id.
void sort_lists(document& manifest);

/// One key of the schema.
struct schema_key
{
    std::string pointer; ///< With * for any index: "/teams/*/id".
    std::string type;    ///< As in docs/MANIFEST.md: "duration", ...
    bool required = false;
};

/// Every key that parse() knows; any other is a finding.
std::vector<schema_key> schema();

} // namespace fennelladder::manifest

#endif
