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
// - brittle, from answers and peers: binds all nodes together, and ends like a
//   limit.
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
    bool brittle = false;

    bool any() const { return leaving || backoff || rate_limit || brittle; }
};

/// A value that a target announced, or that it announced none.
struct rate_signal
{
    std::optional<double> rate; ///< A second, from all nodes; unset: no limit.
    duration ago{0};
};

/// A value that targets announce in their answers until an answer comes without
/// it, as known from answers to this node and from peers.
class announced_value
{
public:
    /// An answer to this node, without the value if it has ended. Returns
    /// whether it changed.
    bool apply(std::optional<double> value, instant now);

    /// A peer reports what it received at `at`; ignored if older than the last
    /// signal. Returns whether the value changed.
    bool apply_peer(std::optional<double> value, instant at);

    /// Unset if none is known, or if no node got a signal for long.
    std::optional<double> value(instant now) const;

    /// When any node last got a signal.
    instant signalled() const { return signalled_; }

    /// This node's own signal to send to its peers; unset if it got none
    /// recently.
    std::optional<rate_signal> for_peers(instant now) const;

private:
    std::optional<double> value_; ///< Latest signal to any node.
    instant signalled_;
    std::optional<double> own_value_; ///< Latest signal to this node.
    instant own_signalled_;
    instant own_announced_; ///< When this node last got a value.
};

class signal_state
{
public:
    /// Applies the signals of an answer to this node.
    signal_changes apply(const catalog::target_signals& signals, instant now);

    /// A peer reports that the process is leaving. Returns whether that is new.
    bool apply_peer_leaving(instant now);

    /// A peer reports the limit it received at `at`. Returns whether the limit
    /// changed.
    bool apply_peer_limit(std::optional<double> rate, instant at)
    {
        return limit_.apply_peer(rate, at);
    }

    /// The same for the rejections that a brittle target survives.
    bool apply_peer_brittle(std::optional<double> bound, instant at)
    {
        return brittle_.apply_peer(bound, at);
    }

    /// The process is cold at least until `until`, by its entry or because an
    /// evacuation ended.
    void extend_cold_until(instant until);

    bool leaving() const { return leaving_; }
    duration backoff_left(instant now) const;
    bool is_cold(instant now) const { return now < cold_until_; }

    /// Requests a second from all nodes; unset if no limit is known.
    std::optional<double> rate_limit(instant now) const
    {
        return limit_.value(now);
    }

    /// Time since any node last got a signal on the limit.
    duration limit_signal_age(instant now) const
    {
        return now - limit_.signalled();
    }

    /// Rejections a second that the target survives; unset if it isn't known to
    /// be brittle.
    std::optional<double> max_rejections(instant now) const
    {
        return brittle_.value(now);
    }

    /// When any node last heard whether the target is brittle.
    instant brittle_signalled() const { return brittle_.signalled(); }

    /// This node's own signals to send to its peers.
    std::optional<rate_signal> limit_for_peers(instant now) const
    {
        return limit_.for_peers(now);
    }
    std::optional<rate_signal> brittle_for_peers(instant now) const
    {
        return brittle_.for_peers(now);
    }

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
    announced_value limit_;
    announced_value brittle_;
};

} // namespace fennelladder::dispatch

#endif
