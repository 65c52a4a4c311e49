// How the nodes of a restarted fleet discover each other, in virtual time.
//
// A node starts with the addresses in its settings and those that the store
// listed when it registered. The list may be a copy some seconds old, so nodes
// that start together are missing from each other's lists.

#include "fennelladder/base/random.hpp"
#include "fennelladder/mesh/peer_view.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::mesh;

namespace {

constexpr instant start = instant(seconds(100));
constexpr duration tick = milliseconds(50);

/// Nodes with their peer views, over a network that loses one datagram in fifty
/// and otherwise delivers at once.
class starting_fleet
{
public:
    explicit starting_fleet(int n)
    {
        for (int i = 0; i < n; ++i)
            views_.emplace_back(host_id(name(i)), peer_view_options{});
    }

    void learn(int at, int other) { views_[at].add_addresses({name(other)}); }

    void run(duration length)
    {
        for (const instant end = now_ + length; now_ < end; now_ += tick)
            for (int from = 0; from < size(); ++from)
                for (const std::string& to : views_[from].due(now_))
                    send(from, to, options().introductions_per_heartbeat);
    }

    /// Smallest number of other nodes that any node sees as alive.
    std::size_t fewest_known() const
    {
        std::size_t out = views_.size();
        for (const mesh::peer_view& it : views_)
            out = std::min(out, it.alive(now_).size());
        return out;
    }

    int size() const { return static_cast<int>(views_.size()); }

private:
    static std::string name(int i) { return "n" + std::to_string(i); }

    const peer_view_options& options() const { return views_[0].options(); }

    node_heartbeat heartbeat_of(int i, std::size_t introductions)
    {
        node_heartbeat out;
        out.host = host_id(name(i));
        out.incarnation = node_incarnation(static_cast<std::uint64_t>(i) + 1);
        out.sequence = ++sequence_;
        out.state = node_state::ready;
        out.peer_address = name(i);
        out.heard = views_[i].recent_peers(now_);
        out.introduced = views_[i].introductions(introductions, now_);
        return out;
    }

    /// A node that hears a new one answers with a heartbeat of its own.
    void send(int from, const std::string& to, std::size_t introductions)
    {
        const int at = std::stoi(to.substr(1));
        if (random_.below(50) == 0)
            return;
        const node_heartbeat message = heartbeat_of(from, introductions);
        const bool is_new = views_[at].on_heartbeat(message, now_).new_node;
        std::vector<std::string> others = message.introduced;
        std::erase(others, name(at));
        views_[at].add_addresses(others);
        if (is_new)
            send(at, name(from), options().introductions);
    }

    std::vector<mesh::peer_view> views_;
    std::uint64_t sequence_ = 0;
    random_source random_{11};
    instant now_ = start;
};

} // namespace

TEST_GROUP(discovery){};

// Guards against incomplete discovery. Ninety-five hosts start together; each
// reads a copy of the store from before the last half of them registered, and
// its settings name three more. A node then heard 46 of the 94 others for good:
// callers were refused for lack of tokens that unknown nodes held, and sixteen
// nodes took themselves for one of the eight writers.
TEST(discovery, nodes_that_start_together_all_discover_each_other)
{
    for (const int n : {8, 30, 95, 200}) {
        starting_fleet all(n);
        for (int at = 0; at < n; ++at) {
            for (int other = 0; other < 3; ++other)
                if (other != at)
                    all.learn(at, other);
            for (int other = 3; other < at - n / 2; ++other)
                all.learn(at, other);
        }
        // The store has ten seconds before callers arrive.
        all.run(seconds(8));
        LONGS_EQUAL(n - 1, all.fewest_known());
    }
}
