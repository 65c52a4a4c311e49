// Checks the contract of peer_network for both implementations, and behavior
// that is specific to TCP.

#include "fennelladder/peer/local_peers.hpp"
#include "fennelladder/peer/messages.hpp"
#include "fennelladder/peer/thrift_peers.hpp"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <functional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::peer;

namespace {

constexpr duration long_timeout = seconds(20);

class echo_handler final : public peer_handler
{
public:
    result<std::string> handle_request(topic what,
                                       std::string_view message) override
    {
        if (what == topic::outcome)
            return fail(error_code::not_found, "no such key");
        return std::string(to_string(what)) + ":" + std::string(message);
    }
};

// A host that accepts connections but never sends anything.
class silent_host
{
public:
    silent_host() : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at);
        listen(fd_, 8);
        socklen_t size = sizeof at;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }

    ~silent_host() { close(fd_); }

    std::string address;

private:
    int fd_;
};

void check_contract(peer_network& peers, const peer_address& address)
{
    const std::string large(900'000, 'x');
    for (const std::string& message :
         {std::string(), std::string("a\0b", 3), large}) {
        const auto got = peers.send_request(address, topic::heartbeat, message,
                                            long_timeout);
        CHECK(got.has_value());
        CHECK(*got == "heartbeat:" + message);
    }
    const auto missing =
        peers.send_request(address, topic::outcome, "k", long_timeout);
    CHECK(missing.error().code == error_code::not_found);
    STRCMP_EQUAL("no such key", missing.error().message.c_str());
    std::vector<std::thread> senders;
    std::atomic<int> good{0};
    for (int n = 0; n < 16; ++n) {
        senders.emplace_back([&, n] {
            const std::string message = std::to_string(n);
            for (int round = 0; round < 20; ++round) {
                const auto got = peers.send_request(address, topic::transfer,
                                                    message, long_timeout);
                good += got && *got == "transfer:" + message;
            }
        });
    }
    for (std::thread& it : senders)
        it.join();
    LONGS_EQUAL(320, good.load());
}

} // namespace

TEST_GROUP(peers){};

TEST(peers, contract_of_the_local_network)
{
    echo_handler handler;
    local_peer_network peers;
    peers.serve("a", &handler);
    check_contract(peers, "a");
    peers.serve("a", nullptr);
    CHECK(peers.send_request("a", topic::heartbeat, "", long_timeout)
              .error()
              .code == error_code::unavailable);
}

TEST(peers, contract_of_the_tcp_network)
{
    echo_handler handler;
    auto server = thrift_peer_server::start("127.0.0.1:0", handler, {});
    CHECK(server.has_value());
    thrift_peer_network peers({});
    const peer_address address = (*server)->address();
    check_contract(peers, address);
    LONGS_EQUAL(324, peers.traffic().requests);
    server->reset();
    // The pooled connections are closed now; the first request detects it.
    peers.send_request(address, topic::heartbeat, "", long_timeout);
    CHECK(peers.send_request(address, topic::heartbeat, "", long_timeout)
              .error()
              .code == error_code::unavailable);
}

// A node stays unreachable although its host accepts new connections, because a
// device between the nodes lost the state of the open one. The request's
// timeout closes the connection, and the next request opens a new one.
TEST(peers, a_silent_connection_is_replaced)
{
    silent_host host;
    thrift_peer_network peers({});
    const auto got = peers.send_request(host.address, topic::heartbeat, "",
                                        milliseconds(30));
    CHECK(got.error().code == error_code::ambiguous);
    const auto again = peers.send_request(host.address, topic::heartbeat, "",
                                          milliseconds(30));
    CHECK(again.error().code == error_code::ambiguous);
    LONGS_EQUAL(2, peers.traffic().failures);
}

// A node whose caller port is already in use stops at once. Its peer server was
// then stopped before the server loop had started; the loop missed the stop,
// and the process neither served nor exited.
TEST(peers, a_server_stops_before_its_loop_has_started)
{
    echo_handler handler;
    for (int n = 0; n < 20; ++n) {
        auto server = thrift_peer_server::start("127.0.0.1:0", handler, {});
        CHECK(server.has_value());
    }
}

TEST(peers, invalid_addresses_are_errors)
{
    thrift_peer_network peers({});
    echo_handler handler;
    for (const char* address : {"", "127.0.0.1", "127.0.0.1:", "1:x"}) {
        CHECK(peers.send_request(address, topic::heartbeat, "", long_timeout)
                  .error()
                  .code == error_code::invalid);
        CHECK_FALSE(
            thrift_peer_server::start(address, handler, {}).has_value());
    }
}

TEST(peers, append_messages_are_decoded_as_encoded)
{
    const append_request request{
        shard_id(7),
        {{{incarnation_id("n.1"), 3, 2, 1}, 5, std::string("\0x", 2)},
         {{incarnation_id("n.1"), 4, 2, 1}, 6, ""}}};
    const auto got = decode_append_request(encode(request));
    CHECK(got.has_value());
    LONGS_EQUAL(7, got->shard.value());
    LONGS_EQUAL(2, got->records.size());
    CHECK(got->records[0].payload == request.records[0].payload);
    LONGS_EQUAL(4, got->records[1].mark.sequence);
    const std::vector<journal::applied_record> applied{
        {request.records[0].mark, journal::record_outcome::refused, "r", true}};
    const auto response = decode_append_response(encode(applied));
    CHECK(response.has_value());
    CHECK((*response)[0].outcome == journal::record_outcome::refused);
    CHECK((*response)[0].found);
    const std::string bytes = encode(request);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        decode_append_request(std::string_view(bytes).substr(0, n));
    CHECK_FALSE(decode_append_request("\xff\xff\xff\xff").has_value());
}
