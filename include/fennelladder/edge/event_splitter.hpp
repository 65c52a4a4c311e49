// Splits a server-sent event stream into whole events, so that a caller never
// receives part of an event and an interrupted stream can be resumed after its
// last whole one.
//
//     splitter.feed(bytes);
//     std::string whole = splitter.take();   // may be empty
//     splitter.last_id()                     // where to resume
//
// An empty line ends an event; a line ends with LF, CR LF or CR. A comment line
// is not part of an event. Events that were already relayed are dropped, in
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

    /// Whether take() has anything to return.
    bool has_output() const { return !complete_.empty(); }

    /// Bytes received after the last whole event.
    const std::string& incomplete() const { return incomplete_; }

    /// Estimate of the memory that the buffered bytes occupy.
    std::size_t held() const
    {
        return incomplete_.capacity() + complete_.capacity();
    }

    /// Whether the stream may end here: of an event that isn't whole nothing
    /// was received, only comments and empty lines.
    bool is_between_events() const
    {
        return !has_field_ && line_begin_ == incomplete_.size();
    }

    /// Drops an incomplete event, before another target continues the stream.
    void discard_incomplete();

    /// Id of the last whole event; empty before the first.
    const std::string& last_id() const { return last_id_; }

    /// Number of whole events so far, over all targets.
    std::uint64_t events() const { return events_; }

private:
    bool add_event(std::string_view text);
    bool end_line(std::size_t line_end, std::size_t next);
    void forget_before(std::size_t next);

    std::string incomplete_;
    std::size_t line_begin_ = 0; ///< Of the last line of `incomplete_`.
    std::size_t searched_ = 0;   ///< Bytes of it searched for line ends.
    bool has_field_ = false;     ///< A whole line of it belongs to an event.
    bool after_cr_ = false;      ///< A CR before `searched_` ended a line.
    std::string complete_;
    std::string last_id_;
    std::optional<std::uint64_t> last_sequence_;
    std::uint64_t events_ = 0;
};

} // namespace fennelladder::edge

#endif
