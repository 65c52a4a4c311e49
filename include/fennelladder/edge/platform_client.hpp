// Calls the platform's store.
//
//     platform_reply got = co_await client.call(
//         platform_call::list_targets, http::verb::get, target, "", limit);
//     switch (got.outcome) ...
//
// Each call takes a kept connection or dials one. A connection on which a
// reply was lost answers nothing more; it is closed. The client repeats
// nothing: a call without a reply may have been carried out, or may be later.
//
// A call ends when its connection is silent for too long, not when the whole
// takes long: a megabyte over a link of 10 Mbit/s takes a second, and what is
// given up half way has to be sent again. When one connection fell silent the
// kept ones are closed too, since what cut it has probably cut them.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_PLATFORM_CLIENT_HPP
#define FENNELLADDER_EDGE_PLATFORM_CLIENT_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/socket_deadline.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace fennelladder::edge {

enum class call_outcome : std::uint8_t
{
    done,         ///< 2xx.
    missing,      ///< No such object.
    conflict,     ///< The condition didn't hold; the body has the object.
    history_gone, ///< That revision is too old to watch from.
    turned_away,  ///< Nothing was done.
    no_reply      ///< It may have been done, or may be done later.
};

std::string_view to_string(call_outcome value);

/// What a call is for; each is counted, and paid for, by itself.
enum class platform_call : std::uint8_t
{
    list_configuration,
    watch_configuration,
    list_targets,
    watch_targets,
    list_evacuations,
    watch_evacuations,
    list_nodes,
    register_node,
    read_allotments,
    write_allotments
};

inline constexpr std::size_t platform_call_count = 10;

std::string_view to_string(platform_call value);

struct platform_reply
{
    call_outcome outcome = call_outcome::no_reply;
    std::string body;
    instant first_byte_at; ///< When the first bytes of the reply came.

    /// The store took the call up: it neither turned this node away nor
    /// stayed silent.
    bool reached() const
    {
        return outcome != call_outcome::no_reply &&
               outcome != call_outcome::turned_away;
    }
};

class platform_client
{
public:
    explicit platform_client(node_tables& tables);

    /// Waits until `limit` for the answer's head, and after that as long as
    /// bytes come. Connecting has a limit of its own, and no call lasts longer
    /// than ten seconds after `limit`.
    awaitable<platform_reply> call(platform_call name, http::verb method,
                                   std::string target, std::string body,
                                   duration limit);

    /// Writes a line with the calls made since the last one, if there were
    /// any: what the fleet asks of the platform can be summed from logs.
    void log_calls();

    /// Closes the connections kept: the next calls dial.
    void close_idle() { idle_.clear(); }

private:
    struct connection
    {
        explicit connection(asio::io_context& io) : socket(io) {}

        tcp::socket socket;
        beast::flat_buffer buf;
        bool used = false;
        bool silent = false; ///< Closed since nothing came.
    };

    using connection_ptr = std::shared_ptr<connection>;
    using reply_parser = http::response_parser<http::string_body>;

    awaitable<platform_reply> exchange_on(connection_ptr with,
                                          http::verb method,
                                          const std::string& target,
                                          const std::string& body,
                                          duration limit);
    void count(platform_call name, const platform_reply& reply);
    awaitable<bool> connect(connection_ptr made);
    awaitable<bool> read_reply(connection_ptr with, reply_parser& parser,
                               socket_deadline& limit, instant until,
                               instant& first_byte_at);

    node_tables& tables_;
    std::vector<connection_ptr> idle_;
    std::array<std::uint32_t, platform_call_count>
        made_{}; ///< Since the last line.
    std::uint32_t conflicts_ = 0;
    std::uint32_t unanswered_ = 0;
};

} // namespace fennelladder::edge

#endif
