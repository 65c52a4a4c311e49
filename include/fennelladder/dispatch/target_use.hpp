// One request that counts at one entry of a target.
//
//     target_use use = registry.started(*made, request, now);
//     registry.first_byte(use, waited, now);
//     registry.finished(std::move(use), evidence, now);
//
// The counts belong to the entry that was listed when the request started, not
// to the target's id: an entry that is removed, listed again, or replaced by a
// later start of the same id has counts of its own. A use that is destroyed
// without having been finished takes back what it counted, and shows nothing
// about the target.
//
// Not thread safe.

#ifndef FENNELLADDER_DISPATCH_TARGET_USE_HPP
#define FENNELLADDER_DISPATCH_TARGET_USE_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/target_entry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace fennelladder::dispatch {

/// Work added to a target's load, to be subtracted with the same value.
struct assigned_work
{
    std::uint32_t reading = 0;    ///< Prompt tokens to prefill.
    std::uint32_t max_tokens = 0; ///< That it may use: prompt and answer.
    int urgency = 0;
    double ahead = 0; ///< Tokens to be read before, when it was chosen.
};

/// A target chosen for a request.
struct choice
{
    target_id target;
    catalog::target_start start; ///< Of the process that was chosen.
    std::string address;
    data_center_id data_center;
    catalog::software_version software;
    assigned_work work;
    duration predicted{0}; ///< Time to first byte of an average target.
    double cost = 0;       ///< Of the chosen target, in seconds.
    std::size_t candidates = 0;
    int running = 0; ///< Requests there, as known when it was chosen.
    /// Address of a target that holds more of the prompt's shared parts; empty
    /// if a fetch isn't worth it.
    std::string fetch_from;
    bool relayed = false;       ///< Only peers reach the target.
    bool teaches_curve = false; ///< Its wait is evidence for a service curve.

    catalog::target_process process() const { return {target, start}; }
};

/// Urgency levels that are counted separately; less urgent ones count as last.
inline constexpr std::size_t urgency_levels = 4;

/// The requests of this node that run at one entry of a target.
struct running_work
{
    int requests = 0;
    int awaiting_first_byte = 0; ///< Requests.
    std::int64_t reading = 0;    ///< Prompt tokens, of those that wait.
    std::int64_t max_tokens = 0;
    /// The part of `reading` by urgency, and how many wait.
    std::array<std::int64_t, urgency_levels> reading_by_urgency{};
    std::array<int, urgency_levels> waiting_by_urgency{};
};

class target_use
{
public:
    /// Counts the request's work. Null `counted`: counts nowhere.
    target_use(choice made, std::shared_ptr<running_work> counted);
    target_use(target_use&& other) noexcept = default;
    target_use& operator=(target_use&& other) = delete;
    ~target_use() { end(); }

    const choice& made() const { return made_; }

    /// The request waits no longer for its first byte. Returns false if that
    /// was known.
    bool end_waiting();

    /// Takes back all that is still counted.
    void end();

private:
    void count_waiting(int sign);

    choice made_;
    std::shared_ptr<running_work> counted_; ///< Null after a move or an end.
    bool waits_ = true;                     ///< For the first byte.
};

} // namespace fennelladder::dispatch

#endif
