// Which targets are believed to hold which prompt prefixes in their cache.
//
// A prompt is cut into blocks, and each block is named by the hash of itself
// and all before it, so that one number stands for a whole prefix.
//
//     auto chain = hash_prefix(prompt, 256);
//     index.dispatched(slot, chain);
//     prefix_match match = index.match(chain);
//     match.blocks(slot); // leading blocks believed cached there
//
// Engines tell of stored and evicted blocks late and with gaps. The index is
// therefore a belief, never a fact: it is corrected by events, by what this
// node dispatched itself, and by how many cached tokens engines report in
// their answers. confidence() is the share of the belief that held lately; a
// gap in a target's event numbers lowers it, good predictions restore it.
//
// Memory is bounded by max_blocks; the blocks used longest ago go first.
// Not thread safe.

#ifndef FENNELLADDER_ROUTING_PREFIX_INDEX_HPP
#define FENNELLADDER_ROUTING_PREFIX_INDEX_HPP

#include "fennelladder/routing/types.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::routing {

/// Chain of the whole blocks of `prompt`; a rest shorter than a block is left
/// out. At most `max_blocks` blocks. Precondition: block_bytes > 0.
std::vector<block_hash> hash_prefix(std::string_view prompt,
                                    std::size_t block_bytes,
                                    std::size_t max_blocks = 256);

/// What happened in a target's cache.
struct cache_event
{
    enum class kind : std::uint8_t
    {
        stored,
        evicted,
        cleared ///< Everything: the engine restarted or was reset.
    };

    std::uint64_t sequence = 0; ///< Grows by one per event of a target.
    kind what = kind::stored;
    std::vector<block_hash> blocks;
};

/// Limits of a prefix_index.
struct prefix_index_options
{
    std::size_t max_blocks = 32'768; ///< About 200 bytes each at 1024 slots.
    std::size_t max_targets = 1'024; ///< Slots from here on are not indexed.
    double gap_factor = 0.9;         ///< Confidence is multiplied by it.
    double learning_rate = 0.1;      ///< Weight of one observed answer.
};

/// Leading blocks of one prompt per target.
class prefix_match
{
public:
    /// Blocks believed cached at `slot`, counted from the prompt's start.
    std::uint32_t blocks(target_slot slot) const
    {
        return slot < blocks_.size() ? blocks_[slot] : 0;
    }

    /// The highest count of any target.
    std::uint32_t best() const { return best_; }

private:
    friend class prefix_index;
    std::vector<std::uint16_t> blocks_;
    std::uint32_t best_ = 0;
};

class prefix_index
{
public:
    explicit prefix_index(prefix_index_options options = {});

    /// Takes an event in. Late and repeated events are harmless; a gap in the
    /// numbers lowers the target's confidence. True if there was a gap.
    bool apply(target_slot slot, const cache_event& event);

    /// This node sent a prompt there, so it will be cached there.
    void dispatched(target_slot slot, std::span<const block_hash> chain);

    /// An answer told that `actual` leading blocks were cached, where
    /// `predicted` were believed to be. Corrects the confidence; the blocks
    /// themselves are there now, since the prompt has just run.
    void observed(target_slot slot, std::uint32_t predicted,
                  std::uint32_t actual);

    /// Forgets a target; to be called before its slot is used anew. Walks the
    /// whole index: a millisecond or two at the default size.
    void forget(target_slot slot);

    /// Who holds how much of a prompt. Time grows with the chain's length and
    /// max_targets / 64.
    prefix_match match(std::span<const block_hash> chain) const;

    /// Share of the belief in `slot` that held lately, in [0, 1].
    double confidence(target_slot slot) const;

    std::size_t size() const { return places_.size(); }

private:
    // Invariant: places_ maps the hash of every live entry to its place in
    // entries_; live entries form a list from newest_ to oldest_; the holders
    // of entry n are the bits at holders_[n * words_ ..].
    struct entry
    {
        block_hash hash = 0;
        std::uint32_t newer = 0;
        std::uint32_t older = 0;
    };

    struct target_belief
    {
        std::uint64_t next_sequence = 0; ///< 0: no event seen yet.
        double confidence = 1;
    };

    static constexpr std::uint32_t none = ~0U;

    bool indexed(target_slot slot) const;
    target_belief& belief(target_slot slot);
    std::uint32_t find_or_add(block_hash hash);
    std::uint32_t take_place();
    void unlink(std::uint32_t place);
    void link_newest(std::uint32_t place);
    std::uint64_t* holders(std::uint32_t place);
    const std::uint64_t* holders(std::uint32_t place) const;
    void set_holder(block_hash hash, target_slot slot);
    void clear_holder(block_hash hash, target_slot slot);

    prefix_index_options options_;
    std::size_t words_;
    std::vector<entry> entries_;
    std::vector<std::uint64_t> holders_;
    std::unordered_map<block_hash, std::uint32_t> places_;
    std::vector<target_belief> beliefs_;
    std::uint32_t newest_ = none;
    std::uint32_t oldest_ = none;
};

} // namespace fennelladder::routing

#endif
