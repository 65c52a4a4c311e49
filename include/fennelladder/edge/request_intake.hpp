// Reads one request from the bytes that a caller sends, within limits from its
// first byte on.
//
//     request_intake intake(buf, limits);
//     while (!intake.has_head() && intake.fault() == intake_fault::none) {
//         ... read some into buf.prepare(intake.read_size()), commit ...
//         intake.parse();
//     }
//     intake.continue_with_body();
//     ... the same until intake.is_whole() ...
//
// Beast's parser bounds a line of the head and the data of a body. It doesn't
// bound what it has consumed of a head that arrives line by line, what it waits
// for (the line of a chunk's size and extensions, all trailers), nor the number
// of chunks. These bounds are added here:
//
//   - the head, as all of its bytes, and the trailers together: `header_bytes`;
//   - the line that begins a chunk: `header_bytes`;
//   - bytes of framing: a fixed multiple of the body's bytes, and a constant.
//
// The body's memory grows as it arrives, not as it is announced.
//
// Fields that are too long for Beast's container are read beside it
// (edge/long_fields.hpp).
//
// Pure computation, but for the bytes that are in the buffer. Not thread safe.

#ifndef FENNELLADDER_EDGE_REQUEST_INTAKE_HPP
#define FENNELLADDER_EDGE_REQUEST_INTAKE_HPP

#include "fennelladder/catalog/configuration.hpp"
#include "fennelladder/edge/growing_body.hpp"
#include "fennelladder/edge/io.hpp"
#include "fennelladder/edge/long_fields.hpp"

#include <cstddef>
#include <cstdint>

namespace fennelladder::edge {

/// Why a request can't be read.
enum class intake_fault : std::uint8_t
{
    none,
    malformed,
    head_too_large,
    body_too_large,
    trailers_too_large,
    chunk_line_too_long,
    too_much_framing
};

/// HTTP status that answers the fault. Precondition: it isn't `none`.
unsigned status_of(intake_fault fault);

/// Text for the answer and the log.
const char* reason_of(intake_fault fault);

/// Framing bytes of a chunked body that are allowed for each byte of data, and
/// besides. A chunk of one byte needs five.
inline constexpr std::size_t framing_per_byte = 16;
inline constexpr std::size_t framing_allowance = 65'536;

class request_intake
{
public:
    using parser = http::request_parser<growing_body>;

    /// `buf` may hold the request's first bytes; what follows the request stays
    /// in it. It must outlive the intake.
    request_intake(beast::flat_buffer& buf,
                   const catalog::caller_limits& limits);

    /// Parses what the buffer holds: the head, and after continue_with_body()
    /// the body. Bounded by the buffer.
    void parse();

    /// Precondition: has_head().
    void continue_with_body();

    /// Parses head and body, for a request about which nothing has to be
    /// decided before its body is read.
    void parse_all();

    /// Whether any byte of the request has been parsed or is buffered.
    bool has_begun() const { return parser_.got_some() || buf_.size() > 0; }
    bool has_head() const { return parser_.is_header_done(); }
    bool is_whole() const { return parser_.is_done(); }
    intake_fault fault() const { return fault_; }

    /// Bytes to read at once. Precondition: more are needed.
    std::size_t read_size() const;

    /// Estimate of the memory that the request occupies, with the buffer.
    std::size_t held() const;

    /// Frees the body. Nothing may be parsed afterwards.
    void drop_body();

    /// Bytes of the head as sent. Precondition: has_head().
    std::size_t head_bytes() const { return head_bytes_; }

    const parser& parsed() const { return parser_; }

    /// Moves the head's fields out. The parser has those of trailers later.
    http::fields take_fields();

    /// Moves out the fields that the container can't hold, which are empty
    /// there: those of the head, and later those of trailers.
    std::vector<adapter::long_field> take_long_fields();

    /// Moves the body out. Precondition: is_whole().
    std::string take_body();

private:
    bool needs_more() const;
    bool take_long_lines();
    std::size_t parse_buffer(net_error& ec);
    void check_head();
    void check_framing();

    beast::flat_buffer& buf_;
    const catalog::caller_limits limits_;
    parser parser_;
    intake_fault fault_ = intake_fault::none;
    bool reads_body_ = false;
    /// The buffer begins with the line of a chunk, which the parser has seen
    /// and waits for more.
    bool at_chunk_line_ = false;
    long_field_reader longer_;
    std::size_t head_bytes_ = 0;   ///< Parsed so far.
    std::size_t field_lines_ = 0;  ///< Of the head.
    std::uint64_t body_bytes_ = 0; ///< Parsed so far, with framing.
};

} // namespace fennelladder::edge

#endif
