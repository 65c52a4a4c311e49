// Position in the history of the platform's store.
//
//     revision seen(4711, store_era(2));
//     if (other > seen) ...            // a later era is later, whatever its
//                                      // counter says
//
// The store counts its changes. It may be restored from a copy that is some
// seconds old: it then loses what it acknowledged since, and assigns the same
// counts again to other changes. Each restore begins a new era. Only positions
// with their era can be compared; a count alone says nothing.
//
// Era 0 is the lowest. It is that of a store that states no era, and of
// messages from nodes of earlier releases.

#ifndef FENNELLADDER_CATALOG_REVISION_HPP
#define FENNELLADDER_CATALOG_REVISION_HPP

#include "fennelladder/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace fennelladder::catalog {

/// Counts how often the store was restored from an older copy.
using store_era = number_id<struct store_era_tag>;

/// Thread safe.
class revision
{
public:
    constexpr revision() = default;

    constexpr explicit revision(std::uint64_t count,
                                store_era era = store_era())
        : era_(era), count_(count)
    {}

    constexpr store_era era() const { return era_; }

    /// The store's count within the era, for messages and logs only.
    constexpr std::uint64_t value() const { return count_; }

    /// The position after this one in the same era.
    constexpr revision next() const { return revision(count_ + 1, era_); }

    friend constexpr auto operator<=>(const revision&,
                                      const revision&) = default;

    friend std::ostream& operator<<(std::ostream& out, const revision& it)
    {
        return out << it.era_ << '/' << it.count_;
    }

private:
    store_era era_; // First: positions are ordered by era, then by count.
    std::uint64_t count_ = 0;
};

/// As "era/count", for logs.
inline std::string to_string(const revision& it)
{
    return std::to_string(it.era().value()) + "/" + std::to_string(it.value());
}

} // namespace fennelladder::catalog

#endif
