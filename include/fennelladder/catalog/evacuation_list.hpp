// The data centres that the operator has evacuated: their targets get no new
// work until the operator takes the evacuation back.
//
//     evacuation_list evacuations;
//     if (evacuations.replace_all({names, as_of}))  // a full listing
//         ... new choices leave these data centres out ...
//     evacuations.contains(data_center)
//
// The whole state is a few names, so nodes tell each other all of it; the
// later revision holds. It mirrors one linear history and never goes back.
//
// An evacuation of a data centre without targets, or of one that nobody has
// heard of, is kept like any other: its targets may come later. Of all data
// centres at once: nothing is sent anywhere.

#ifndef FENNELLADDER_CATALOG_EVACUATION_LIST_HPP
#define FENNELLADDER_CATALOG_EVACUATION_LIST_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/catalog/target_entry.hpp"

#include <cstddef>
#include <vector>

namespace fennelladder::catalog {

/// Data centres evacuated at once at most. More are no deployment's, and would
/// not fit what nodes tell each other.
inline constexpr std::size_t max_evacuations = 256;

/// All that is evacuated as of a revision.
struct evacuation_state
{
    std::vector<data_center_id> data_centers;
    revision as_of;

    friend bool operator==(const evacuation_state&,
                           const evacuation_state&) = default;
};

/// An evacuation was asked for, or taken back.
struct evacuation_change
{
    data_center_id data_center;
    bool evacuated = false;
};

/// Not thread safe.
class evacuation_list
{
public:
    /// Takes the whole state, in any order; one older than what is known is
    /// passed over. True if other data centres are evacuated now, or if it is
    /// the first one taken.
    bool replace_all(evacuation_state state);

    /// Takes the changes between as_of() and `as_of`, in their order. Returns
    /// as replace_all().
    /// Precondition: known(), and `changes` is complete for that span.
    bool apply(const std::vector<evacuation_change>& changes, revision as_of);

    bool contains(const data_center_id& data_center) const;

    /// Sorted, without repetition.
    const evacuation_state& state() const { return state_; }

    revision as_of() const { return state_.as_of; }

    /// Whether any state was taken yet.
    bool known() const { return known_; }

private:
    evacuation_state state_;
    bool known_ = false;
};

} // namespace fennelladder::catalog

#endif
