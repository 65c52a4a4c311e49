#include "fennelladder/edge/simple_server.hpp"

#include "fennelladder/edge/socket_deadline.hpp"

namespace fennelladder::edge {

namespace {

constexpr duration accept_pause = milliseconds(50);
constexpr duration idle_limit = seconds(10);
constexpr std::uint32_t header_limit = 8'192;
constexpr std::uint64_t body_limit = 16'384;

simple_request request_of(const http::request<http::string_body>& from)
{
    const std::string target(from.target().data(), from.target().size());
    const auto mark = std::min(target.find('?'), target.size());
    simple_request out;
    out.method = std::string(from.method_string());
    out.path = target.substr(0, mark);
    out.query = target.substr(std::min(mark + 1, target.size()));
    return out;
}

} // namespace

status listen_on(tcp::acceptor& acceptor, const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
        return fail(error_code::invalid, "not an address: '" + address + "'");
    try {
        acceptor.open(endpoint->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*endpoint);
        acceptor.listen();
    } catch (const std::exception& failure) {
        return fail(error_code::unavailable, address + ": " + failure.what());
    }
    return {};
}

simple_server::simple_server(asio::io_context& io, std::string address,
                             handler answer)
    : io_(io), address_(std::move(address)), answer_(std::move(answer)),
      acceptor_(io)
{}

status simple_server::start()
{
    if (auto ok = listen_on(acceptor_, address_); !ok)
        return ok;
    spawn(io_, accept());
    return {};
}

void simple_server::stop()
{
    net_error ec;
    acceptor_.close(ec);
}

awaitable<void> simple_server::accept()
{
    asio::steady_timer timer(io_);
    while (acceptor_.is_open()) {
        auto socket = std::make_shared<tcp::socket>(io_);
        net_error ec;
        co_await acceptor_.async_accept(*socket, into(ec));
        if (!ec)
            spawn(io_, serve(socket));
        else
            co_await sleep_on(timer, accept_pause);
    }
}

awaitable<void> simple_server::serve(std::shared_ptr<tcp::socket> socket)
{
    enable_keepalive(*socket, idle_limit);
    beast::flat_buffer buf;
    socket_deadline limit(socket);
    for (;;) {
        limit.close_after(idle_limit);
        http::request_parser<http::string_body> parser;
        parser.header_limit(header_limit);
        parser.body_limit(body_limit);
        net_error ec;
        co_await http::async_read(*socket, buf, parser, into(ec));
        if (ec)
            co_return;
        const auto& asked = parser.get();
        const simple_response made = answer_(request_of(asked));
        http::response<http::string_body> answer(
            http::int_to_status(made.status), 11);
        answer.set(http::field::content_type, made.content_type);
        answer.body() = made.body;
        answer.keep_alive(asked.keep_alive());
        answer.prepare_payload();
        co_await http::async_write(*socket, answer, into(ec));
        if (ec || !asked.keep_alive())
            co_return;
    }
}

} // namespace fennelladder::edge
