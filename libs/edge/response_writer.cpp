#include "fennelladder/edge/response_writer.hpp"

#include "platform/request_headers.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace fennelladder::edge {

namespace {

/// Encodes one chunk of a chunked body.
std::string chunk(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Two buffers, of which either may be empty.
std::array<asio::const_buffer, 2> buffers_of(std::string_view head,
                                             std::string_view body)
{
    return {asio::buffer(head.data(), head.size()),
            asio::buffer(body.data(), body.size())};
}

} // namespace

response_writer::response_writer(tcp::socket& socket) : socket_(socket)
{}

void response_writer::reset()
{
    omits_body_ = false;
    omits_chunk_sizes_ = false;
    begun_ = false;
    finished_ = false;
    bytes_sent_ = 0;
    write_error_ = {};
}

void response_writer::omit_chunk_sizes()
{
    omits_chunk_sizes_ = true;
    closes_connection_ = true;
}

/// Writes what the socket takes at once, and waits only if that isn't all.
/// Precondition: `body` stays valid until the end.
awaitable<bool> response_writer::write(std::string head, std::string_view body)
{
    write_error_ = {};
    const std::size_t size = head.size() + body.size();
    if (link_ != nullptr)
        link_->add_sent(size);
    std::size_t sent = 0;
    if (socket_.non_blocking())
        sent = socket_.write_some(buffers_of(head, body), write_error_);
    if (is_transient(write_error_))
        write_error_ = {};
    if (!write_error_ && sent < size) {
        const std::size_t of_head = std::min(sent, head.size());
        co_await write_slowly(std::string_view(head).substr(of_head),
                              body.substr(sent - of_head));
    }
    if (!write_error_)
        bytes_sent_ += size;
    co_return !write_error_;
}

/// Writes as the caller reads, and reports how it does.
awaitable<void> response_writer::write_slowly(std::string_view head,
                                              std::string_view body)
{
    writing_ = true;
    if (account_ != nullptr)
        account_->set_unread(true);
    while (!write_error_ && !(head.empty() && body.empty())) {
        const std::size_t n = co_await socket_.async_write_some(
            buffers_of(head, body), into(write_error_));
        if (account_ != nullptr)
            account_->note_progress(n);
        const std::size_t of_head = std::min(n, head.size());
        head.remove_prefix(of_head);
        body.remove_prefix(n - of_head);
    }
    if (account_ != nullptr)
        account_->set_unread(false);
    writing_ = false;
}

std::string response_writer::encode_head(const response_head& head) const
{
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out += head.reason + "\r\n" + head.headers;
    if (closes_connection_)
        out += "Connection: close\r\n";
    return out;
}

std::string response_writer::length_line(const response_head& head,
                                         const std::string& body) const
{
    // Responses with these statuses have neither a body nor a Content-Length.
    if (head.status == 204 || head.status == 304)
        return {};
    const std::string length =
        omits_body_ ? head.content_length : std::to_string(body.size());
    return length.empty() ? std::string()
                          : "Content-Length: " + length + "\r\n";
}

awaitable<bool> response_writer::send_local(const local_response& answer)
{
    const std::string body = nlohmann::json{{"error", answer.message}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    response_head head;
    head.status = answer.status;
    const auto reason = http::obsolete_reason(http::int_to_status(head.status));
    head.reason = std::string(reason.data(), reason.size());
    head.headers = adapter::encode_node_response_headers(answer.request,
                                                         answer.retry_after) +
                   "Content-Type: application/json\r\n";
    head.content_length = std::to_string(body.size());
    const bool sent = co_await send_complete(head, body);
    co_return sent;
}

awaitable<bool> response_writer::send_complete(const response_head& head,
                                               const std::string& body)
{
    begun_ = true;
    std::string out = encode_head(head) + length_line(head, body) + "\r\n";
    // The caller would parse a body after a response to HEAD as the next
    // response.
    const std::string_view sent_body =
        omits_body_ ? std::string_view() : std::string_view(body);
    const bool sent = co_await write(std::move(out), sent_body);
    finished_ = sent;
    co_return sent;
}

awaitable<bool> response_writer::begin(const response_head& head)
{
    begun_ = true;
    std::string out = encode_head(head);
    if (!omits_chunk_sizes_)
        out += "Transfer-Encoding: chunked\r\n";
    out += "\r\n";
    const bool sent = co_await write(std::move(out));
    co_return sent;
}

awaitable<bool> response_writer::send_chunk(const std::string& bytes)
{
    // An empty chunk terminates a chunked body.
    if (bytes.empty())
        co_return true;
    std::string out = omits_chunk_sizes_ ? bytes : chunk(bytes);
    const bool sent = co_await write(std::move(out));
    co_return sent;
}

awaitable<bool> response_writer::finish()
{
    std::string out = omits_chunk_sizes_ ? "" : "0\r\n\r\n";
    const bool sent = co_await write(std::move(out));
    finished_ = sent;
    co_return sent;
}

} // namespace fennelladder::edge
