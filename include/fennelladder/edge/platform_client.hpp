// HTTP client for the platform's object store.
//
//     platform_reply got = co_await client.call(
//         platform_call::list_targets, http::verb::get, target, "", limit);
//     switch (got.outcome) ...
//
// Each call uses an idle connection or opens one. A connection on which a reply
// was lost can't be used any more and is closed. The client doesn't retry: a
// call without a reply may have been carried out, or may be carried out later.
//
// A call times out if its connection is silent for too long, not if the whole
// transfer takes long: a megabyte over a link of 10 Mbit/s takes a second, and
// an aborted transfer has to be repeated. When a connection has timed out, the
// idle ones are closed too, since the same failure has probably cut them.
//
// Each reply states the era of the store. A later one than known is noted in
// the tables before the call returns; what a reply of an earlier one says is
// not passed on.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_PLATFORM_CLIENT_HPP
#define FENNELLADDER_EDGE_PLATFORM_CLIENT_HPP

#include "fennelladder/edge/growing_body.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/response_intake.hpp"
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
    conflict,     ///< The precondition failed; the body contains the object.
    history_gone, ///< The revision is too old to watch from.
    turned_away,  ///< Refused or never sent; not carried out.
    outdated,     ///< Of an earlier era of the store: it may be lost again.
    no_reply      ///< May have been carried out, or may be later.
};

std::string_view to_string(call_outcome value);

/// The operation of a call; the platform counts and charges each separately.
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
    instant first_byte_at;  ///< When the first bytes of the reply came.
    catalog::store_era era; ///< As the reply states.

    /// Whether the store processed the call: it neither refused it nor failed
    /// to reply.
    bool reached() const
    {
        return outcome != call_outcome::no_reply &&
               outcome != call_outcome::turned_away &&
               outcome != call_outcome::outdated;
    }
};

class platform_client
{
public:
    explicit platform_client(node_tables& tables);

    /// Waits up to `limit` for the head of the response, and after that as long
    /// as bytes arrive. Connecting has its own timeout, and no call takes
    /// longer than ten seconds beyond `limit`.
    awaitable<platform_reply> call(platform_call name, http::verb method,
                                   std::string target, std::string body,
                                   duration limit);

    /// Logs the number of calls since the last log_calls(), if there were any,
    /// so that the load of the fleet on the platform can be summed from logs.
    void log_calls();

    /// Closes the idle connections; the next calls open new ones.
    void close_idle() { idle_.clear(); }

private:
    struct connection
    {
        explicit connection(asio::io_context& io) : socket(io) {}

        tcp::socket socket;
        beast::flat_buffer buf;
        bool established = false;
        bool timed_out = false;
    };

    using connection_ptr = std::shared_ptr<connection>;
    using reply_intake = response_intake<growing_body>;

    awaitable<platform_reply> exchange_on(connection_ptr with,
                                          http::verb method,
                                          const std::string& target,
                                          const std::string& body,
                                          duration limit);
    void count(platform_call name, const platform_reply& reply);
    awaitable<bool> connect(connection_ptr made);
    awaitable<net_error> read_reply(connection_ptr with, reply_intake& reply,
                                    socket_deadline& limit, instant until,
                                    instant& first_byte_at);
    awaitable<net_error> receive(connection_ptr with, reply_intake& reply,
                                 socket_deadline& limit, instant until,
                                 instant& first_byte_at, std::size_t& held);
    bool may_hold(std::size_t& held, std::size_t bytes);
    void log_malformed(const std::string& target, const net_error& fault);

    node_tables& tables_;
    std::vector<connection_ptr> idle_;
    std::array<std::uint32_t, platform_call_count>
        call_counts_{};    ///< Since the last log_calls().
    std::size_t held_ = 0; ///< Bytes of replies that are being read.
    std::uint32_t conflicts_ = 0;
    std::uint32_t unanswered_ = 0;
};

} // namespace fennelladder::edge

#endif
