// Test support: some nodes with their configuration holders, a platform and
// virtual time. Faults are fields that a test sets between runs. After every
// step it checks, for every node: the generation in force and the highest
// seen never fall, and what is in force is what was accepted under its number.

#ifndef FENNELLADDER_LIBS_MANIFEST_HOLDER_WORLD_HPP
#define FENNELLADDER_LIBS_MANIFEST_HOLDER_WORLD_HPP

#include "fennelladder/manifest/apply.hpp"
#include "fennelladder/manifest/configuration_holder.hpp"
#include "fennelladder/manifest/synthetic.hpp"
#include "fennelladder/platform/memory_object_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelladder::manifest {

class holder_world
{
public:
    struct node
    {
        incarnation_id id;
        std::unique_ptr<configuration_holder> holder;
        int side = 0;         ///< Nodes of different sides don't meet.
        bool platform = true; ///< Reaches the platform.
        bool watch = true;    ///< Its watch isn't silent.
        bool alive = true;
        bool paused = false;
        generation last_in_force;
        generation last_highest;
        std::vector<holder_note> notes;
    };

    holder_world(std::size_t count, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t n = 0; n < count; ++n)
            start_node();
    }

    // Faults.
    bool platform_up = true;
    double lost = 0;       ///< Share of answers that never come.
    double damaged = 0;    ///< Share of answers with a flipped byte.
    double stale_root = 0; ///< Share of root reads that see an old root.
    duration delay = milliseconds(5); ///< Longest time of a call.
    bool heartbeats = true;

    std::vector<node> nodes;
    platform::memory_object_store store;
    instant now = from_nanoseconds(0) + hours(1);
    std::string broken; ///< The first promise broken, or empty.

    node& start_node()
    {
        node made;
        made.id = incarnation_id("n" + std::to_string(nodes.size()));
        made.holder = std::make_unique<configuration_holder>(
            holder_options{}, random_.fork(), now);
        nodes.push_back(std::move(made));
        return nodes.back();
    }

    /// An operator accepts change number `n`; the platform is up for it.
    generation accept(int n)
    {
        document manifest = make_synthetic({.teams = 20, .budgets = 60});
        manifest.budgets[std::size_t(n) % 60].topups[0].amount =
            tokens(100 + n);
        applier operators(store, {}, [](duration) {});
        apply_request request;
        request.manifest = std::move(manifest);
        request.apply = apply_id("a" + std::to_string(n));
        const auto receipt = operators.apply(request);
        const std::string bytes = store.get(root_key())->value;
        const root made = *decode_root(bytes);
        accepted_[made.change.number] = made.hash();
        if (old_roots_.empty() || old_roots_.back() != bytes)
            old_roots_.push_back(bytes);
        for (node& it : nodes) {
            if (it.watch && it.platform && platform_up)
                deliver(it, [this, bytes](node& to) {
                    to.holder->on_watch(bytes, now);
                });
        }
        return receipt->number;
    }

    void collect_orphans()
    {
        applier operators(store, {}, [](duration) {});
        (void)operators.collect_orphans();
    }

    /// Lets `length` pass.
    void run(duration length, duration tick = milliseconds(50))
    {
        const instant until = now + length;
        while (now < until) {
            now += tick;
            run_due();
            for (node& it : nodes) {
                if (it.alive && !it.paused)
                    step(it);
            }
        }
    }

    /// Whether all nodes alive have generation `number` in force.
    bool all_have(generation number) const
    {
        for (const node& it : nodes) {
            if (it.alive && it.holder->announce().number != number)
                return false;
        }
        return true;
    }

private:
    using action = std::function<void(node&)>;

    static bool meet(const node& a, const node& b)
    {
        return a.side == b.side && a.alive && b.alive && !b.paused;
    }

    // Hands something to a node after a while, unless it died meanwhile.
    void deliver(node& to, action what)
    {
        const auto index = std::size_t(&to - nodes.data());
        const auto after = duration(
            std::int64_t(random_.below(std::uint64_t(delay.count()) + 1)));
        due_.emplace(now + after, std::pair(index, std::move(what)));
    }

    void run_due()
    {
        while (!due_.empty() && due_.begin()->first <= now) {
            auto [index, what] = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            node& it = nodes[index];
            if (!it.alive)
                continue;
            if (it.paused) // Waits in the socket.
                due_.emplace(now + seconds(1), std::pair(index, what));
            else
                what(it);
            check(it);
        }
    }

    void step(node& it)
    {
        for (const fetch& one : it.holder->step(now))
            answer(it, one);
        if (heartbeats && random_.chance(0.1)) {
            node& to = nodes[random_.below(nodes.size())];
            const announcement said = it.holder->announce();
            if (&to != &it && meet(it, to) && said.number.value() > 0)
                deliver(to, [from = it.id, said](node& at) {
                    at.holder->on_announcement(from, said);
                });
        }
        check(it);
    }

    void answer(node& asker, const fetch& what)
    {
        if (random_.chance(lost))
            return;
        if (what.what == fetch_kind::parts) {
            auto page = asker.platform && platform_up
                            ? store.list(part_prefix(), what.after, 7)
                            : fail(error_code::unavailable, "down");
            deliver(asker, [this, call = what.call, page](node& to) {
                to.holder->on_page(call, page, now);
            });
            return;
        }
        auto bytes = what.from_platform() ? ask_platform(asker, what)
                                          : ask_peer(asker, what);
        if (bytes && !bytes->empty() && random_.chance(damaged))
            (*bytes)[random_.below(bytes->size())] ^= 1;
        deliver(asker, [this, call = what.call, bytes](node& to) {
            to.holder->on_answer(call, bytes, now);
        });
    }

    result<std::string> ask_platform(const node& asker, const fetch& what)
    {
        if (!asker.platform || !platform_up)
            return fail(error_code::unavailable, "down");
        if (what.what == fetch_kind::root && !old_roots_.empty() &&
            random_.chance(stale_root))
            return old_roots_[random_.below(old_roots_.size())];
        const auto key =
            what.what == fetch_kind::root ? root_key() : part_key(what.part);
        auto got = store.get(key);
        if (!got)
            return tl::unexpected(got.error());
        return got->value;
    }

    result<std::string> ask_peer(const node& asker, const fetch& what)
    {
        for (const node& it : nodes) {
            if (it.id != what.peer || !meet(asker, it))
                continue;
            const auto config = it.holder->in_force();
            if (!config)
                return fail(error_code::not_found, "none");
            if (what.what == fetch_kind::root)
                return encode(config->accepted());
            const auto part = config->parts().find(what.part);
            if (part == config->parts().end())
                return fail(error_code::not_found, "part");
            return *part->second;
        }
        return fail(error_code::unavailable, "no such peer");
    }

    void check(node& it)
    {
        for (holder_note& one : it.holder->take_notes())
            it.notes.push_back(std::move(one));
        const announcement in_force = it.holder->announce();
        const generation highest = it.holder->highest_seen();
        if (in_force.number < it.last_in_force)
            broken = it.id.str() + " reverted";
        if (highest < it.last_highest || highest < in_force.number)
            broken = it.id.str() + " forgot the highest it saw";
        if (in_force.number.value() > 0 &&
            accepted_[in_force.number] != in_force.hash)
            broken = it.id.str() + " has what was never accepted";
        if (it.holder->may_take_work(now) && !it.holder->in_force())
            broken = it.id.str() + " takes work without a configuration";
        it.last_in_force = in_force.number;
        it.last_highest = highest;
    }

    random_source random_;
    std::multimap<instant, std::pair<std::size_t, action>> due_;
    std::map<generation, configuration_hash> accepted_;
    std::vector<std::string> old_roots_;
};

} // namespace fennelladder::manifest

#endif
