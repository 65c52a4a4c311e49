// Reads history lines; keeps its buffers from line to line.

#ifndef FENNELLADDER_LIBS_HISTORY_EVENT_READER_HPP
#define FENNELLADDER_LIBS_HISTORY_EVENT_READER_HPP

#include "fennelladder/history/event.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::history {

/// A field of a line as it was spelled.
struct raw_field
{
    enum class kind : std::uint8_t
    {
        text,
        number, ///< A whole number of at least 0.
        boolean,
        negative,
        fraction,
        other ///< null, array or object.
    };

    std::string name;
    kind type = kind::other;
    std::string text;
    std::uint64_t number = 0; ///< Also 0 or 1 of a boolean.
};

/// Reads one line after the other. Not thread safe.
class event_reader
{
public:
    /// See parse_event().
    result<event> read(std::string_view line);

private:
    // The first count_ elements are the current line's; the rest keep their
    // memory for later lines.
    std::vector<raw_field> fields_;
    std::size_t count_ = 0;
};

} // namespace fennelladder::history

#endif
