// Conversions of single values between messages and Thrift's structs, shared by
// the codecs of this folder. All functions are thread safe.

#ifndef FENNELLADDER_MESH_WIRE_VALUES_HPP
#define FENNELLADDER_MESH_WIRE_VALUES_HPP

#include "fennelladder/mesh/messages.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fennelladder::mesh {

inline std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

template <class Id>
Id id_of(std::int64_t value)
{
    return Id(static_cast<std::uint64_t>(value));
}

/// Of the lowest era if the sender states none.
inline catalog::revision revision_from(std::int64_t count, bool states_era,
                                       std::int64_t era)
{
    return catalog::revision(static_cast<std::uint64_t>(count),
                             states_era && era > 0
                                 ? id_of<catalog::store_era>(era)
                                 : catalog::store_era());
}

/// A negative start counts as unknown; converted to unsigned, it would be later
/// than all others.
inline catalog::target_start start_of(std::int64_t ms)
{
    return ms < 0 ? catalog::target_start() : id_of<catalog::target_start>(ms);
}

inline bool is_id(const std::string& text)
{
    return !text.empty() && text.size() <= max_id_bytes;
}

inline bool is_amount(std::int64_t count)
{
    return count >= 0 && tokens(count) <= max_token_amount;
}

/// Upper limit of an age on the wire; ages of weeks and of hours mean the same
/// to a receiver.
inline constexpr duration max_age = seconds(3600);

inline std::int32_t age_to_wire(duration age)
{
    const auto ms =
        std::chrono::duration_cast<milliseconds>(std::min(age, max_age));
    return static_cast<std::int32_t>(ms.count());
}

/// Rejects a negative age, which would be a confirmation in the future.
inline std::optional<duration> age_of(bool known, std::int32_t ms)
{
    if (!known || ms < 0)
        return std::nullopt;
    return milliseconds(ms);
}

inline std::int64_t milliseconds_of(instant at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch())
        .count();
}

/// Unset for a time that doesn't fit an instant.
inline std::optional<instant> instant_of(bool known, std::int64_t ms)
{
    constexpr std::int64_t max_ms =
        std::chrono::duration_cast<milliseconds>(duration::max()).count();
    if (!known || ms < 0 || ms > max_ms)
        return std::nullopt;
    return instant(milliseconds(ms));
}

/// The first max_heartbeat_rows rows. Each row is looked up among all known
/// entries, so the time would grow with the square of a list that a peer makes
/// as long as a datagram holds.
template <class Row>
std::span<const Row> first_rows(const std::vector<Row>& all,
                                std::size_t& invalid_parts)
{
    const std::size_t n = std::min(all.size(), max_heartbeat_rows);
    invalid_parts += all.size() - n;
    return std::span(all).first(n);
}

/// Those of the addresses that are valid.
std::vector<std::string> addresses_from(const std::vector<std::string>& all,
                                        std::size_t& invalid_parts);

} // namespace fennelladder::mesh

#endif
