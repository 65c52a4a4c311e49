// Cuts a stream of server-sent events into the data of its events.
//
// Bytes come in pieces of any size. Only the `data` field is of interest;
// comments (a line that starts with a colon) keep a connection alive and are
// dropped. An event larger than the limit is a failure of the sender.

#ifndef FENNELLADDER_TARGET_EVENT_STREAM_HPP
#define FENNELLADDER_TARGET_EVENT_STREAM_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace fennelladder::target {

/// Not thread safe.
class event_stream
{
public:
    static constexpr std::size_t max_event_bytes = 1'000'000;

    /// Called with the data of each event; false stops.
    using receiver = std::function<bool(std::string_view data)>;

    explicit event_stream(receiver on_event) : on_event_(std::move(on_event)) {}

    /// Takes in more bytes. False: the receiver stopped, or an event is too
    /// large; take no more.
    bool add(std::string_view bytes);

private:
    bool take_line(std::string_view line);

    receiver on_event_;
    std::string line_; // Begun, without its end.
    std::string data_; // Of the event that is being read.
};

} // namespace fennelladder::target

#endif
