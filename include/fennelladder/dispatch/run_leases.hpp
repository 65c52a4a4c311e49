// Lets one request at a time run with each mark that is suspected of crashing
// targets.
//
// One node of the fleet, on which all agree, decides for each service. The
// others ask it before they send a request with a mark that isn't clear:
//
//     const lease_reply got = leases.ask(holder, marks, place, table, now);
//     if (got.granted) ... run it ...
//     leases.end(holder, hold, now);
//
// A lease covers all marks of the request that aren't known to be harmless. It
// ends when its holder says so, or by itself if that is lost. After a run whose
// end is in doubt it is held on until a death would be known.
//
// Not thread safe.

#ifndef FENNELLADDER_DISPATCH_RUN_LEASES_HPP
#define FENNELLADDER_DISPATCH_RUN_LEASES_HPP

#include "fennelladder/dispatch/quarantine.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace fennelladder::dispatch {

/// One request that asks: the incarnation of its node, and its number there.
struct lease_holder
{
    std::uint64_t node = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const lease_holder&, const lease_holder&) = default;
};

struct lease_reply
{
    bool granted = false;
    duration retry_after{0}; ///< If it wasn't granted.
};

struct run_lease_options
{
    /// A lease whose end was never heard of ends after this time.
    duration lifetime = seconds(15);
    /// When to ask again for a mark with which another request runs.
    duration busy_retry = seconds(1);
    /// Between two trials of a condemned mark, whatever became of the first.
    duration trial_interval = seconds(10);
    std::size_t max_leases = 16'384;
};

class run_leases
{
public:
    explicit run_leases(run_lease_options options = {}) : options_(options) {}

    /// Asks for a run with these marks at `place`. Marks that `table` knows to
    /// be harmless need no lease; those that it doesn't know do, since the
    /// holder knows more. Asking again with the same holder changes nothing.
    lease_reply ask(const lease_holder& holder,
                    std::span<const crash_mark> marks, run_place place,
                    const quarantine& table, instant now);

    /// The holder's run is over. Its marks are free again after `hold`.
    void end(const lease_holder& holder, duration hold, instant now);

    std::size_t size() const { return leases_.size(); }

private:
    struct lease
    {
        lease_holder holder;
        instant granted;
        instant ends;
        bool is_trial = false;
    };

    void evict(instant now);

    run_lease_options options_;
    std::unordered_map<crash_mark, lease> leases_;
};

} // namespace fennelladder::dispatch

#endif
