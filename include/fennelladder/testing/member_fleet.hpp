// Many member tables in one process and virtual time: the fake network that
// the tests of membership and `bench control` share. Every message goes
// through its real encoding.
//
//     member_fleet fleet({.nodes = 8, .seed = 1});
//     fleet.start_all();
//     fleet.run_for(seconds(10));
//     fleet.at(3).running = false;              // the host is gone: silence
//     fleet.reachable = [](auto from, auto to) { return from != 2; };
//
// Not thread safe.

#ifndef FENNELLADDER_TESTING_MEMBER_FLEET_HPP
#define FENNELLADDER_TESTING_MEMBER_FLEET_HPP

#include "fennelladder/membership/entry_planner.hpp"
#include "fennelladder/membership/member_table.hpp"
#include "fennelladder/membership/messages.hpp"
#include "fennelladder/testing/event_queue.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelladder::testing {

struct member_fleet_options
{
    std::size_t nodes = 8;
    std::size_t data_centers = 6; ///< Node i is in data center i % this.
    std::size_t regions = 2;      ///< Data center d is in region d % this.
    std::uint64_t seed = 1;
    duration latency = microseconds(500);       ///< One way, within a region.
    duration region_latency = milliseconds(30); ///< One way, between two.
    duration tick = milliseconds(100);
    membership::member_options table = {};
};

/// One node of the fleet.
struct fleet_node
{
    std::size_t number = 0;
    host_id host;
    membership::member_description description;
    std::unique_ptr<membership::member_table> table;
    bool running = false;
    bool refuses = false; ///< When down: connections are refused at once.
    bool paused = false;
    int life = 0;
    std::vector<std::function<void()>> unread; ///< Came in during a pause.
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_sent = 0; ///< Requests and replies.
};

class member_fleet
{
public:
    explicit member_fleet(const member_fleet_options& options)
        : options_(options), random_(options.seed)
    {
        for (std::size_t n = 0; n < options.nodes; ++n) {
            auto node = std::make_unique<fleet_node>();
            const std::size_t dc = n % options.data_centers;
            node->number = n;
            node->host = host_id("host-" + std::to_string(n));
            node->description.data_center =
                data_center_id("dc" + std::to_string(dc));
            node->description.region =
                region_id("region" + std::to_string(dc % options.regions));
            const std::string ip = "10." + std::to_string(dc) + '.' +
                                   std::to_string(n / 250) + '.' +
                                   std::to_string(n % 250 + 1);
            node->description.caller_address = ip + ":8080";
            node->description.peer_address = ip + ":7070";
            by_address_[node->description.peer_address] = n;
            nodes_.push_back(std::move(node));
        }
    }

    event_queue queue;

    /// Whether a packet from one node arrives at another.
    std::function<bool(std::size_t from, std::size_t to)> reachable;

    fleet_node& at(std::size_t number) { return *nodes_[number]; }
    std::size_t size() const { return nodes_.size(); }

    /// The host list with everyone on it.
    std::vector<membership::listed_host> host_list() const
    {
        std::vector<membership::listed_host> out;
        for (const auto& it : nodes_) {
            out.push_back({it->host, it->description.peer_address,
                           it->description.data_center, it->description.region,
                           false});
        }
        return out;
    }

    /// Starts a node as a new life; `version` 0 takes the seconds of now.
    void start(std::size_t number,
               const std::vector<membership::listed_host>& hosts,
               std::uint64_t version = 0)
    {
        fleet_node& node = at(number);
        ++node.life;
        node.description.life = incarnation_id(node.host.str() + '.' +
                                               std::to_string(random_.bits()));
        const instant now = queue.now();
        if (version == 0)
            version =
                static_cast<std::uint64_t>(to_seconds(now.time_since_epoch()));
        node.table = std::make_unique<membership::member_table>(
            node.host, node.description, version, options_.table,
            random_.fork());
        node.table->set_host_list(hosts, now);
        node.table->set_state(membership::member_state::serving, now);
        node.running = true;
        node.paused = false;
        node.unread.clear();
        const auto offset =
            from_seconds(random_.unit() * to_seconds(options_.tick));
        queue.after(offset,
                    [this, &node, life = node.life] { tick(node, life); });
    }

    void start_all()
    {
        for (std::size_t n = 0; n < size(); ++n)
            start(n, host_list());
    }

    void run_for(duration length) { queue.run_until(queue.now() + length); }

    void resume(std::size_t number)
    {
        fleet_node& node = at(number);
        node.paused = false;
        for (auto& it : std::exchange(node.unread, {}))
            it();
    }

    /// How many running nodes' tables have `host` up.
    std::size_t seen_up(std::size_t number) const
    {
        std::size_t n = 0;
        for (const auto& it : nodes_)
            n += sees(*it, *nodes_[number]) ? 1 : 0;
        return n;
    }

    /// Every running node sees exactly the running ones, in state serving.
    bool agrees() const
    {
        for (const auto& a : nodes_) {
            for (const auto& b : nodes_) {
                if (a->running && a != b && sees(*a, *b) != b->running)
                    return false;
            }
        }
        return true;
    }

    bool sees(const fleet_node& who, const fleet_node& whom) const
    {
        if (!who.running || &who == &whom)
            return false;
        const auto& rows = who.table->members();
        const auto it = rows.find(whom.host);
        return it != rows.end() && it->second.up() && it->second.described &&
               it->second.health == membership::member_health::alive;
    }

    /// Whether an entry answer of `who` for some caller names `whom`.
    bool gives_out(std::size_t who, std::size_t whom, int callers) const
    {
        membership::entry_planner planner({});
        const fleet_node& node = *nodes_[who];
        planner.update(*node.table, queue.now());
        for (int n = 0; n < callers; ++n) {
            const auto answer =
                planner.answer({caller_id("c" + std::to_string(n)),
                                nodes_[whom]->description.data_center,
                                nodes_[whom]->description.region});
            for (const auto& it : answer.addresses) {
                if (it.host == nodes_[whom]->host)
                    return true;
            }
        }
        return false;
    }

private:
    void tick(fleet_node& node, int life)
    {
        if (!node.running || node.life != life)
            return;
        if (!node.paused)
            flush(node);
        queue.after(options_.tick, [this, &node, life] { tick(node, life); });
    }

    void flush(fleet_node& node)
    {
        for (auto& it : node.table->tick(queue.now()))
            send(node, it);
    }

    duration latency(const fleet_node& a, const fleet_node& b)
    {
        const bool near = a.description.region == b.description.region;
        return jitter(random_,
                      near ? options_.latency : options_.region_latency);
    }

    bool passes(const fleet_node& a, const fleet_node& b) const
    {
        return !reachable || reachable(a.number, b.number);
    }

    void count(fleet_node& node, const std::string& bytes)
    {
        node.bytes_sent += bytes.size();
        ++node.messages_sent;
    }

    void send(fleet_node& from, const membership::outgoing& out)
    {
        const auto it = by_address_.find(out.peer_address);
        if (it == by_address_.end())
            return;
        fleet_node& to = at(it->second);
        const std::string bytes = membership::encode(out.message);
        count(from, bytes);
        if (!passes(from, to))
            return;
        queue.after(latency(from, to),
                    [this, &from, &to, bytes] { deliver(from, to, bytes); });
    }

    void deliver(fleet_node& from, fleet_node& to, const std::string& bytes)
    {
        if (!to.running) {
            if (to.refuses && passes(to, from) && from.running) {
                queue.after(latency(to, from), [this, &from, &to] {
                    from.table->send_failed(to.host, queue.now());
                });
            }
            return;
        }
        if (to.paused) {
            to.unread.push_back(
                [this, &from, &to, bytes] { deliver(from, to, bytes); });
            return;
        }
        const auto message = membership::decode_heartbeat(bytes);
        if (!message)
            return;
        const auto reply = to.table->receive(*message, queue.now());
        const std::string answer = membership::encode(reply);
        count(to, answer);
        if (to.table->has_outgoing())
            flush(to);
        if (passes(to, from)) {
            queue.after(latency(to, from),
                        [this, &from, answer] { deliver_reply(from, answer); });
        }
    }

    void deliver_reply(fleet_node& node, const std::string& bytes)
    {
        if (!node.running)
            return;
        if (node.paused) {
            node.unread.push_back(
                [this, &node, bytes] { deliver_reply(node, bytes); });
            return;
        }
        const auto reply = membership::decode_heartbeat_reply(bytes);
        if (!reply)
            return;
        node.table->receive_reply(*reply, queue.now());
        if (node.table->has_outgoing())
            flush(node);
    }

    member_fleet_options options_;
    random_source random_;
    std::vector<std::unique_ptr<fleet_node>> nodes_;
    std::unordered_map<std::string, std::size_t> by_address_;
};

} // namespace fennelladder::testing

#endif
