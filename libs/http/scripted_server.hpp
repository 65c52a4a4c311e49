// A TCP server for tests that follows a script: the n-th request that it
// receives, on any connection, is answered by the n-th step.
//
//     scripted_server server({{.send = ok("hi")}, {.then = after::hang}});
//     client.fetch({.url = server.url()}, timeouts);
//     CHECK(server.requests() == 1);

#ifndef FENNELLADDER_HTTP_SCRIPTED_SERVER_HPP
#define FENNELLADDER_HTTP_SCRIPTED_SERVER_HPP

#include <arpa/inet.h>
#include <atomic>
#include <cassert>
#include <mutex>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace fennelladder::http {

/// What the server does with the connection after it sent a step's bytes.
enum class after
{
    keep,  ///< Read the next request from the connection.
    close, ///< Close it.
    hang   ///< Keep it open and send nothing until the server stops.
};

/// The response to one request.
struct step
{
    std::string send = {};
    after then = after::keep;
};

inline std::string ok(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Thread safe. Serves each connection on a separate thread.
class scripted_server
{
public:
    explicit scripted_server(std::vector<step> script)
        : script_(std::move(script)), listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof(at);
        [[maybe_unused]] const int ok =
            bind(listener_, reinterpret_cast<sockaddr*>(&at), n) |
            listen(listener_, 64) |
            getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &n);
        assert(ok == 0);
        port_ = ntohs(at.sin_port);
        acceptor_ = std::thread([this] { accept_connections(); });
    }

    ~scripted_server()
    {
        stopping_ = true;
        acceptor_.join();
        for (std::thread& it : connection_threads_)
            it.join();
        close(listener_);
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_) + "/";
    }

    int requests() const { return requests_; }
    int connections() const { return connections_; }

private:
    bool wait_readable(int fd) const
    {
        pollfd it{fd, POLLIN, 0};
        while (!stopping_) {
            if (poll(&it, 1, 5) > 0)
                return true;
        }
        return false;
    }

    void accept_connections()
    {
        while (wait_readable(listener_)) {
            const int fd = accept(listener_, nullptr, nullptr);
            ++connections_;
            connection_threads_.emplace_back([this, fd] {
                serve(fd);
                close(fd);
            });
        }
    }

    bool read_request_header(int fd) const
    {
        std::string head;
        char c = 0;
        while (!head.ends_with("\r\n\r\n")) {
            if (!wait_readable(fd) || recv(fd, &c, 1, 0) != 1)
                return false;
            head += c;
        }
        return true;
    }

    void serve(int fd)
    {
        while (read_request_header(fd)) {
            const auto n = static_cast<std::size_t>(requests_++);
            assert(n < script_.size());
            const step& current = script_[n];
            send(fd, current.send.data(), current.send.size(), MSG_NOSIGNAL);
            if (current.then == after::close)
                return;
            while (current.then == after::hang && !stopping_)
                usleep(1000);
        }
    }

    std::vector<step> script_;
    int listener_;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> requests_ = 0;
    std::atomic<int> connections_ = 0;
    std::thread acceptor_;
    std::vector<std::thread> connection_threads_;
};

} // namespace fennelladder::http

#endif
