// How platform_feed reads from the platform. Only its sources include this.

#ifndef FENNELLADDER_EDGE_PLATFORM_FEED_FETCH_HPP
#define FENNELLADDER_EDGE_PLATFORM_FEED_FETCH_HPP

#include "fennelladder/edge/platform_feed.hpp"

namespace fennelladder::edge {

/// After a watch's wait. The platform answers within milliseconds of it.
inline constexpr duration silence_after_wait = milliseconds(500);

/// Until the head of a listing.
inline constexpr duration list_limit = milliseconds(1500);

template <class Answer>
awaitable<std::optional<platform_feed::dated<Answer>>>
platform_feed::fetch(platform_call name, call_kind kind, std::string target,
                     result<Answer> (*decode)(const std::string&))
{
    const duration limit = kind == call_kind::watch
                               ? limits_.watch_wait + silence_after_wait
                               : list_limit;
    const auto got =
        co_await client_.call(name, http::verb::get, target, "", limit);
    note(got, name, kind);
    if (got.outcome != call_outcome::done)
        co_return std::nullopt;
    auto read = decode(got.body);
    if (!read) {
        tables_.unreadable.note(unreadable_kind::answer,
                                std::string(to_string(name)),
                                catalog::revision(), read.error());
        co_return std::nullopt;
    }
    co_return dated<Answer>{std::move(*read), got.first_byte_at};
}

} // namespace fennelladder::edge

#endif
