// Data centres that the operator has evacuated: their targets get no new
// requests until the operator ends the evacuation.
//
//     evacuation_list evacuations;
//     if (evacuations.replace_all({names, as_of}))  // a full listing
//         ... target selection skips these data centres ...
//     evacuations.contains(data_center)
//
// The whole state is a few names, so nodes exchange all of it, and the later
// revision wins. It mirrors one linear history and never goes back, except when
// the platform's store is restored from an older copy (see revision.hpp): an
// evacuation that the copy lacks is kept by this node until the operator has
// had time to write it again, see drop_kept().
//
// An evacuation of a data centre that has no targets or is unknown is kept
// like any other: its targets may appear later. If all data centres are
// evacuated, no request is sent anywhere.

#ifndef FENNELLADDER_CATALOG_EVACUATION_LIST_HPP
#define FENNELLADDER_CATALOG_EVACUATION_LIST_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/catalog/target_entry.hpp"

#include <cstddef>
#include <vector>

namespace fennelladder::catalog {

/// Most data centres evacuated at the same time. No deployment has more, and
/// they wouldn't fit a heartbeat.
inline constexpr std::size_t max_evacuations = 256;

/// All evacuated data centres as of a revision.
struct evacuation_state
{
    std::vector<data_center_id> data_centers;
    revision as_of;

    friend bool operator==(const evacuation_state&,
                           const evacuation_state&) = default;
};

/// The operator started or ended an evacuation.
struct evacuation_change
{
    data_center_id data_center;
    bool evacuated = false;
};

/// Not thread safe.
class evacuation_list
{
public:
    /// Replaces the whole state, given in any order; ignores one older than the
    /// current. Returns true if the set of evacuated data centres changed, or
    /// if this is the first state of its era.
    bool replace_all(evacuation_state state);

    /// Applies the changes between as_of() and `as_of`, in order. Returns as
    /// replace_all() does.
    /// Precondition: known(), and `changes` is complete for that span.
    bool apply(const std::vector<evacuation_change>& changes, revision as_of);

    bool contains(const data_center_id& data_center) const;

    /// As listed by the platform; sorted, without duplicates.
    const evacuation_state& state() const { return state_; }

    /// All data centres that are evacuated here: those listed and those kept
    /// from an earlier era. Sorted, without duplicates.
    std::vector<data_center_id> in_force() const;

    /// Whether any is kept from an earlier era.
    bool keeps_any() const { return !kept_.empty(); }

    /// Ends what is kept. Returns whether in_force() changed.
    bool drop_kept();

    revision as_of() const { return state_.as_of; }

    /// Whether any state has been received.
    bool known() const { return has_state_; }

private:
    evacuation_state state_;
    std::vector<data_center_id> kept_; ///< Not in state_; sorted.
    bool has_state_ = false;
};

} // namespace fennelladder::catalog

#endif
