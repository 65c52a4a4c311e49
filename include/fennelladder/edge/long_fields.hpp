// Fields of a request that Beast's container can't hold: it stores the length
// of a value in 16 bits, and throws an exception for a longer one.
//
//     long_field_reader longer;
//     if (!longer.take_from(buf, first_line))
//         ... the request is malformed ...
//     parser.put(buf.data(), ec);
//     ... longer.take() ...
//
// Long values are copied out of the buffer before it is parsed, and blanks are
// left in their place: to the parser the field is there, and empty. So no
// offset changes that the parser keeps between its calls. The values are
// checked by the rules that the parser has for others. A field that says how a
// message is framed or routed can't be read beside the parser and is refused,
// as is one with a long name, or that is continued on the next line.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_LONG_FIELDS_HPP
#define FENNELLADDER_EDGE_LONG_FIELDS_HPP

#include "fennelladder/edge/io.hpp"
#include "platform/request_headers.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace fennelladder::edge {

/// Longest line of a field that is left to the parser. Its name and its value
/// fit into the container.
inline constexpr std::size_t max_parsed_line = 32'768;

/// Splits a line, without its end, into name and value by the rules of RFC
/// 9112. Returns false if it isn't a field that may be read beside the parser.
bool parse_long_field(std::string_view line, adapter::long_field& out);

class long_field_reader
{
public:
    /// Copies out the values of long lines. From `first_line` on, `buf` holds
    /// lines of fields, up to an empty one. Returns false if one is malformed.
    bool take_from(beast::flat_buffer& buf, std::size_t first_line);

    /// The buffer's first bytes were consumed: lines are looked for anew.
    void on_consumed() { looked_at_ = 0; }

    /// Bytes of the values that were copied so far.
    std::size_t bytes() const { return bytes_; }

    /// Moves out the fields found since the last call, in order.
    std::vector<adapter::long_field> take();

private:
    std::vector<adapter::long_field> fields_;
    std::size_t bytes_ = 0;
    std::size_t looked_at_ = 0; ///< Where the next line begins in the buffer.
};

} // namespace fennelladder::edge

#endif
