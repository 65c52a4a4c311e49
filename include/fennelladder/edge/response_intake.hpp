// Parses one response from the bytes that another process sends, and accepts it
// only if it is proper HTTP.
//
//     response_intake<http::buffer_body> intake;
//     net_error ec;
//     while (!ec && !intake.has_head()) {
//         ... read some into buf, commit; at the end of file:
//         ... ec = intake.end_of_input();
//         intake.parse_head(buf, ec);
//     }
//     ... intake.put(buf, ec) until intake.is_whole() ...
//
// Beast's parser accepts, or repairs, some heads that two parties may read
// differently, so that bytes of a body could pass for an answer. These are
// errors here:
//
//   - a status outside 100 to 599, and 101, which is not asked for;
//   - a field whose value is continued on the next line, in a head or in
//     trailers;
//   - any transfer coding but a single "chunked", and that of HTTP/1.0;
//   - a body stated by an interim response or one without content (204).
//
// Interim responses (1xx) are skipped. All heads together are bounded.
//
// Pure computation, but for the bytes that are in the buffer. Not thread safe.

#ifndef FENNELLADDER_EDGE_RESPONSE_INTAKE_HPP
#define FENNELLADDER_EDGE_RESPONSE_INTAKE_HPP

#include "fennelladder/edge/io.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace fennelladder::edge {

/// Most bytes of a response's head, with the interim responses before it.
inline constexpr std::size_t max_response_head_bytes = 16'384;

/// Most interim responses before one final response.
inline constexpr int max_interim_responses = 16;

/// Memory of a parsed field besides its text.
inline constexpr std::size_t bytes_per_response_field = 96;

/// Whether the error says that bytes aren't a response, not that a connection
/// failed or ended.
bool is_malformed(const net_error& ec);

/// Checks a head that was parsed. `framing` is its parser.
net_error check_head(const http::response_header<>& head,
                     const http::basic_parser<false>& framing);

/// Whether whole lines of a head or of trailers contain one that continues the
/// line before.
bool has_folded_line(std::string_view lines);

template <class Body>
class response_intake
{
public:
    using parser = http::response_parser<Body>;

    /// `omits_body`: the response has none, whatever its head says, since it
    /// answers a HEAD request.
    explicit response_intake(
        bool omits_body = false,
        std::uint64_t body_limit = std::numeric_limits<std::uint64_t>::max())
        : omits_body_(omits_body), body_limit_(body_limit)
    {
        begin_head();
    }

    /// Parses what the buffer holds of heads, up to the end of the final one.
    /// More bytes are needed if there is neither an error nor the head.
    void parse_head(beast::flat_buffer& buf, net_error& ec)
    {
        while (!ec && !has_head() && buf.size() > 0) {
            put(buf, ec);
            if (ec == http::error::need_more)
                break;
            if (!ec && parser_->is_header_done())
                end_head(ec);
        }
        if (ec == http::error::need_more)
            ec = {};
        const std::size_t unparsed = has_head() ? 0 : buf.size();
        if (!ec && head_bytes_ + unparsed > max_response_head_bytes)
            ec = http::error::header_limit;
    }

    /// Parses what the buffer holds of the whole response, for a body that
    /// takes it all. More bytes are needed if there is neither an error nor
    /// the whole response.
    void parse(beast::flat_buffer& buf, net_error& ec)
    {
        parse_head(buf, ec);
        while (!ec && has_head() && !is_whole() && buf.size() > 0)
            put(buf, ec);
        if (ec == http::error::need_more)
            ec = {};
    }

    /// Parses the next part of the response, and consumes it.
    void put(beast::flat_buffer& buf, net_error& ec)
    {
        if (fault_) {
            ec = fault_;
            return;
        }
        const bool in_head = !parser_->is_header_done();
        const auto* bytes = static_cast<const char*>(buf.data().data());
        std::size_t used = 0;
        try {
            used = parser_->put(buf.data(), ec);
        } catch (const std::length_error&) {
            // The container can't hold a field of this length.
            ec = fault_ = http::error::header_limit;
            return;
        }
        const std::string_view parsed(bytes, used);
        // Trailers are parsed at once, with the last chunk.
        const bool in_trailers =
            !in_head && parser_->chunked() && parser_->is_done();
        if ((in_head || in_trailers) && has_folded_line(parsed))
            ec = fault_ = http::error::bad_obs_fold;
        if (in_head)
            count_head(parsed);
        buf.consume(used);
    }

    /// Whether the final response's head was parsed.
    bool has_head() const { return has_head_; }
    bool is_whole() const { return has_head_ && !fault_ && parser_->is_done(); }

    /// The error if the connection ends now, in order. A response without a
    /// length becomes whole.
    net_error end_of_input()
    {
        if (!parser_->got_some())
            return http::error::end_of_stream;
        net_error ec;
        parser_->put_eof(ec);
        return ec;
    }

    /// Estimate of the memory that the heads occupy.
    std::size_t held_by_head() const
    {
        return head_bytes_ + field_lines_ * bytes_per_response_field;
    }

    /// The present head, and the body as far as it was parsed.
    auto& get() { return parser_->get(); }
    const auto& get() const { return parser_->get(); }
    const parser& parsed() const { return *parser_; }

private:
    void begin_head()
    {
        parser_.emplace();
        parser_->header_limit(max_response_head_bytes);
        parser_->body_limit(body_limit_);
        parser_->skip(omits_body_);
    }

    void end_head(net_error& ec)
    {
        ec = fault_ = check_head(parser_->get().base(), *parser_);
        if (ec)
            return;
        has_head_ = parser_->get().result_int() >= 200;
        if (has_head_)
            return;
        if (++interim_ > max_interim_responses)
            ec = fault_ = http::error::header_limit;
        begin_head();
    }

    void count_head(std::string_view parsed)
    {
        head_bytes_ += parsed.size();
        for (const char c : parsed)
            field_lines_ += c == '\n' ? 1 : 0;
    }

    bool omits_body_;
    std::uint64_t body_limit_;
    std::optional<parser> parser_;
    net_error fault_;
    bool has_head_ = false;
    int interim_ = 0;
    std::size_t head_bytes_ = 0;  ///< Parsed so far.
    std::size_t field_lines_ = 0; ///< Of them.
};

} // namespace fennelladder::edge

#endif
