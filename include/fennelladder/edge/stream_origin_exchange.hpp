// Tells other nodes where the streams of this node begin, and asks them about
// streams that callers resume here.
//
//     exchange.begin({key, service, version, attempt});  // before it is sent
//     ...
//     const found_origin got = co_await exchange.find(key, service, until);
//
// A record goes to a few nodes in one datagram, before the request is sent to
// its target: no node that dies after its caller has an event takes the
// knowledge along. A question goes to the nodes that may hold the record, and
// again to those that don't answer, since datagrams may be lost.
//
// Which nodes, and what follows from what is known:
// dispatch/stream_origins.hpp. Not thread safe.

#ifndef FENNELLADDER_EDGE_STREAM_ORIGIN_EXCHANGE_HPP
#define FENNELLADDER_EDGE_STREAM_ORIGIN_EXCHANGE_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/mesh/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fennelladder::edge {

/// What this node and others know about a stream.
struct found_origin
{
    std::optional<dispatch::aged_origin> origin;
    dispatch::recent_versions versions; ///< Of the service.
    host_id source; ///< The node that knew it; this one if it didn't ask.
    std::size_t asked = 0;
    std::size_t answered = 0;
};

class stream_origin_exchange
{
public:
    /// Sends one datagram, which may be lost.
    using sender = std::function<void(const std::string& address,
                                      const mesh::datagram& message)>;

    stream_origin_exchange(node_tables& tables, sender send);

    /// Records where a stream begins, here and at other nodes. Call it before
    /// the request is sent there.
    void begin(const dispatch::stream_origin& origin);

    /// Looks the stream up here and at other nodes, since this one may have
    /// missed the last record. Completes when all have answered, shortly after
    /// one is known to have it, or at `until`.
    awaitable<found_origin> find(dispatch::stream_key key, service_id service,
                                 instant until);

    /// Sends the records that this node keeps to the nodes that are to keep
    /// them once it has ended.
    void hand_over();

    /// Handles messages of other nodes. `from` is the sender's address.
    void on_origins(const std::vector<dispatch::aged_origin>& origins);
    void on_question(const mesh::origin_question& question,
                     const std::string& from);
    void on_answer(const mesh::origin_answer& answer);

private:
    struct open_question
    {
        explicit open_question(asio::io_context& io) : timer(io) {}

        asio::steady_timer timer; ///< Cancelled at each answer.
        found_origin found;
        std::set<host_id> waiting_for;
    };

    std::vector<host_id> holders(dispatch::stream_key key, std::size_t most,
                                 bool after_leaving) const;
    void send_question(const mesh::origin_question& question,
                       const open_question& to);

    node_tables& tables_;
    sender send_;
    std::map<std::uint64_t, std::shared_ptr<open_question>> questions_;
    std::uint64_t last_number_ = 0;
};

} // namespace fennelladder::edge

#endif
