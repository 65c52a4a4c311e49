// Each block has a row of bits, one per target slot. A match walks the chain
// from its start and keeps the targets that hold every block so far: one AND
// over max_targets / 64 words per block, whatever the number of holders. A
// map from block to a list of holders would cost one step per holder, and the
// blocks asked for most, the common system prompts, are held everywhere.
//
// The rows live in one array and are reused in order of last use, so memory
// never grows past max_blocks rows.

#include "fennelladder/routing/prefix_index.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <bit>
#include <cassert>

namespace fennelladder::routing {

namespace {

constexpr std::size_t word_bits = 64;

} // namespace

std::vector<block_hash> hash_prefix(std::string_view prompt,
                                    std::size_t block_bytes,
                                    std::size_t max_blocks)
{
    assert(block_bytes > 0);
    const auto n = std::min(prompt.size() / block_bytes, max_blocks);
    std::vector<block_hash> chain;
    chain.reserve(n);
    block_hash last = 0;
    for (std::size_t it = 0; it < n; ++it) {
        last = hash64(prompt.substr(it * block_bytes, block_bytes), last);
        chain.push_back(last);
    }
    return chain;
}

prefix_index::prefix_index(prefix_index_options options)
    : options_(options),
      words_((options.max_targets + word_bits - 1) / word_bits)
{
    options_.max_blocks = std::max<std::size_t>(options_.max_blocks, 1);
    places_.reserve(options_.max_blocks);
}

bool prefix_index::apply(target_slot slot, const cache_event& event)
{
    if (!indexed(slot))
        return false;
    target_belief& it = belief(slot);
    // Guards against lost events: an eviction that never arrives shows only
    // as a jump in the numbers, and leaves beliefs that no longer hold.
    const bool gap = it.next_sequence != 0 && event.sequence > it.next_sequence;
    if (gap)
        it.confidence *= options_.gap_factor;
    // Guards against a restarted engine: it counts from the start again, and
    // its cache is empty.
    const bool restarted = event.what == cache_event::kind::cleared;
    if (restarted) {
        forget(slot);
        belief(slot).next_sequence = event.sequence + 1;
        return gap;
    }
    it.next_sequence = std::max(it.next_sequence, event.sequence + 1);
    for (const block_hash hash : event.blocks) {
        if (event.what == cache_event::kind::stored)
            set_holder(hash, slot);
        else
            clear_holder(hash, slot);
    }
    return gap;
}

void prefix_index::dispatched(target_slot slot,
                              std::span<const block_hash> chain)
{
    if (!indexed(slot))
        return;
    // The end of the chain is the first to be touched, so that under pressure
    // an entry goes before the ones it builds on.
    for (auto it = chain.rbegin(); it != chain.rend(); ++it)
        set_holder(*it, slot);
}

void prefix_index::observed(target_slot slot, std::uint32_t predicted,
                            std::uint32_t actual)
{
    if (!indexed(slot) || predicted == 0)
        return;
    const double held =
        static_cast<double>(std::min(actual, predicted)) / predicted;
    double& now = belief(slot).confidence;
    now += options_.learning_rate * (held - now);
}

void prefix_index::forget(target_slot slot)
{
    if (!indexed(slot))
        return;
    const auto mask = ~(std::uint64_t(1) << (slot % word_bits));
    for (std::size_t it = slot / word_bits; it < holders_.size(); it += words_)
        holders_[it] &= mask;
    belief(slot) = target_belief();
}

prefix_match prefix_index::match(std::span<const block_hash> chain) const
{
    prefix_match found;
    std::vector<std::uint64_t> alive;
    for (const block_hash hash : chain) {
        const auto place = places_.find(hash);
        if (place == places_.end())
            break;
        const std::uint64_t* row = holders(place->second);
        if (found.best_ == 0) {
            alive.assign(row, row + words_);
            found.blocks_.assign(words_ * word_bits, 0);
        }
        std::uint64_t any = 0;
        for (std::size_t n = 0; n < words_; ++n) {
            // Those that hold no more keep the count written for them here.
            for (auto gone = alive[n] & ~row[n]; gone != 0; gone &= gone - 1) {
                const auto bit =
                    static_cast<std::size_t>(std::countr_zero(gone));
                found.blocks_[n * word_bits + bit] =
                    static_cast<std::uint16_t>(found.best_);
            }
            alive[n] &= row[n];
            any |= alive[n];
        }
        if (any == 0)
            break;
        ++found.best_;
    }
    for (std::size_t n = 0; n < alive.size(); ++n) {
        for (auto rest = alive[n]; rest != 0; rest &= rest - 1) {
            const auto bit = static_cast<std::size_t>(std::countr_zero(rest));
            found.blocks_[n * word_bits + bit] =
                static_cast<std::uint16_t>(found.best_);
        }
    }
    return found;
}

double prefix_index::confidence(target_slot slot) const
{
    return slot < beliefs_.size() ? beliefs_[slot].confidence : 1;
}

bool prefix_index::indexed(target_slot slot) const
{
    return slot < words_ * word_bits;
}

prefix_index::target_belief& prefix_index::belief(target_slot slot)
{
    if (slot >= beliefs_.size())
        beliefs_.resize(slot + 1);
    return beliefs_[slot];
}

std::uint32_t prefix_index::find_or_add(block_hash hash)
{
    const auto known = places_.find(hash);
    if (known != places_.end()) {
        unlink(known->second);
        link_newest(known->second);
        return known->second;
    }
    const std::uint32_t place = take_place();
    entries_[place].hash = hash;
    std::fill_n(holders(place), words_, 0);
    places_.emplace(hash, place);
    link_newest(place);
    return place;
}

std::uint32_t prefix_index::take_place()
{
    if (entries_.size() < options_.max_blocks) {
        entries_.emplace_back();
        holders_.resize(entries_.size() * words_);
        return static_cast<std::uint32_t>(entries_.size() - 1);
    }
    const std::uint32_t place = oldest_;
    unlink(place);
    places_.erase(entries_[place].hash);
    return place;
}

void prefix_index::unlink(std::uint32_t place)
{
    const entry& it = entries_[place];
    if (it.newer != none)
        entries_[it.newer].older = it.older;
    else
        newest_ = it.older;
    if (it.older != none)
        entries_[it.older].newer = it.newer;
    else
        oldest_ = it.newer;
}

void prefix_index::link_newest(std::uint32_t place)
{
    entry& it = entries_[place];
    it.newer = none;
    it.older = newest_;
    if (newest_ != none)
        entries_[newest_].newer = place;
    newest_ = place;
    if (oldest_ == none)
        oldest_ = place;
}

std::uint64_t* prefix_index::holders(std::uint32_t place)
{
    return holders_.data() + place * words_;
}

const std::uint64_t* prefix_index::holders(std::uint32_t place) const
{
    return holders_.data() + place * words_;
}

void prefix_index::set_holder(block_hash hash, target_slot slot)
{
    holders(find_or_add(hash))[slot / word_bits] |= std::uint64_t(1)
                                                    << (slot % word_bits);
}

void prefix_index::clear_holder(block_hash hash, target_slot slot)
{
    const auto known = places_.find(hash);
    if (known == places_.end())
        return;
    holders(known->second)[slot / word_bits] &=
        ~(std::uint64_t(1) << (slot % word_bits));
}

} // namespace fennelladder::routing
