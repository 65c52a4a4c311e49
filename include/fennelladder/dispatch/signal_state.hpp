// The signals of one process of a target that still hold.
//
//     signal_state signals;
//     signal_changes changes = signals.apply(signals_of_answer, now);
//     if (signals.leaving() || signals.backoff_left(now) > duration(0)) ...
//
// The signals, which nodes each one binds, and what ends it:
//
// - leaving, from answers and peers: binds all nodes, and ends with the
//   process.
// - backoff, from rejections: binds this node, and ends when
//   its time is over.
// - cold, from answers, entries and the end of an evacuation: binds all nodes
//   together, and ends when its time is over.
// - limit, from answers and peers: binds all nodes together, and ends with a
//   later answer without one, or when no node got a limit signal for long.
//
// Nothing else ends a signal. The platform's list may be older than an answer,
// so neither an entry nor a missing entry revokes one: the state is kept while
// it is_active(). Answers may arrive in any order, so a shorter backoff doesn't
// end a longer one. A new process begins with a new state.
//
// Not thread safe.

#ifndef FENNELLADDER_DISPATCH_SIGNAL_STATE_HPP
#define FENNELLADDER_DISPATCH_SIGNAL_STATE_HPP

#include "fennelladder/catalog/target_signals.hpp"

#include <optional>

namespace fennelladder::dispatch {

/// Which signals changed the state.
struct signal_changes
{
    bool leaving = false;
    bool backoff = false;
    bool rate_limit = false;

    bool any() const { return leaving || backoff || rate_limit; }
};

/// The request limit that a target announced, or that it has none.
struct rate_signal
{
    std::optional<double> rate; ///< A second, from all nodes; unset: no limit.
    duration ago{0};
};

class signal_state
{
public:
    /// Applies the signals of an answer to this node.
    signal_changes apply(const catalog::target_signals& signals, instant now);

    /// A peer reports that the process is leaving. Returns whether that is new.
    bool apply_peer_leaving(instant now);

    /// A peer reports the limit it received at `at`; ignored if older than the
    /// last known signal. Returns whether the limit changed.
    bool apply_peer_limit(std::optional<double> rate, instant at);

    /// The process is cold at least until `until`, by its entry or because an
    /// evacuation ended.
    void extend_cold_until(instant until);

    bool leaving() const { return leaving_; }
    duration backoff_left(instant now) const;
    bool is_cold(instant now) const { return now < cold_until_; }

    /// Requests a second from all nodes; unset if no limit is known.
    std::optional<double> rate_limit(instant now) const;

    /// Time since any node last got a signal on the limit.
    duration limit_signal_age(instant now) const
    {
        return now - limit_signal_time_;
    }

    /// This node's own limit signal to send to its peers; unset if it got none
    /// recently.
    std::optional<rate_signal> limit_for_peers(instant now) const;

    /// How long ago an answer first announced to this node that the process is
    /// leaving; unset if never, or too long ago to be sent to peers.
    std::optional<duration> leaving_for_peers(instant now) const;

    /// Whether any signal still holds, so that the state must outlive the
    /// target's entry.
    bool is_active(instant now) const;

private:
    bool leaving_ = false;
    instant leaving_heard_;     ///< Last, from any source.
    instant own_leaving_heard_; ///< First, in an answer to this node.
    instant backoff_until_;
    instant cold_until_;
    std::optional<double> rate_limit_; ///< Latest signal to any node.
    instant limit_signal_time_;
    std::optional<double> own_rate_; ///< Latest signal to this node.
    instant own_limit_signal_time_;
    instant own_limit_announced_; ///< When this node last got a limit.
};

} // namespace fennelladder::dispatch

#endif
