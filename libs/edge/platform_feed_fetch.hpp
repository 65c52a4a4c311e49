// Reads from the platform. Included only by the sources of platform_feed.

#ifndef FENNELLADDER_EDGE_PLATFORM_FEED_FETCH_HPP
#define FENNELLADDER_EDGE_PLATFORM_FEED_FETCH_HPP

#include "fennelladder/edge/platform_feed.hpp"

namespace fennelladder::edge {

/// Timeout of a watch beyond its wait time. The platform answers within
/// milliseconds after the wait.
inline constexpr duration watch_timeout_margin = milliseconds(500);

/// Timeout for the head of the response to a listing.
inline constexpr duration list_timeout = milliseconds(1500);

template <class Answer>
awaitable<std::optional<platform_feed::timed<Answer>>> platform_feed::fetch(
    platform_call name, call_kind kind, std::string target,
    result<Answer> (*decode)(catalog::store_era, const std::string&))
{
    const duration limit = kind == call_kind::watch
                               ? limits_.watch_timeout + watch_timeout_margin
                               : list_timeout;
    const auto got =
        co_await client_.call(name, http::verb::get, target, "", limit);
    record_contact(got, name, kind);
    if (got.outcome != call_outcome::done)
        co_return std::nullopt;
    auto decoded = decode(got.era, got.body);
    if (!decoded) {
        tables_.unreadable.note(unreadable_kind::answer,
                                std::string(to_string(name)),
                                catalog::revision(), decoded.error());
        co_return std::nullopt;
    }
    co_return timed<Answer>{std::move(*decoded), got.first_byte_at};
}

} // namespace fennelladder::edge

#endif
