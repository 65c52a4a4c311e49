// Cuts a stream of events into whole events, so that a caller never gets a
// part of one, and a stream that broke can go on behind the last whole one.
//
//     splitter.feed(bytes);
//     std::string whole = splitter.take();   // may be empty
//     splitter.last_id()                     // where to resume
//
// Events end with an empty line. One that was passed on before (a target that
// resumed too early) is left out.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_EVENT_SPLITTER_HPP
#define FENNELLADDER_EDGE_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::edge {

class event_splitter
{
public:
    /// Bytes of one event that are kept before its end has come; a longer
    /// one is no event of ours.
    static constexpr std::size_t max_event_bytes = 262'144;

    /// Takes bytes of the stream. False when an event grows too long, or the
    /// ids show that one is missing.
    bool feed(std::string_view bytes);

    /// The whole events that came since the last call, as they came.
    std::string take();

    /// What came after the last whole event.
    const std::string& incomplete() const { return pending_; }

    /// A new target takes over: what it sends next begins a new event.
    void discard_incomplete() { pending_.clear(); }

    /// Id of the last whole event; empty before the first.
    const std::string& last_id() const { return last_id_; }

    /// Whole events so far, over all targets.
    std::uint64_t events() const { return events_; }

private:
    bool add_event(std::string_view text);

    std::string pending_;
    std::string ready_;
    std::string last_id_;
    std::optional<std::uint64_t> last_number_;
    std::uint64_t events_ = 0;
};

} // namespace fennelladder::edge

#endif
