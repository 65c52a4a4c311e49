// Splits a server-sent event stream into whole events, so that a caller never
// receives part of an event and an interrupted stream can be resumed after its
// last whole one.
//
//     splitter.feed(bytes);
//     std::string whole = splitter.take();   // may be empty
//     splitter.last_id()                     // where to resume
//
// An empty line ends an event. Events that were already relayed are dropped, in
// case a target resumes too early.
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

/// Buffers a stream until whole events are available.
class event_splitter
{
public:
    /// Largest number of bytes buffered for one incomplete event. No target
    /// sends a longer event.
    static constexpr std::size_t max_event_bytes = 262'144;

    /// Consumes bytes of the stream. Returns false if an event exceeds
    /// `max_event_bytes`, or if the ids show that one is missing.
    bool feed(std::string_view bytes);

    /// Returns the whole events completed since the last call, unchanged.
    std::string take();

    /// Bytes received after the last whole event.
    const std::string& incomplete() const { return incomplete_; }

    /// Drops an incomplete event, before another target continues the stream.
    void discard_incomplete() { incomplete_.clear(); }

    /// Id of the last whole event; empty before the first.
    const std::string& last_id() const { return last_id_; }

    /// Number of whole events so far, over all targets.
    std::uint64_t events() const { return events_; }

private:
    bool add_event(std::string_view text);

    std::string incomplete_;
    std::string complete_;
    std::string last_id_;
    std::optional<std::uint64_t> last_sequence_;
    std::uint64_t events_ = 0;
};

} // namespace fennelladder::edge

#endif
