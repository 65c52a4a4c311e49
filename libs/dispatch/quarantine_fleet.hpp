// A fleet of nodes and targets in virtual time, to which requests with a part
// come on which targets crash. For tests of the quarantine.
//
//     fleet_options options;
//     options.losses_s = {30};
//     const fleet_result got = fleet(options).run();

#ifndef FENNELLADDER_DISPATCH_QUARANTINE_FLEET_HPP
#define FENNELLADDER_DISPATCH_QUARANTINE_FLEET_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/dispatch/quarantine.hpp"
#include "fennelladder/dispatch/run_leases.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace fennelladder::dispatch::quarantine_fleet {

inline constexpr instant start = instant(seconds(1000));
inline const run_place place =
    place_of(service_id("s"), catalog::software_version("v"));

inline const crash_mark bad = crash_mark::of_part(0xbad);
inline const crash_mark first = crash_mark::of_part(0xa1);

/// From the sending of a request to the death of its target, and from there
/// until its node has found out.
inline constexpr duration time_to_die = milliseconds(100);
inline constexpr duration time_to_notice = milliseconds(35);
inline constexpr duration message_time = milliseconds(5);
inline constexpr duration restart_time = seconds(4);
inline constexpr duration sound_run_time = seconds(1);

/// The limit: requests with the part that reach targets later than
/// `contact_time` after the fifth death.
inline constexpr duration contact_time = seconds(3);
inline constexpr duration settling_time = 2 * contact_time;
inline constexpr int known_deaths = 5;
inline constexpr int later_arrivals = 3;

struct fleet_options
{
    std::size_t nodes = 8;
    std::size_t targets = 18;
    double bad_per_second = 20;
    double sound_per_second = 40;
    double lost_messages = 0.02;
    /// One node gives leave for all; else each gives it to itself.
    bool one_giver = true;
    double length_s = 60;
    /// When all nodes die at once and start anew, and with them what they knew.
    std::vector<double> losses_s;
    std::uint64_t seed = 1;
};

struct fleet_result
{
    int deaths = 0;
    int later_arrivals = 0;
    std::vector<int> deaths_after_loss; ///< Until the next one.
    int sound = 0;
    int sound_refused = 0; ///< At the first attempt.
    int sound_broken = 0;
    /// Those sent later than `settling_time` after the fifth death, or after
    /// the last one if there are fewer.
    int settled = 0;
    int settled_refused = 0;
};

class fleet
{
public:
    explicit fleet(const fleet_options& options)
        : options_(options), random_(options.seed), nodes_(options.nodes),
          targets_(options.targets)
    {}

    fleet_result run()
    {
        schedule_arrival(options_.bad_per_second, true);
        schedule_arrival(options_.sound_per_second, false);
        for (const double it : options_.losses_s)
            at(from_seconds(it), [this] { lose_nodes(); });
        while (!events_.empty() && now_ < start + length()) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto work = std::move(next->second);
            events_.erase(next);
            work();
        }
        return result_;
    }

private:
    struct node
    {
        quarantine table;
        run_leases leases;
    };

    struct request
    {
        std::size_t node = 0;
        std::vector<crash_mark> marks;
        bool is_bad = false;
        int attempt = 1;
        std::uint64_t number = 0;
        std::uint64_t life = 0; ///< Of the nodes; a dead one does nothing more.
    };

    struct running
    {
        request of;
        instant sent;
        bool leased = false;
    };

    struct target
    {
        bool up = true;
        std::uint64_t process = 1;
        std::map<std::uint64_t, running> runs;
    };

    duration length() const { return from_seconds(options_.length_s); }

    void at(duration later, std::function<void()> work)
    {
        events_.emplace(now_ + later, std::move(work));
    }

    void schedule_arrival(double per_second, bool is_bad)
    {
        at(from_seconds(random_.exponential(1 / per_second)), [=, this] {
            arrive(is_bad);
            schedule_arrival(per_second, is_bad);
        });
    }

    void lose_nodes()
    {
        nodes_ = std::vector<node>(options_.nodes);
        ++life_;
        started_ = now_;
        result_.deaths_after_loss.push_back(0);
    }

    void arrive(bool is_bad)
    {
        request it;
        it.life = life_;
        it.node = random_.below(nodes_.size());
        it.number = ++number_;
        it.is_bad = is_bad;
        // Some sound requests share a second part.
        const auto second = 1000 + random_.below(100'000);
        it.marks = {crash_mark::of(request_fingerprint(it.number)), first,
                    is_bad ? bad : crash_mark::of_part(second)};
        result_.sound += !is_bad;
        result_.settled += !is_bad && is_settled();
        try_send(it);
    }

    bool is_settled() const
    {
        return result_.deaths > 0 && now_ > last_counted_ + settling_time;
    }

    std::size_t giver_of(const request& it) const
    {
        return options_.one_giver ? 0 : it.node;
    }

    void try_send(const request& it)
    {
        const quarantine& table = nodes_[it.node].table;
        const auto worst = table.worst_of(it.marks, place, now_);
        if (!worst)
            return send(it, false);
        if (worst->state.level == suspicion::condemned &&
            now_ < worst->state.next_run)
            return refuse(it);
        const auto suspects = table.suspects_of(it.marks, place, now_);
        at(message_time, [=, this] {
            if (it.life != life_)
                return;
            node& giver = nodes_[giver_of(it)];
            const auto got = giver.leases.ask({it.node, it.number}, suspects,
                                              place, giver.table, now_);
            for (const auto& record : giver.table.records_of(suspects, now_))
                nodes_[it.node].table.merge(record, now_);
            at(message_time, [=, this] {
                if (it.life != life_)
                    return;
                if (got.granted)
                    send(it, true);
                else
                    refuse(it);
            });
        });
    }

    void refuse(const request& it)
    {
        const bool counts = !it.is_bad && it.attempt == 1;
        result_.sound_refused += counts;
        result_.settled_refused += counts && is_settled();
    }

    void send(const request& it, bool leased)
    {
        if (it.is_bad && result_.deaths >= known_deaths &&
            now_ > std::max(last_counted_, started_) + contact_time)
            ++result_.later_arrivals;
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < targets_.size(); ++i)
            if (targets_[i].up)
                up.push_back(i);
        if (up.empty())
            return refuse(it);
        std::size_t chosen = up[random_.below(up.size())];
        if (leased)
            for (const std::size_t i : up)
                if (targets_[i].runs.size() < targets_[chosen].runs.size())
                    chosen = i;
        target& there = targets_[chosen];
        const std::uint64_t process = there.process;
        there.runs[it.number] = {it, now_, leased};
        if (it.is_bad)
            at(time_to_die, [=, this] { crash(chosen, process); });
        else
            at(sound_run_time, [=, this] { answer(it, chosen, process); });
    }

    void answer(const request& it, std::size_t chosen, std::uint64_t process)
    {
        target& there = targets_[chosen];
        if (!there.up || there.process != process)
            return;
        const bool leased = there.runs.at(it.number).leased;
        there.runs.erase(it.number);
        if (it.life != life_)
            return;
        const bool cleared =
            nodes_[it.node].table.note_answer(it.marks, place, now_);
        if (leased)
            nodes_[giver_of(it)].leases.end({it.node, it.number}, duration(0),
                                            now_);
        if (cleared && leased)
            tell(it.node, nodes_[it.node].table.records_of(it.marks, now_));
    }

    void crash(std::size_t chosen, std::uint64_t process)
    {
        target& there = targets_[chosen];
        if (!there.up || there.process != process)
            return;
        ++result_.deaths;
        if (!result_.deaths_after_loss.empty())
            ++result_.deaths_after_loss.back();
        if (result_.deaths <= known_deaths)
            last_counted_ = now_;
        there.up = false;
        const auto broken = std::move(there.runs);
        there.runs.clear();
        const instant died = now_;
        const catalog::target_process dead{
            target_id("t" + std::to_string(chosen)),
            catalog::target_start(process)};
        for (const auto& [number, it] : broken) {
            result_.sound_broken += !it.of.is_bad;
            at(time_to_notice, [=, this, run = it] { note(run, dead, died); });
        }
        at(restart_time, [=, this] {
            targets_[chosen].up = true;
            ++targets_[chosen].process;
        });
    }

    void note(running run, const catalog::target_process& dead, instant died)
    {
        if (run.of.life != life_)
            return;
        const crash_death<instant> death{dead, place, died, died - run.sent,
                                         run.leased};
        quarantine& table = nodes_[run.of.node].table;
        for (const crash_mark& it : run.of.marks)
            table.note_death(it, death, now_);
        const auto suspects = table.suspects_of(run.of.marks, place, now_);
        tell(run.of.node, table.records_of_death(suspects, death, now_));
        if (run.leased)
            nodes_[giver_of(run.of)].leases.end({run.of.node, run.of.number},
                                                seconds(1), now_);
        if (++run.of.attempt <= 2)
            try_send(run.of);
    }

    void tell(std::size_t from, const std::vector<crash_record>& records)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (i != from && random_.unit() >= options_.lost_messages)
                at(message_time, [=, this, life = life_] {
                    if (life != life_)
                        return;
                    for (const auto& it : records)
                        nodes_[i].table.merge(it, now_);
                });
    }

    fleet_options options_;
    random_source random_;
    std::vector<node> nodes_;
    std::vector<target> targets_;
    std::multimap<instant, std::function<void()>> events_;
    instant now_ = start;
    instant last_counted_; ///< Of the first known_deaths deaths.
    instant started_;      ///< All nodes, after a loss.
    std::uint64_t life_ = 0;
    std::uint64_t number_ = 0;
    fleet_result result_;
};

} // namespace fennelladder::dispatch::quarantine_fleet

#endif
