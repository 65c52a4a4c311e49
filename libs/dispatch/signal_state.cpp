#include "fennelladder/dispatch/signal_state.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::dispatch {

namespace {

/// A limit of which no node had a word for so long is over: the target can't
/// have had a request since.
constexpr duration limit_memory = minutes(2);

/// An entry that isn't listed for so long after its process said that it
/// leaves doesn't come back.
constexpr duration leaving_memory = minutes(10);

/// For how long a signal is told to peers.
constexpr duration news_span = seconds(10);

bool is_within(instant said, duration span, instant now)
{
    return said != instant() && now - said <= span;
}

} // namespace

signal_news signal_state::take(const catalog::target_signals& said, instant now)
{
    signal_news out;
    if (said.leaving) {
        out.leaving = take_peers_leaving(now);
        if (own_leaving_heard_ == instant())
            own_leaving_heard_ = now;
    }
    if (said.rest && now + *said.rest > rest_until_) {
        rest_until_ = now + *said.rest;
        out.rest = true;
    }
    if (said.remaining_cold)
        cool_until(now + *said.remaining_cold);
    if (said.rate_limit || said.is_latest) {
        own_rate_ = said.rate_limit;
        own_said_ = now;
        if (own_rate_)
            own_named_ = now;
        out.rate_limit = take_peers_limit(own_rate_, now);
    }
    return out;
}

bool signal_state::take_peers_leaving(instant now)
{
    leaving_heard_ = now;
    return !std::exchange(leaving_, true);
}

bool signal_state::take_peers_limit(std::optional<double> rate, instant at)
{
    if (at < limit_said_)
        return false;
    limit_said_ = at;
    return std::exchange(rate_limit_, rate) != rate;
}

void signal_state::cool_until(instant until)
{
    cold_until_ = std::max(cold_until_, until);
}

duration signal_state::rest_left(instant now) const
{
    return std::max<duration>(rest_until_ - now, duration(0));
}

std::optional<double> signal_state::rate_limit(instant now) const
{
    return limit_silence(now) > limit_memory ? std::nullopt : rate_limit_;
}

std::optional<rate_word> signal_state::limit_for_peers(instant now) const
{
    if (!is_within(own_named_, news_span, now))
        return std::nullopt;
    return rate_word{own_rate_, now - own_said_};
}

std::optional<duration> signal_state::leaving_for_peers(instant now) const
{
    if (!is_within(own_leaving_heard_, news_span, now))
        return std::nullopt;
    return now - own_leaving_heard_;
}

bool signal_state::holds(instant now) const
{
    return is_within(leaving_heard_, leaving_memory, now) ||
           rest_left(now) > duration(0) || is_cold(now) || rate_limit(now);
}

} // namespace fennelladder::dispatch
