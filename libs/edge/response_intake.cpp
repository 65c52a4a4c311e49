#include "fennelladder/edge/response_intake.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// RFC 9110, section 15: statuses are from 100 to 599. 101 answers only a
/// request that asks to switch protocols.
bool is_status(unsigned code)
{
    return code >= 100 && code <= 599 && code != 101;
}

/// RFC 9112, section 6.1. Any other coding would be left in the body.
bool has_unknown_coding(const http::response_header<>& head)
{
    const auto range = head.equal_range(http::field::transfer_encoding);
    const auto count = std::distance(range.first, range.second);
    if (count == 0)
        return false;
    return count > 1 || head.version() < 11 ||
           !beast::iequals(range.first->value(), "chunked");
}

/// RFC 9110, section 8.6, and RFC 9112, section 6.1.
bool states_needless_body(const http::response_header<>& head,
                          const http::basic_parser<false>& framing)
{
    const bool has_no_content =
        head.result_int() < 200 || head.result_int() == 204;
    return has_no_content &&
           (framing.chunked() || framing.content_length().value_or(0) > 0);
}

} // namespace

bool is_malformed(const net_error& ec)
{
    const net_error any = http::error::bad_field;
    return ec && ec.category() == any.category() &&
           ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

net_error check_head(const http::response_header<>& head,
                     const http::basic_parser<false>& framing)
{
    if (!is_status(head.result_int()))
        return http::error::bad_status;
    if (has_unknown_coding(head))
        return http::error::bad_transfer_encoding;
    if (states_needless_body(head, framing))
        return http::error::unexpected_body;
    return {};
}

bool has_folded_line(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos ||
           lines.find("\n\t") != std::string_view::npos;
}

} // namespace fennelladder::edge
