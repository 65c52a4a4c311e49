// What all nodes of a fleet together send to a target that names a limit,
// against what it allows: in any 4 s one and a half times the limit, and 5
// more, from nodes that have known of it for half a second.

#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/target_book.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace fennelladder;
using namespace fennelladder::dispatch;

namespace {

const service_id llm("llm");
const target_id needy("i-needy");
constexpr instant start = instant(seconds(100));

/// From the first answer that names the limit on, nodes may need so long.
constexpr double grace_s = 3;
constexpr double window_s = 4;

host_id host(std::size_t n)
{
    return host_id("host-" + std::to_string(n));
}

struct fleet_options
{
    std::size_t nodes = 8;
    double requests_per_second = 50;
    double rate = 1; ///< The limit named.
};

/// A fleet before one target, which names its limit in each answer from 0 s
/// until `ends_s`.
class fleet
{
public:
    explicit fleet(fleet_options options) : options_(options)
    {
        for (std::size_t i = 0; i < options.nodes; ++i)
            hosts_.push_back(host(i));
        for (std::size_t i = 0; i < options.nodes; ++i)
            nodes_.push_back(make(i, hosts_));
    }

    double ends_s = 1e9;

    void run_until(double until_s, random_source& random)
    {
        while (now_ < until_s) {
            now_ += random.exponential(1 / options_.requests_per_second);
            send(nodes_[random.below(nodes_.size())], random);
        }
    }

    /// The node starts anew and knows these hosts.
    void restart(std::size_t n, std::vector<host_id> known)
    {
        nodes_[n] = make(n, std::move(known));
    }

    const std::vector<host_id>& hosts() const { return hosts_; }

    /// The most requests in a window, of those that count.
    int worst_window() const
    {
        int out = 0;
        for (const double from : counted_)
            if (from >= grace_s)
                out = std::max(out, sent(counted_, from));
        return out;
    }

    int allowed() const
    {
        return static_cast<int>(1.5 * options_.rate * window_s + 5);
    }

    /// All requests that the target got in the window from `from_s` on.
    int got(double from_s) const { return sent(all_, from_s); }

private:
    struct node
    {
        target_book book;
        double told = 1e9; ///< When it first got an answer with the limit.
    };

    node make(std::size_t n, std::vector<host_id> known) const
    {
        target_book_options options;
        options.self = host(n);
        node out{target_book(options)};
        catalog::target_entry entry;
        entry.id = needy;
        entry.service = llm;
        entry.address = "10.0.0.1:80";
        entry.slots = 24;
        out.book.sync({{needy, entry}}, false, start);
        out.book.set_carrier_hosts(std::move(known));
        return out;
    }

    instant at() const { return start + from_seconds(now_); }

    void send(node& by, random_source& random)
    {
        work_wish wish;
        wish.service = llm;
        const auto made = by.book.choose(wish, at(), random);
        if (!made)
            return;
        by.book.started(*made, wish, at());
        by.book.finished(*made, false, target_evidence::answered, at());
        all_.push_back(now_);
        if (now_ >= by.told + 0.5)
            counted_.push_back(now_);
        const bool names = now_ < ends_s;
        by.book.note_rate_limit({needy, {}},
                                names ? std::optional(options_.rate)
                                      : std::nullopt,
                                at());
        if (names)
            by.told = std::min(by.told, now_);
    }

    static int sent(const std::vector<double>& in, double from)
    {
        return static_cast<int>(std::ranges::lower_bound(in, from + window_s) -
                                std::ranges::lower_bound(in, from));
    }

    fleet_options options_;
    std::vector<host_id> hosts_;
    std::vector<node> nodes_;
    double now_ = 0;
    std::vector<double> all_;
    std::vector<double> counted_;
};

void check_limit(const fleet& all)
{
    CHECK_TEXT(all.worst_window() <= all.allowed(),
               (std::to_string(all.worst_window()) + " requests, " +
                std::to_string(all.allowed()) + " allowed")
                   .c_str());
}

} // namespace

TEST_GROUP(limited_target)
{
    random_source random{1};
};

// Guards against a fleet that goes on as before where a target names a limit.
TEST(limited_target, gets_what_it_names_from_all_nodes_together)
{
    for (const std::size_t nodes : {1, 3, 8, 83, 340})
        for (const double rate : {0.0, 0.4, 1.0, 1.3, 7.5, 30.0}) {
            fleet all({.nodes = nodes, .rate = rate});
            all.run_until(40, random);
            check_limit(all);
        }
}

// Guards against a limit that is kept by sending nothing.
TEST(limited_target, is_used)
{
    for (const double rate : {1.0, 1.3, 7.5, 30.0}) {
        fleet all({.rate = rate});
        all.run_until(40, random);
        CHECK(all.got(20) >= rate * window_s / 2);
    }
}
