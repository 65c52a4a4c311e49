// Binary search over bytes: from the middle back to the start of its line. An
// id has no character that JSON would escape, so ids compare as they stand.

#include "row_search.hpp"

#include <cstddef>

namespace fennelladder::manifest {

namespace {

// The id of a line ["id",...].
std::string_view id_of_line(std::string_view line)
{
    constexpr std::size_t start = 2;
    return line.substr(start, line.find('"', start) - start);
}

} // namespace

std::string_view find_row(std::string_view bytes, std::string_view id)
{
    std::size_t low = 0; // Both are starts of lines or the end of bytes.
    std::size_t high = bytes.size();
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        const std::size_t before = bytes.rfind('\n', middle);
        const bool first = before == std::string_view::npos || before < low;
        std::size_t start = first ? low : before + 1;
        if (start >= high)
            start = low;
        const std::size_t end = bytes.find('\n', start);
        const auto line = bytes.substr(start, end - start);
        const auto found = id_of_line(line);
        if (found == id)
            return line;
        if (found < id)
            low = end + 1;
        else
            high = start;
    }
    return {};
}

} // namespace fennelladder::manifest
