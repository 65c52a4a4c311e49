// A manifest as immutable, content-addressed parts.
//
// The platform takes values of up to a megabyte, and 350,000 budgets are many
// times that. So a manifest is split: rows of teams, targets and budgets go
// into buckets by the hash of their id, and the rest is one part. A part's
// name is the hash of its bytes. A directory (a part too) lists the names of
// all others, and a root object names the directory:
//
//     config/root          generation, apply id, who, when, directory
//     config/part/<hash>   directory, base, buckets
//
//     auto pieces = manifest::split(document, nullptr);
//     for (auto& [hash, bytes] : pieces->parts)
//         upload(part_key(hash), bytes);
//
// A change to one budget changes its bucket, the directory and the root: what
// it costs to send grows with the square root of the number of budgets.
//
// Caveat. Bytes are only trusted after their hash was compared; decode_part
// functions expect that this was done.

#ifndef FENNELLADDER_MANIFEST_PARTS_HPP
#define FENNELLADDER_MANIFEST_PARTS_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/manifest/document.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::manifest {

/// Name of a part: digest128 of its bytes.
using part_hash = text_id<struct part_hash_tag>;

/// Name of an accepted configuration: digest over generation, apply id and
/// directory. Two configurations of one generation can't share it.
using configuration_hash = text_id<struct configuration_hash_tag>;

/// No part is larger; leaves room below the platform's limit.
constexpr std::size_t max_part_bytes = 900'000;

/// Size that buckets are cut to. With it the directory and one bucket, which
/// every change sends, are about equal at 350,000 budgets.
constexpr std::size_t bucket_goal_bytes = 32'768;

/// Names of all parts of one manifest. Each list of buckets has a power of
/// two entries; an id's bucket is hash64(id) modulo that.
struct directory
{
    part_hash base;
    std::vector<part_hash> teams;
    std::vector<part_hash> targets;
    std::vector<part_hash> budgets;

    bool operator==(const directory&) const = default;

    /// Every name, base first.
    std::vector<part_hash> all() const;
};

/// One accepted change, as the root remembers it.
struct apply_record
{
    generation number;
    apply_id apply;
    std::string who;
    instant at;

    bool operator==(const apply_record&) const = default;
};

/// The one object that is written conditionally: it decides which
/// configuration is accepted.
struct root
{
    /// How many earlier changes a root remembers, so that an operator whose
    /// reply was lost finds the own change under those that followed. Every
    /// poll of every node reads them, hence not more.
    static constexpr std::size_t history_limit = 8;

    apply_record change;
    part_hash directory;
    std::vector<apply_record> history; ///< Before `change`, newest first.
    std::uint64_t collections = 0;     ///< Times that orphans were collected.

    configuration_hash hash() const;

    /// The record of `apply` in the change or the history, or nullptr.
    const apply_record* find(const apply_id& apply) const;

    bool operator==(const root&) const = default;
};

/// A manifest split into parts, its directory among them.
struct split_manifest
{
    manifest::directory directory;
    part_hash directory_hash;
    std::map<part_hash, std::string> parts; ///< By name, directory included.
};

/// Splits `manifest`. Equal manifests give equal parts when `previous` is
/// equal: it is the directory of the base, whose bucket counts are kept while
/// buckets stay within a quarter of and twice their goal, or nullptr.
/// Fails with `too_large` when a part can't be kept below max_part_bytes.
/// Thread safe; linear in the size of the manifest.
result<split_manifest> split(const document& manifest,
                             const directory* previous);

/// Bucket of an id among `buckets`. Precondition: buckets is a power of two.
std::size_t bucket_of(std::string_view id, std::size_t buckets);

/// Checks that `bytes` hash to `name`.
bool matches(const part_hash& name, std::string_view bytes);

std::string encode(const directory& names);
std::string encode(const root& value);

/// Readers of parts; they fail with `corrupt`. A root carries a checksum of
/// its own, since no name vouches for it.
result<directory> decode_directory(std::string_view bytes);
result<root> decode_root(std::string_view bytes);
result<document> decode_base(std::string_view bytes);
result<std::vector<team>> decode_teams(std::string_view bytes);
result<std::vector<target>> decode_targets(std::string_view bytes);
result<std::vector<budget>> decode_budgets(std::string_view bytes);

/// Read one line of a bucket.
result<team> decode_team_row(std::string_view line);
result<budget> decode_budget_row(std::string_view line);

/// Key of the root object.
platform::object_key root_key();

/// What the keys of all parts start with.
std::string_view part_prefix();

platform::object_key part_key(const part_hash& name);

} // namespace fennelladder::manifest

#endif
