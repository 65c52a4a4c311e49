// Divides the memory for what callers have sent, or haven't read yet, among
// their exchanges, and decides which of them gives way when it is spent.
//
//     buffer_budget budget(limits);
//     const exchange_id id = budget.begin(now);        // its first byte
//     arrived budget.note_progress(id, bytes, now);            // more of them
//     did const claim_result got = budget.claim(id, held, now); for (const
//     displaced& it : got.displaced) ...    // answer and close these if
//     (!got.granted) ...                            // or this one
//     ... budget.start_serving(id, held, now) ...
//     budget.end(id);
//
// An exchange is one request and its response. Everything that it holds counts
// from its first byte. A claim that fits is granted. If one doesn't fit:
//
//   1. Exchanges that are behind give way, the one that is furthest behind
//      first: requests that arrive, and responses that are read, at less than
//      `min_bytes_per_second`.
//   2. Then requests that hold more than the claimant gives way, the largest
//      first. So large requests can't shut out small ones.
//   3. Then the claimant is refused.
//
// A request that is being served never gives way, since it may have run. Only
// its unread response does, by the first rule.
//
// Who has fallen behind isn't disturbed as long as there is room.
//
// Cost: logarithmic in the number of exchanges, and as much for each one that
// gives way. Pure computation. Not thread safe.

#ifndef FENNELLADDER_DISPATCH_BUFFER_BUDGET_HPP
#define FENNELLADDER_DISPATCH_BUFFER_BUDGET_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::dispatch {

using exchange_id = number_id<struct exchange_tag>;

struct buffer_limits
{
    std::size_t total_bytes = 0;
    /// Of the total, what requests that are being served may hold. The rest is
    /// left for reading.
    std::size_t serving_bytes = 0;
    std::size_t served = 0; ///< Requests served at once.
};

/// The pace that an exchange has to keep while others need its memory.
struct pace_options
{
    double min_bytes_per_second = 1024;
    /// How far a fast exchange may be ahead of that pace, and how long one may
    /// pause after its first byte.
    duration max_lead = seconds(2);
};

/// Why an exchange gives way.
enum class displacement : std::uint8_t
{
    behind, ///< It is slower than the pace.
    larger, ///< It holds more than others that need the memory.
    full    ///< Nothing else may give way.
};

std::string_view to_string(displacement value);

struct displaced
{
    exchange_id exchange;
    displacement why = displacement::behind;
};

struct claim_result
{
    bool granted = false;
    displacement refused = displacement::full; ///< If it isn't granted.
    /// These hold nothing any more. The caller of the function frees their
    /// memory, and calls end() when they are over.
    std::vector<displaced> others;
};

/// Not thread safe.
class buffer_budget
{
public:
    explicit buffer_budget(buffer_limits limits, pace_options pace = {});

    /// Registers a request whose first byte has arrived. It holds nothing yet.
    exchange_id begin(instant now);

    /// Removes an exchange. Precondition for this and all functions that take
    /// an id: it is from begin() and was not removed.
    void end(exchange_id id);

    /// Records that `bytes` arrived, or of its response were read.
    void note_progress(exchange_id id, std::size_t bytes, instant now);

    /// Changes what the exchange holds to `bytes`. A smaller amount is always
    /// granted. Without a grant it holds what it held before; a request that
    /// is still being read has to be refused then. An exchange that was
    /// displaced is granted nothing.
    claim_result claim(exchange_id id, std::size_t bytes, instant now);

    /// The same for a request that has arrived whole and is served from now
    /// on, if granted.
    claim_result start_serving(exchange_id id, std::size_t bytes, instant now);

    /// Records whether the response waits for its caller to read. Precondition:
    /// the exchange is being served, or was displaced.
    void set_unread(exchange_id id, bool waits, instant now);

    /// Takes all memory from the exchange that is furthest behind; nothing if
    /// none is. For a connection that needs its place.
    std::optional<displaced> displace_slowest(instant now);

    /// Returns the exchanges that give way if the limits are lower.
    std::vector<displaced> set_limits(buffer_limits limits, instant now);

    const buffer_limits& limits() const { return limits_; }

    /// Whether a request of this size would be served now if it were read.
    bool may_serve(std::size_t bytes) const;

    std::size_t held() const { return held_; }
    std::size_t held_by_served() const { return held_by_served_; }
    std::size_t served() const { return served_; }
    std::size_t exchanges() const { return exchanges_.size(); }

private:
    enum class phase : std::uint8_t
    {
        reading,
        serving,
        unread, ///< Being served; the response waits for its caller.
        over    ///< Displaced.
    };

    struct exchange
    {
        phase now = phase::reading;
        std::size_t held = 0;
        instant behind_from; ///< When it is behind if nothing more arrives.
    };

    using by_pace = std::set<std::pair<instant, exchange_id>>;
    using by_size = std::set<std::pair<std::size_t, exchange_id>>;

    static bool is_served(phase of);
    static bool may_be_displaced(const exchange& it);
    void list(exchange_id id, const exchange& it);
    void unlist(exchange_id id, const exchange& it);
    void set_held(exchange& it, std::size_t bytes);
    void set_phase(exchange_id id, exchange& it, phase to);
    void displace(exchange_id id);
    static std::optional<displaced> slowest(const by_pace& of, instant now);
    std::optional<displaced> next_to_give_way(std::size_t bytes,
                                              instant now) const;
    bool make_room(exchange_id id, std::size_t bytes, instant now,
                   claim_result& out);

    buffer_limits limits_;
    const pace_options pace_;
    std::unordered_map<exchange_id, exchange> exchanges_;
    by_pace by_pace_;        ///< Of those that may be displaced.
    by_pace unread_by_pace_; ///< Of those that wait for their callers.
    by_size by_size_;        ///< Of those that are being read.
    std::uint64_t last_id_ = 0;
    std::size_t held_ = 0;
    std::size_t held_by_served_ = 0;
    std::size_t served_ = 0;
};

} // namespace fennelladder::dispatch

#endif
