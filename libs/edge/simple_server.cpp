#include "fennelladder/edge/simple_server.hpp"

#include "fennelladder/edge/connection_acceptor.hpp"
#include "fennelladder/edge/request_intake.hpp"
#include "fennelladder/edge/socket_deadline.hpp"

#include <algorithm>
#include <utility>

namespace fennelladder::edge {

namespace {

constexpr duration idle_timeout = seconds(10);
constexpr std::uint32_t header_limit = 8'192;
constexpr std::uint64_t body_limit = 16'384;

/// Kernel buffers of an accepted connection, which Linux doubles for its own
/// needs. By default they grow to megabytes, which a caller that doesn't read
/// fills.
constexpr int kernel_buffer_bytes = 32'768;

using intake_request = http::request<growing_body>;

simple_request to_simple_request(const intake_request& from)
{
    const std::string target(from.target().data(), from.target().size());
    const auto query_at = std::min(target.find('?'), target.size());
    simple_request out;
    out.method = std::string(from.method_string());
    out.path = target.substr(0, query_at);
    out.query = target.substr(std::min(query_at + 1, target.size()));
    return out;
}

/// Reads until the request is whole or faulty. Returns false if the connection
/// ended.
awaitable<bool> read_whole(tcp::socket& socket, beast::flat_buffer& buf,
                           request_intake& intake)
{
    for (;;) {
        intake.parse_all();
        if (intake.is_whole() || intake.fault() != intake_fault::none)
            co_return true;
        net_error ec;
        const std::size_t n = co_await socket.async_read_some(
            buf.prepare(intake.read_size()), into(ec));
        if (ec)
            co_return false;
        buf.commit(n);
    }
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
        // Accepted sockets inherit these.
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(kernel_buffer_bytes));
        acceptor.set_option(
            asio::socket_base::send_buffer_size(kernel_buffer_bytes));
        acceptor.bind(*endpoint);
        acceptor.listen(queue);
    } catch (const std::exception& failure) {
        return fail(error_code::unavailable, address + ": " + failure.what());
    }
    return {};
}

simple_server::simple_server(asio::io_context& io, std::string address,
                             connection_slots::limit_source connections,
                             handler answer)
    : io_(io), address_(std::move(address)), handler_(std::move(answer)),
      slots_(std::move(connections)), acceptor_(io)
{}

status simple_server::start()
{
    if (auto ok = listen_on(acceptor_, address_); !ok)
        return ok;
    const auto take = [this](tcp::socket socket) {
        spawn(io_, serve(std::make_shared<tcp::socket>(std::move(socket))),
              "small listener");
    };
    spawn_lasting(
        io_,
        [this, take] {
            return accept_connections(
                acceptor_, take, [](const auto&) {}, accept_limit_of(slots_));
        },
        "small listeners");
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
    const auto slot =
        slots_.take(socket, asio::steady_timer::clock_type::now());
    catalog::caller_limits limits;
    limits.header_bytes = header_limit;
    limits.body_bytes = body_limit;
    beast::flat_buffer buf;
    socket_deadline deadline(socket);
    for (bool keeps_open = true; keeps_open;) {
        deadline.close_after(idle_timeout);
        request_intake intake(buf, limits);
        const bool read = co_await read_whole(*socket, buf, intake);
        if (!read)
            co_return;
        slot->note_active(asio::steady_timer::clock_type::now());
        const intake_fault fault = intake.fault();
        keeps_open =
            fault == intake_fault::none && intake.parsed().keep_alive();
        const simple_response response =
            fault == intake_fault::none
                ? handler_(to_simple_request(intake.parsed().get()))
                : simple_response{status_of(fault), "text/plain",
                                  std::string(reason_of(fault)) + "\n"};
        http::response<http::string_body> answer(
            http::int_to_status(response.status), 11);
        answer.set(http::field::content_type, response.content_type);
        answer.body() = response.body;
        answer.keep_alive(keeps_open);
        answer.prepare_payload();
        net_error ec;
        co_await http::async_write(*socket, answer, into(ec));
        if (ec)
            co_return;
    }
    net_error ec;
    socket->shutdown(tcp::socket::shutdown_send, ec);
}

} // namespace fennelladder::edge
