// How a journal is laid out in the object store, and who tends which shard.
//
//     findings found;
//     auto layout = establish_layout(store, wanted, found);
//     shard_id shard = shard_of(team, layout->shards);
//     incarnation_id owner = owner_of(shard, members);
//
// A shard is a ring of slot objects, a checkpoint root and its chunks. Segment
// n of the log is kept in slot n % slots, over the segment that was there one
// round earlier. Shard and slot counts are written down when the fleet first
// starts and never change.

#ifndef FENNELLADDER_JOURNAL_LAYOUT_HPP
#define FENNELLADDER_JOURNAL_LAYOUT_HPP

#include "fennelladder/base/findings.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::journal {

/// Where the journal is and how it is cut.
struct journal_layout
{
    std::string prefix = "journal"; ///< Of all keys; not stored.
    std::uint32_t shards = 16;      ///< 1 to 4096.
    std::uint32_t slots = 4096;     ///< 4 to 65536.
};

/// Reads the stored layout, or stores `wanted` if there is none. The stored
/// counts hold; a `wanted` that differs is a finding (event
/// journal_layout_differs), and a `wanted` out of bounds fails with `invalid`.
/// Other errors: those of the store, and `corrupt`. Thread safe.
result<journal_layout> establish_layout(platform::object_store& store,
                                        const journal_layout& wanted,
                                        findings& found);

/// Reads the stored layout under `prefix` and never stores one, for tools that
/// only look. Errors: those of the store (`not_found`: no node has started
/// yet), and `corrupt`. Thread safe.
result<journal_layout> find_layout(platform::object_store& store,
                                   const std::string& prefix = "journal");

/// An open node's layout, prefix and all, for a peer that can't reach the
/// store.
std::string encode_layout(const journal_layout& layout);

/// Reads what a peer encoded and reports differences as establish_layout()
/// does. A peer that is open read it from the store, and it never changes, so
/// that it is as good as the stored one. Fails with `corrupt`, and with
/// `invalid` if the peer's journal has another prefix than `wanted`.
result<journal_layout> adopt_layout(std::string_view bytes,
                                    const journal_layout& wanted,
                                    findings& found);

/// The shard of a team's budgets, bills and keys. Precondition: shards > 0.
shard_id shard_of(const team_id& team, std::uint32_t shards);

/// The first `count` members (or fewer) in the order in which they should
/// tend the shard: rendezvous hashing, so that a member that goes moves only
/// its own shards. A hint: nothing rests on nodes agreeing about it.
std::vector<incarnation_id>
rank_owners(shard_id shard, const std::vector<incarnation_id>& members,
            std::size_t count);

/// The first of rank_owners(), or empty without members.
incarnation_id owner_of(shard_id shard,
                        const std::vector<incarnation_id>& members);

/// Keys of a shard's objects.
class shard_keys
{
public:
    shard_keys(const journal_layout& layout, shard_id shard);

    /// Prefix of all slots; slots sort by their number.
    const std::string& slot_prefix() const { return slot_prefix_; }
    platform::object_key slot(std::uint32_t slot) const;
    platform::object_key root() const;

    /// Prefix of all chunks of checkpoints.
    const std::string& chunk_prefix() const { return chunk_prefix_; }

private:
    std::string base_;
    std::string slot_prefix_;
    std::string chunk_prefix_;
};

} // namespace fennelladder::journal

#endif
