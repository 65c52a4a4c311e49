// A fleet of nodes that move tokens over a network that loses, duplicates and
// reorders datagrams. For tests.
//
//     fleet all(seed, loss);
//     all.token_balances(0).credit(team, tokens(1000));
//     all.exchange_stock();
//     spawn(all.io(), acquire(all, 1, tokens(300), got));
//     all.run_for(milliseconds(100));
//
// Runs in real time. Not thread safe.

#ifndef FENNELLADDER_EDGE_TOKEN_FLEET_FIXTURE_HPP
#define FENNELLADDER_EDGE_TOKEN_FLEET_FIXTURE_HPP

#include "fennelladder/edge/token_allocator.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace fennelladder::edge::token_fleet {

inline const team_id team("t");

inline adapter::host_settings settings_of(int i)
{
    adapter::host_settings out;
    out.host = host_id("n" + std::to_string(i));
    out.ip = "127.0.0.1";
    // Nothing listens there: the platform is unreachable.
    out.store_address = "127.0.0.1:1";
    return out;
}

inline std::string address_of(int i)
{
    return "127.0.0.1:" + std::to_string(7000 + i);
}

class fleet
{
public:
    fleet(std::uint64_t seed, double loss, int size = 3)
        : random_(seed), loss_(loss), size_(size)
    {
        telemetry::set_log_sink([](auto&&...) {});
        for (int i = 0; i < size_; ++i)
            nodes_.push_back(std::make_unique<node>(*this, i, random_.bits()));
    }

    ~fleet() { telemetry::set_log_sink(nullptr); }

    prepaid::token_balances& token_balances(int i)
    {
        return nodes_[i]->tables.token_balances;
    }
    token_allocator& allocator(int i) { return nodes_[i]->allocator; }
    asio::io_context& io() { return io_; }
    instant now() { return time_.now(); }

    /// Each node receives a heartbeat with the balances of the others.
    void exchange_stock()
    {
        for (int from = 0; from < size_; ++from) {
            mesh::node_heartbeat hello;
            hello.host = host_id("n" + std::to_string(from));
            hello.incarnation = nodes_[from]->tables.incarnation;
            hello.sequence = ++sequence_;
            hello.state = mesh::node_state::ready;
            hello.peer_address = address_of(from);
            hello.stock = allocator(from).local_stock();
            for (int to = 0; to < size_; ++to)
                if (to != from) {
                    nodes_[to]->tables.peers.on_heartbeat(hello, now());
                    allocator(to).on_heartbeat(hello);
                }
        }
    }

    /// Runs for `length`. Datagrams arrive in any order, twice, or not at all.
    void run_for(duration length)
    {
        const instant end = now() + length;
        while (now() < end) {
            io_.restart();
            handlers_ += io_.run_for(milliseconds(1));
            deliver();
        }
    }

    /// Runs until all grants have arrived, for `longest` at most.
    void settle(duration longest)
    {
        const instant end = now() + longest;
        run_for(milliseconds(100));
        while (in_transit() > tokens(0) && now() < end)
            run_for(milliseconds(10));
    }

    /// The node's process is killed, and another one starts on its host. What
    /// was sent to the one may arrive at the other.
    void restart(int i)
    {
        nodes_[i]->ended = true;
        ended_.push_back(std::move(nodes_[i]));
        nodes_[i] = std::make_unique<node>(*this, i, random_.bits());
        exchange_stock();
    }

    /// Number of handlers that the event loop has run.
    std::size_t handlers() const { return handlers_; }

    /// Number of datagrams that nodes have sent.
    std::size_t messages() const { return messages_; }

    tokens held() const { return held_by(nodes_); }

    /// What running and ended processes hold or held at their end.
    tokens ever_held() const { return held() + held_by(ended_); }

    tokens in_transit() const
    {
        tokens out;
        for (const auto& it : nodes_)
            out += it->allocator.in_transit();
        return out;
    }

private:
    struct node
    {
        node(fleet& all, int i, std::uint64_t seed)
            : tables(all.io_, all.time_, settings_of(i), seed), client(tables),
              allocator(tables, client,
                        [this, &all, i](const std::string& to,
                                        const mesh::datagram& message) {
                            if (!ended)
                                all.send(i, to, message);
                        })
        {
            catalog::configuration_parts parts;
            parts.version = catalog::configuration_version(1);
            catalog::team payer;
            payer.id = team;
            payer.prepaid = tokens(100'000);
            parts.teams = {payer};
            tables.apply_configuration(std::move(parts), "", "test");
        }

        node_tables tables;
        platform_client client;
        token_allocator allocator;
        bool ended = false;
    };

    using node_list = std::vector<std::unique_ptr<node>>;

    static tokens held_by(const node_list& nodes)
    {
        tokens out;
        for (const auto& it : nodes)
            for (const auto& [id, held] : it->tables.token_balances.holdings())
                out += held.free + held.reserved + held.spent;
        return out;
    }

    struct queued_datagram
    {
        int from;
        int to;
        std::string bytes;
    };

    void send(int from, const std::string& to, const mesh::datagram& message)
    {
        const int target = std::stoi(to.substr(to.rfind(':') + 1)) - 7000;
        ++messages_;
        const int copies = random_.chance(loss_)   ? 0
                           : random_.chance(loss_) ? 2
                                                   : 1;
        for (int k = 0; k < copies; ++k)
            datagrams_.push_back({from, target, mesh::encode(message)});
    }

    void deliver()
    {
        while (!datagrams_.empty()) {
            const std::size_t i = random_.below(datagrams_.size());
            const queued_datagram it = datagrams_[i];
            datagrams_.erase(datagrams_.begin() +
                             static_cast<std::ptrdiff_t>(i));
            const auto message = mesh::decode_datagram(it.bytes);
            CHECK(message.has_value());
            token_allocator& allocator = nodes_[it.to]->allocator;
            if (message->request)
                allocator.on_token_request(*message->request,
                                           address_of(it.from));
            if (message->grant)
                allocator.on_token_grant(*message->grant, address_of(it.from));
            if (message->grant_ack)
                allocator.on_grant_acknowledged(*message->grant_ack);
            if (message->push)
                allocator.on_token_push(*message->push, address_of(it.from));
            if (message->push_ack)
                allocator.on_push_acknowledged(*message->push_ack);
        }
    }

    asio::io_context io_{1};
    system_clock time_;
    random_source random_;
    double loss_;
    std::uint64_t sequence_ = 0;
    std::size_t handlers_ = 0;
    std::size_t messages_ = 0;
    std::deque<queued_datagram> datagrams_;
    int size_;
    node_list nodes_;
    node_list ended_;
};

inline awaitable<void> acquire(fleet& all, int i, tokens amount, int& got,
                               int urgency = 0)
{
    const instant until = all.now() + milliseconds(80);
    token_allocator& here = all.allocator(i);
    const shortage lacks = co_await here.acquire(team, amount, urgency, until);
    if (lacks != shortage::none)
        co_return;
    ++got;
    here.settle(team, amount, amount);
}

/// Acquires tokens at random nodes, `count` times.
inline void acquire_at_random(fleet& all, random_source& random, int count,
                              int& got)
{
    for (int i = 0; i < count; ++i) {
        all.exchange_stock();
        const tokens amount(static_cast<std::int64_t>(1 + random.below(300)));
        spawn(all.io(),
              acquire(all, static_cast<int>(random.below(3)), amount, got));
        all.run_for(milliseconds(5));
    }
}

struct collected
{
    int served = 0;
    tokens held;
    std::size_t messages = 0;
};

/// Each node of a fleet holds `leftover` tokens, and requests `amount` at the
/// same time as all others.
inline collected ask_everywhere(int size, tokens leftover, tokens amount,
                                std::uint64_t seed, bool knows_outage)
{
    fleet all(seed, 0, size);
    for (int i = 0; i < size; ++i)
        all.token_balances(i).credit(team, leftover);
    all.exchange_stock();
    if (knows_outage) {
        for (int i = 0; i < size; ++i)
            all.allocator(i).start();
        all.run_for(milliseconds(600));
        all.exchange_stock();
    }
    collected out;
    const std::size_t before = all.messages();
    for (int i = 0; i < size; ++i)
        spawn(all.io(), acquire(all, i, amount, out.served));
    all.run_for(milliseconds(150));
    out.held = all.held();
    out.messages = all.messages() - before;
    return out;
}

/// What the fleet holds in leftovers of several sizes must serve as many
/// requests as it covers.
inline void check_leftovers(int size)
{
    const tokens amount(600);
    for (const std::int64_t leftover : {100, 400, 550})
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const collected got =
                ask_everywhere(size, tokens(leftover), amount, seed, true);
            LONGS_EQUAL(size * leftover / amount.count(), got.served);
            LONGS_EQUAL(size * leftover, got.held.count());
            // A few to each other node.
            CHECK(got.messages <= 4 * static_cast<std::size_t>(size) *
                                      static_cast<std::size_t>(size));
        }
}

} // namespace fennelladder::edge::token_fleet

#endif
