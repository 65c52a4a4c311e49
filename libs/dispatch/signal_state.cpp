#include "fennelladder/dispatch/signal_state.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::dispatch {

namespace {

/// A value expires when no node got a signal on it for this long: the target
/// can't have had a request since.
constexpr duration signal_memory = minutes(2);

/// An entry that isn't listed for this long after its process announced that
/// it is leaving doesn't come back.
constexpr duration leaving_memory = minutes(10);

/// How long a signal is reported to peers.
constexpr duration peer_report_span = seconds(10);

bool is_within(instant at, duration span, instant now)
{
    return at != instant() && now - at <= span;
}

} // namespace

bool announced_value::apply(std::optional<double> value, instant now)
{
    own_value_ = value;
    own_signalled_ = now;
    if (value)
        own_announced_ = now;
    return apply_peer(value, now);
}

bool announced_value::apply_peer(std::optional<double> value, instant at)
{
    if (at < signalled_)
        return false;
    signalled_ = at;
    return std::exchange(value_, value) != value;
}

std::optional<double> announced_value::value(instant now) const
{
    return now - signalled_ > signal_memory ? std::nullopt : value_;
}

std::optional<rate_signal> announced_value::for_peers(instant now) const
{
    if (!is_within(own_announced_, peer_report_span, now))
        return std::nullopt;
    return rate_signal{own_value_, now - own_signalled_};
}

signal_changes signal_state::apply(const catalog::target_signals& signals,
                                   instant now)
{
    signal_changes out;
    if (signals.leaving) {
        out.leaving = apply_peer_leaving(now);
        if (own_leaving_heard_ == instant())
            own_leaving_heard_ = now;
    }
    if (signals.backoff && now + *signals.backoff > backoff_until_) {
        backoff_until_ = now + *signals.backoff;
        out.backoff = true;
    }
    if (signals.remaining_cold)
        extend_cold_until(now + *signals.remaining_cold);
    if (signals.rate_limit || signals.is_latest)
        out.rate_limit = limit_.apply(signals.rate_limit, now);
    if (signals.max_rejections || signals.is_latest)
        out.brittle = brittle_.apply(signals.max_rejections, now);
    return out;
}

bool signal_state::apply_peer_leaving(instant now)
{
    leaving_heard_ = now;
    return !std::exchange(leaving_, true);
}

void signal_state::extend_cold_until(instant until)
{
    cold_until_ = std::max(cold_until_, until);
}

duration signal_state::backoff_left(instant now) const
{
    return std::max<duration>(backoff_until_ - now, duration(0));
}

std::optional<duration> signal_state::leaving_for_peers(instant now) const
{
    if (!is_within(own_leaving_heard_, peer_report_span, now))
        return std::nullopt;
    return now - own_leaving_heard_;
}

bool signal_state::is_active(instant now) const
{
    return is_within(leaving_heard_, leaving_memory, now) ||
           backoff_left(now) > duration(0) || is_cold(now) || rate_limit(now) ||
           max_rejections(now);
}

} // namespace fennelladder::dispatch
