#include "fennelladder/edge/request_intake.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace fennelladder::edge {

namespace {

/// Bytes read at once of a head, and of a body.
constexpr std::size_t head_read_bytes = 4'096;
constexpr std::size_t body_read_bytes = 16'384;

/// Memory of a parsed field besides its text.
constexpr std::size_t bytes_per_field = 96;

intake_fault fault_of(const net_error& ec)
{
    if (ec == http::error::header_limit)
        return intake_fault::head_too_large;
    if (ec == http::error::body_limit)
        return intake_fault::body_too_large;
    return intake_fault::malformed;
}

std::size_t count_lines(const char* bytes, std::size_t size)
{
    return static_cast<std::size_t>(std::count(bytes, bytes + size, '\n'));
}

/// Where the line ends that begins a chunk. If it is whole, it is that of the
/// last chunk, and what follows is trailers. The parser leaves the line break
/// that ends the chunk before in the buffer.
std::optional<std::size_t> end_of_chunk_line(const beast::flat_buffer& buf)
{
    const std::string_view bytes(static_cast<const char*>(buf.data().data()),
                                 buf.size());
    const auto end = bytes.find('\n', bytes.starts_with("\r\n") ? 2 : 0);
    if (end == std::string_view::npos)
        return std::nullopt;
    return end + 1;
}

/// Where the first line of the buffer ends; 0 if it isn't whole.
std::size_t end_of_first_line(const beast::flat_buffer& buf)
{
    const std::string_view bytes(static_cast<const char*>(buf.data().data()),
                                 buf.size());
    return bytes.find('\n') + 1;
}

} // namespace

unsigned status_of(intake_fault fault)
{
    switch (fault) {
    case intake_fault::head_too_large:
    case intake_fault::trailers_too_large:
        return 431;
    case intake_fault::body_too_large:
        return 413;
    case intake_fault::none:
    case intake_fault::malformed:
    case intake_fault::chunk_line_too_long:
    case intake_fault::too_much_framing:
        break;
    }
    return 400;
}

const char* reason_of(intake_fault fault)
{
    switch (fault) {
    case intake_fault::none:
        return "";
    case intake_fault::malformed:
        return "no proper request";
    case intake_fault::head_too_large:
        return "head too large";
    case intake_fault::body_too_large:
        return "body too large";
    case intake_fault::trailers_too_large:
        return "trailers too large";
    case intake_fault::chunk_line_too_long:
        return "the line of a chunk is too long";
    case intake_fault::too_much_framing:
        return "chunks too small for their framing";
    }
    return "";
}

request_intake::request_intake(beast::flat_buffer& buf,
                               const catalog::caller_limits& limits)
    : buf_(buf), limits_(limits)
{
    parser_.header_limit(limits.header_bytes);
    parser_.body_limit(limits.body_bytes);
}

bool request_intake::needs_more() const
{
    return fault_ == intake_fault::none &&
           !(reads_body_ ? is_whole() : has_head());
}

/// Reads values that are too long for the parser from what it gets next.
/// Returns false if one is malformed.
bool request_intake::take_long_lines()
{
    if (buf_.size() <= max_parsed_line)
        return true;
    if (!has_head() && field_lines_ > 0)
        return longer_.take_from(buf_, 0);
    if (!has_head()) {
        const std::size_t first = end_of_first_line(buf_);
        return first == 0 || longer_.take_from(buf_, first);
    }
    const auto trailers =
        at_chunk_line_ ? end_of_chunk_line(buf_) : std::nullopt;
    return !trailers || longer_.take_from(buf_, *trailers);
}

/// Returns how many bytes were parsed. The container throws for a field that it
/// can't hold.
std::size_t request_intake::parse_buffer(net_error& ec)
{
    try {
        return parser_.put(buf_.data(), ec);
    } catch (const std::length_error&) {
        ec = http::error::bad_field;
        return 0;
    }
}

void request_intake::parse()
{
    net_error ec;
    while (needs_more() && !ec && buf_.size() > 0) {
        const bool in_head = !has_head();
        if (!take_long_lines()) {
            ec = http::error::bad_field;
            break;
        }
        const auto* bytes = static_cast<const char*>(buf_.data().data());
        const std::size_t used = parse_buffer(ec);
        at_chunk_line_ = !in_head && ec == http::error::need_more;
        if (in_head) {
            head_bytes_ += used;
            field_lines_ += count_lines(bytes, used);
        } else {
            body_bytes_ += used;
        }
        buf_.consume(used);
        if (used > 0)
            longer_.on_consumed();
    }
    if (ec && ec != http::error::need_more)
        fault_ = fault_of(ec);
    if (!reads_body_)
        check_head();
    else
        check_framing();
}

void request_intake::check_head()
{
    const std::size_t buffered = has_head() ? 0 : buf_.size();
    if (fault_ == intake_fault::none &&
        head_bytes_ + buffered > limits_.header_bytes)
        fault_ = intake_fault::head_too_large;
}

void request_intake::check_framing()
{
    const std::uint64_t data = parser_.get().body().size();
    if (!needs_more())
        return;
    if (buf_.size() > limits_.header_bytes)
        fault_ = end_of_chunk_line(buf_) ? intake_fault::trailers_too_large
                                         : intake_fault::chunk_line_too_long;
    else if (body_bytes_ - data > framing_per_byte * data + framing_allowance)
        fault_ = intake_fault::too_much_framing;
}

void request_intake::continue_with_body()
{
    reads_body_ = true;
    parser_.eager(true);
}

void request_intake::parse_all()
{
    parse();
    if (fault_ != intake_fault::none || !has_head() || reads_body_)
        return;
    continue_with_body();
    parse();
}

std::size_t request_intake::read_size() const
{
    if (!reads_body_)
        return head_read_bytes;
    const auto length = parser_.content_length_remaining();
    if (!length)
        return body_read_bytes;
    return static_cast<std::size_t>(
        std::clamp<std::uint64_t>(*length, 1, body_read_bytes));
}

std::size_t request_intake::held() const
{
    return buf_.capacity() + parser_.get().body().capacity() + head_bytes_ +
           longer_.bytes() + field_lines_ * bytes_per_field;
}

void request_intake::drop_body()
{
    std::string().swap(parser_.get().body());
    fault_ = intake_fault::malformed;
}

http::fields request_intake::take_fields()
{
    http::fields out = std::move(parser_.get().base());
    return out;
}

std::vector<adapter::long_field> request_intake::take_long_fields()
{
    return longer_.take();
}

std::string request_intake::take_body()
{
    return std::move(parser_.get().body());
}

} // namespace fennelladder::edge
