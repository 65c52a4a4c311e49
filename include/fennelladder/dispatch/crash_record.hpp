// What is known of a request, or of a part of prompts, that may crash targets;
// what nodes tell each other about it.
//
// A request that runs at a target when the target dies may have caused that, by
// itself or by a part of its prompt. Nodes record both under marks:
//
//     crash_mark::of(fingerprint)     // the same request, sent again
//     crash_mark::of_part(id)         // any request whose prompt has the part
//
// The last part of a prompt belongs to one request or session, and gets none.
// Neither the team nor the service is part of a mark: a part has the same
// effect whoever sends it.

#ifndef FENNELLADDER_DISPATCH_CRASH_RECORD_HPP
#define FENNELLADDER_DISPATCH_CRASH_RECORD_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/request_fingerprint.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fennelladder::dispatch {

/// Identifies a request or a part of prompts.
struct crash_mark
{
    std::uint64_t value = 0;
    bool is_part = false;

    static crash_mark of(request_fingerprint request)
    {
        return {request.value(), false};
    }

    static crash_mark of_part(std::uint64_t part) { return {part, true}; }

    /// "part 1f" or "request 1f", in hexadecimal.
    std::string text() const;

    friend auto operator<=>(const crash_mark&, const crash_mark&) = default;
};

/// Identifies the targets of a service that run the same software. An answer by
/// one of them shows what others of the same kind do with a part.
using run_place = number_id<struct run_place_tag>;

/// The result has 31 bits.
run_place place_of(const service_id& service,
                   const catalog::software_version& software);

/// A process of a target that died while a marked request ran there. `Time` is
/// `instant` at a node, and `duration` (the age) in messages.
template <class Time>
struct crash_death
{
    catalog::target_process target;
    run_place place;
    Time at{};           ///< When its answer broke off.
    duration ran{0};     ///< From its sending until then.
    bool leased = false; ///< No other request with the mark ran meanwhile.
};

/// The last whole answer to a marked request at a place.
template <class Time>
struct crash_answer
{
    run_place place;
    Time at{};
};

/// All that is known under one mark.
template <class Time>
struct basic_crash_record
{
    crash_mark mark;
    std::vector<crash_death<Time>> deaths;   ///< One a process.
    std::vector<crash_answer<Time>> answers; ///< One a place.
};

/// For peers: times are ages.
using crash_record = basic_crash_record<duration>;

} // namespace fennelladder::dispatch

template <>
struct std::hash<fennelladder::dispatch::crash_mark>
{
    std::size_t operator()(const fennelladder::dispatch::crash_mark& it) const
    {
        return std::hash<std::uint64_t>()(it.value * 2 + it.is_part);
    }
};

#endif
