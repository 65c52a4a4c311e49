#include "fennelladder/edge/simple_server.hpp"

#include "fennelladder/edge/connection_acceptor.hpp"
#include "fennelladder/edge/socket_deadline.hpp"

namespace fennelladder::edge {

namespace {

constexpr duration idle_timeout = seconds(10);
constexpr std::uint32_t header_limit = 8'192;
constexpr std::uint64_t body_limit = 16'384;

simple_request to_simple_request(const http::request<http::string_body>& from)
{
    const std::string target(from.target().data(), from.target().size());
    const auto query_at = std::min(target.find('?'), target.size());
    simple_request out;
    out.method = std::string(from.method_string());
    out.path = target.substr(0, query_at);
    out.query = target.substr(std::min(query_at + 1, target.size()));
    return out;
}

} // namespace

status listen_on(tcp::acceptor& acceptor, const std::string& address, int queue)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        return fail(error_code::invalid,
                    "not an IP:port address: '" + address + "'");
    try {
        acceptor.open(endpoint->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*endpoint);
        acceptor.listen(queue);
    } catch (const std::exception& failure) {
        return fail(error_code::unavailable, address + ": " + failure.what());
    }
    return {};
}

simple_server::simple_server(asio::io_context& io, std::string address,
                             handler answer)
    : io_(io), address_(std::move(address)), handler_(std::move(answer)),
      acceptor_(io)
{}

status simple_server::start()
{
    if (auto ok = listen_on(acceptor_, address_); !ok)
        return ok;
    spawn(io_, accept_connections(acceptor_, [this](tcp::socket socket) {
              spawn(io_,
                    serve(std::make_shared<tcp::socket>(std::move(socket))));
          }));
    return {};
}

void simple_server::stop()
{
    net_error ec;
    acceptor_.close(ec);
}

awaitable<void> simple_server::serve(std::shared_ptr<tcp::socket> socket)
{
    enable_keepalive(*socket, idle_timeout);
    beast::flat_buffer buf;
    socket_deadline limit(socket);
    for (;;) {
        limit.close_after(idle_timeout);
        http::request_parser<http::string_body> parser;
        parser.header_limit(header_limit);
        parser.body_limit(body_limit);
        net_error ec;
        co_await http::async_read(*socket, buf, parser, into(ec));
        if (ec)
            co_return;
        const auto& request = parser.get();
        const simple_response response = handler_(to_simple_request(request));
        http::response<http::string_body> answer(
            http::int_to_status(response.status), 11);
        answer.set(http::field::content_type, response.content_type);
        answer.body() = response.body;
        answer.keep_alive(request.keep_alive());
        answer.prepare_payload();
        co_await http::async_write(*socket, answer, into(ec));
        if (ec || !request.keep_alive())
            co_return;
    }
}

} // namespace fennelladder::edge
