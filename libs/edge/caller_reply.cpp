#include "fennelladder/edge/caller_reply.hpp"

#include "platform/request_headers.hpp"

#include <boost/asio/write.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace fennelladder::edge {

namespace {

/// One chunk of a chunked body.
std::string chunk(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

caller_reply::caller_reply(tcp::socket& socket) : socket_(socket)
{}

void caller_reply::reset()
{
    no_body_ = false;
    begun_ = false;
    finished_ = false;
    failure_ = {};
}

awaitable<bool> caller_reply::write(std::string bytes)
{
    writing_ = true;
    co_await asio::async_write(socket_, asio::buffer(bytes), into(failure_));
    writing_ = false;
    co_return !failure_;
}

std::string caller_reply::head_text(const answer_head& head) const
{
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " ";
    out += head.reason + "\r\n" + head.headers;
    if (closes_)
        out += "Connection: close\r\n";
    return out;
}

std::string caller_reply::length_line(const answer_head& head,
                                      const std::string& body) const
{
    // These statuses have no body and no length.
    if (head.status == 204 || head.status == 304)
        return {};
    const std::string length =
        no_body_ ? head.stated_length : std::to_string(body.size());
    return length.empty() ? std::string()
                          : "Content-Length: " + length + "\r\n";
}

awaitable<bool> caller_reply::send_own(const own_answer& answer)
{
    const std::string body = nlohmann::json{{"error", answer.message}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    answer_head head;
    head.status = answer.status;
    const auto reason = http::obsolete_reason(http::int_to_status(head.status));
    head.reason = std::string(reason.data(), reason.size());
    head.headers = adapter::encode_node_response_headers(answer.request,
                                                         answer.retry_after) +
                   "Content-Type: application/json\r\n";
    head.stated_length = std::to_string(body.size());
    const bool sent = co_await send_whole(head, body);
    co_return sent;
}

awaitable<bool> caller_reply::send_whole(const answer_head& head,
                                         const std::string& body)
{
    begun_ = true;
    std::string out = head_text(head) + length_line(head, body) + "\r\n";
    // A body behind an answer to HEAD would be read as the next answer.
    if (!no_body_)
        out += body;
    const bool sent = co_await write(std::move(out));
    finished_ = sent;
    co_return sent;
}

awaitable<bool> caller_reply::begin(const answer_head& head)
{
    begun_ = true;
    std::string out = head_text(head) + "Transfer-Encoding: chunked\r\n\r\n";
    const bool sent = co_await write(std::move(out));
    co_return sent;
}

awaitable<bool> caller_reply::send_piece(const std::string& bytes)
{
    // An empty chunk would end the body.
    if (bytes.empty())
        co_return true;
    std::string out = chunk(bytes);
    const bool sent = co_await write(std::move(out));
    co_return sent;
}

awaitable<bool> caller_reply::finish()
{
    std::string out = "0\r\n\r\n";
    const bool sent = co_await write(std::move(out));
    finished_ = sent;
    co_return sent;
}

} // namespace fennelladder::edge
