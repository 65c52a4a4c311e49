#include "fennelladder/edge/response_intake.hpp"

namespace fennelladder::edge {

namespace {

/// RFC 9110, section 15: statuses are from 100 to 599. 101 answers only a
/// request that asks to switch protocols.
bool is_status(unsigned code)
{
    return code >= 100 && code <= 599 && code != 101;
}

} // namespace

bool is_malformed(const net_error& ec)
{
    const net_error any = http::error::bad_field;
    return ec && ec.category() == any.category() &&
           ec != http::error::end_of_stream &&
           ec != http::error::partial_message;
}

net_error check_head(const http::response_header<>& head)
{
    if (!is_status(head.result_int()))
        return http::error::bad_status;
    return {};
}

bool has_folded_line(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos ||
           lines.find("\n\t") != std::string_view::npos;
}

} // namespace fennelladder::edge
