// Every message and every flush is an event; an agent's output is carried out
// right after the call that made it.
//
// The oracle keeps per budget what was prepaid, what was charged by any node
// (less what the books told a node not to have charged), and the worst case of
// what runs, also at nodes that have died since: a target that was sent a
// request goes on with it. spent + running may never exceed prepaid.

#include "fennelladder/budget_rig/fleet_rig.hpp"

#include "fennelladder/base/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fennelladder::budget_rig {

using namespace budget;

namespace {

// Sizes on the wire of the fixed parts of messages, compact protocol.
constexpr std::size_t message_head = 24;
constexpr std::size_t ask_bytes = message_head + 40;
constexpr std::size_t word_bytes = message_head + 8;
constexpr std::size_t copy_bytes = 90;

// Operators write to the books through a host beside the store.
const incarnation_id operators("operators");

int hosts_in(int data_center, const rig_options& options)
{
    const int all = options.nodes;
    const int n = options.data_centers;
    return all / n + (data_center < all % n ? 1 : 0);
}

} // namespace

// Homes by hash over the hosts of each data center; a host that is down is
// passed over, as a membership view would after a few seconds.
class fleet_rig::directory final : public home_directory
{
public:
    directory(const fleet_rig& rig, int node) : rig_(rig), node_(node) {}

    std::vector<incarnation_id> homes_of(const budget_id& budget) const override
    {
        const int n = rig_.options_.data_centers;
        const int own = rig_.data_center_of(node_);
        const std::uint64_t hash = hash64(budget.str());
        std::vector<incarnation_id> made;
        for (int step = 0; step < n; ++step) {
            const int dc = (own + step) % n;
            const int hosts = hosts_in(dc, rig_.options_);
            for (int i = 0; i < hosts; ++i) {
                const auto slot =
                    static_cast<int>((hash + static_cast<std::uint64_t>(i)) %
                                     static_cast<std::uint64_t>(hosts));
                const node& it = *rig_.nodes_[static_cast<std::size_t>(slot) *
                                                  static_cast<std::size_t>(n) +
                                              static_cast<std::size_t>(dc)];
                if (!it.alive)
                    continue;
                made.push_back(it.id);
                break;
            }
        }
        return made;
    }

private:
    const fleet_rig& rig_;
    int node_;
};

fleet_rig::fleet_rig(const rig_options& options)
    : options_(options), random_(options.seed), books_(options.shards)
{
    side_of_.assign(static_cast<std::size_t>(options.data_centers), 0);
    for (int n = 0; n < options.nodes; ++n) {
        nodes_.push_back(std::make_unique<node>());
        nodes_.back()->index = n;
    }
    for (int n = 0; n < options.nodes; ++n)
        start(n);
    for (int n = 0; n < options.shards; ++n) {
        const duration first = options.flush_interval * n / options.shards;
        events_.after(first, [this, n] { flush(n); });
    }
}

fleet_rig::~fleet_rig() = default;

void fleet_rig::run_for(duration length)
{
    events_.run_until(now() + length);
}

budget_id fleet_rig::name_of(int budget)
{
    return budget_id("b" + std::to_string(budget));
}

team_id fleet_rig::team_of(int budget)
{
    return team_id("t" + std::to_string(budget % 8200));
}

int fleet_rig::budget_of(const budget_id& id) const
{
    return std::stoi(id.str().substr(1));
}

// ---- nodes

void fleet_rig::start(int index)
{
    node& it = *nodes_[static_cast<std::size_t>(index)];
    ++it.life;
    it.alive = true;
    it.id = incarnation_id("n" + std::to_string(index) + "." +
                           std::to_string(it.life));
    index_[it.id] = index;
    it.waiting.clear();
    it.homes = std::make_unique<directory>(*this, index);
    const int shards = options_.shards;
    it.agent = std::make_unique<budget_agent>(
        it.id, *it.homes,
        [shards](const budget_id& budget) {
            return shard_id(hash64(budget.str(), 7) %
                            static_cast<std::uint64_t>(shards));
        },
        options_.agent);
    std::vector<incarnation_id> witnesses = witnesses_of(index);
    it.agent->set_witnesses(std::move(witnesses), now());
    const auto first = duration(
        random_.below(static_cast<std::uint64_t>(options_.tick.count())));
    const int life = it.life;
    events_.after(first, [this, index, life] { tick(index, life); });
}

// The next host of the own data center, for when that is cut off, and the next
// of another one, for when the own fails as a whole.
std::vector<incarnation_id> fleet_rig::witnesses_of(int index) const
{
    std::vector<incarnation_id> made;
    for (const bool own : {true, false}) {
        for (int n = 1; n < options_.nodes; ++n) {
            const int other = (index + n) % options_.nodes;
            const auto& peer = nodes_[static_cast<std::size_t>(other)];
            const bool same = data_center_of(other) == data_center_of(index);
            if (same != own || !peer->alive)
                continue;
            // At the start, hosts that come up later are known by name.
            made.push_back(
                peer->life > 0
                    ? peer->id
                    : incarnation_id("n" + std::to_string(other) + ".1"));
            break;
        }
    }
    return made;
}

void fleet_rig::tick(int index, int life)
{
    node& it = *nodes_[static_cast<std::size_t>(index)];
    if (!it.alive || it.life != life)
        return;
    if (now() < it.paused_until) {
        events_.at(it.paused_until, [this, index, life] { tick(index, life); });
        return;
    }
    it.agent->set_store_reachable(reaches_store(index));
    agent_output out;
    it.agent->tick(now(), out);
    carry_out(it, out);
    std::vector<budget_id> waiting;
    for (const auto& [budget, all] : it.waiting)
        waiting.push_back(budget);
    std::sort(waiting.begin(), waiting.end());
    for (const budget_id& budget : waiting)
        try_waiting(it, budget);
    events_.after(options_.tick, [this, index, life] { tick(index, life); });
}

fleet_rig::node* fleet_rig::find(const incarnation_id& id)
{
    const auto found = index_.find(id);
    if (found == index_.end())
        return nullptr;
    node& it = *nodes_[static_cast<std::size_t>(found->second)];
    return it.alive && it.id == id ? &it : nullptr;
}

void fleet_rig::kill(int index, duration back_after)
{
    node& it = *nodes_[static_cast<std::size_t>(index)];
    if (!it.alive)
        return;
    it.alive = false;
    books_.forget(it.id);
    const incarnation_id id = it.id;
    for (auto& [budget, all] : it.waiting)
        figures_.lost += all.size();
    it.waiting.clear();
    events_.after(back_after, [this, index] { start(index); });
    events_.after(options_.fence_after, [this, id] { fence_incarnation(id); });
}

void fleet_rig::pause(int index, duration length)
{
    nodes_[static_cast<std::size_t>(index)]->paused_until = now() + length;
}

void fleet_rig::drain(int index)
{
    node& it = *nodes_[static_cast<std::size_t>(index)];
    agent_output out;
    it.agent->drain(now(), out);
    carry_out(it, out);
}

void fleet_rig::fence(int index)
{
    fence_incarnation(incarnation(index));
}

// All shards are asked to fence it, and peers bring what they have of it.
void fleet_rig::fence_incarnation(const incarnation_id& id)
{
    for (int n = 0; n < options_.shards; ++n) {
        const auto shard = shard_id(static_cast<std::uint64_t>(n));
        books_.send(operators, {shard, budget::fence{id, "off the host list"}});
    }
    for (const auto& it : nodes_) {
        if (!it->alive || it->id == id)
            continue;
        agent_output out;
        it->agent->on_gone(id, out);
        carry_out(*it, out);
    }
}

// ---- the network

bool fleet_rig::reaches(int from, int to) const
{
    const auto a = static_cast<std::size_t>(data_center_of(from));
    const auto b = static_cast<std::size_t>(data_center_of(to));
    return side_of_[a] == side_of_[b];
}

bool fleet_rig::reaches_store(int index) const
{
    const auto dc = static_cast<std::size_t>(data_center_of(index));
    return store_up_ && side_of_[dc] == store_side_;
}

duration fleet_rig::delay(int from, int to) const
{
    return data_center_of(from) == data_center_of(to) ? options_.near
                                                      : options_.far;
}

void fleet_rig::partition(const std::vector<std::vector<int>>& sides,
                          int store_side)
{
    for (std::size_t n = 0; n < sides.size(); ++n) {
        for (const int dc : sides[n])
            side_of_[static_cast<std::size_t>(dc)] = static_cast<int>(n);
    }
    store_side_ = store_side;
}

void fleet_rig::heal()
{
    std::fill(side_of_.begin(), side_of_.end(), 0);
    store_side_ = 0;
}

void fleet_rig::send(int from, const incarnation_id& to, std::size_t bytes,
                     const std::function<void(node&)>& deliver)
{
    ++figures_.messages;
    figures_.message_bytes += bytes;
    nodes_[static_cast<std::size_t>(from)]->bytes += bytes;
    const auto found = index_.find(to);
    if (found == index_.end())
        return;
    const int target = found->second;
    int copies = random_.chance(options_.message_loss) ? 0 : 1;
    copies += random_.chance(options_.message_double) ? 1 : 0;
    duration wait = delay(from, target);
    for (int n = 0; n < copies; ++n) {
        events_.after(wait, [this, from, target, to, deliver] {
            node* it = find(to);
            if (it == nullptr || !reaches(from, target))
                return;
            if (now() < it->paused_until) {
                events_.at(it->paused_until, [this, to, deliver] {
                    if (node* late = find(to))
                        deliver(*late);
                });
                return;
            }
            deliver(*it);
        });
        wait += milliseconds(300); // the second copy comes late
    }
}

void fleet_rig::carry_out(node& self, agent_output& out)
{
    for (book_wish& it : out.wishes)
        books_.send(self.id, std::move(it));
    for (const transfer_ask& it : out.asks)
        ask_peer(self, it);
    for (const transfer_confirm& it : out.words) {
        const incarnation_id back = self.id;
        send(self.index, it.giver, word_bytes, [this, it, back](node& giver) {
            giver.agent->take_word(it);
            send(giver.index, back, word_bytes,
                 [it](node& taker) { taker.agent->on_word_taken(it); });
        });
    }
    for (const ceiling_ask& it : out.ceilings)
        ask_witness(self, it);
    for (const copy_message& it : out.copies)
        send_copies(self, it);
    const auto woken = std::move(out.woken);
    out = {};
    for (const budget_id& it : woken)
        try_waiting(self, it);
}

void fleet_rig::ask_peer(node& self, const transfer_ask& ask)
{
    const incarnation_id back = self.id;
    auto answered = std::make_shared<bool>(false);
    send(self.index, ask.giver, ask_bytes,
         [this, ask, back, answered](node& giver) {
             agent_output out;
             const transfer_reply reply = giver.agent->give(ask, now(), out);
             carry_out(giver, out);
             send(giver.index, back, ask_bytes,
                  [this, ask, reply, answered](node& taker) {
                      *answered = true;
                      agent_output made;
                      taker.agent->on_reply(ask, &reply, now(), made);
                      carry_out(taker, made);
                  });
         });
    events_.after(options_.rpc_timeout, [this, ask, back, answered] {
        node* it = find(back);
        if (it == nullptr || std::exchange(*answered, true))
            return;
        agent_output out;
        it->agent->on_reply(ask, nullptr, now(), out);
        carry_out(*it, out);
    });
}

void fleet_rig::ask_witness(node& self, const ceiling_ask& ask)
{
    const incarnation_id back = self.id;
    auto answered = std::make_shared<bool>(false);
    const auto answer = [this, ask, answered](node& holder, bool agreed) {
        if (std::exchange(*answered, true))
            return;
        agent_output out;
        holder.agent->on_ceiling(ask, agreed, now(), out);
        carry_out(holder, out);
    };
    send(self.index, ask.witness, ask_bytes,
         [this, ask, back, answer](node& witness) {
             const bool agreed = witness.agent->vouch(ask);
             send(witness.index, back, word_bytes,
                  [answer, agreed](node& holder) { answer(holder, agreed); });
         });
    events_.after(options_.rpc_timeout, [this, back, answer] {
        if (node* it = find(back))
            answer(*it, false);
    });
}

void fleet_rig::send_copies(node& self, const copy_message& message)
{
    // The next host of another data center that is up.
    for (int n = 1; n < options_.nodes; ++n) {
        const int other = (self.index + n) % options_.nodes;
        const bool far = data_center_of(other) != data_center_of(self.index);
        if (!far || !alive(other) || !reaches(self.index, other))
            continue;
        const incarnation_id back = self.id;
        const std::size_t bytes = message_head +
                                  copy_bytes * message.bills.size() +
                                  4 * message.done_up_to.size();
        send(self.index, incarnation(other), bytes,
             [this, message, back](node& peer) {
                 const bool kept = peer.agent->keep_copies(message);
                 send(peer.index, back, word_bytes,
                      [message, kept](node& biller) {
                          biller.agent->on_copied(message, kept);
                      });
             });
        return;
    }
}

// ---- the store

void fleet_rig::flush(int shard)
{
    events_.after(options_.flush_interval, [this, shard] { flush(shard); });
    if (!store_up_)
        return;
    const bool lose = lost_replies_ > 0;
    const auto may = [this](const incarnation_id& sender) {
        if (sender == operators)
            return true;
        const auto found = index_.find(sender);
        return found != index_.end() && find(sender) != nullptr &&
               reaches_store(found->second);
    };
    auto replies = books_.flush(shard, may, lose);
    if (lose)
        --lost_replies_;
    for (const fake_reply& it : replies)
        count_bill(it);
    if (replies.empty())
        return;
    events_.after(options_.store_time + options_.far,
                  [this, all = std::move(replies)] {
                      for (const fake_reply& it : all)
                          on_flushed(it);
                  });
    // Witnesses learn from the books that they are waited for.
    for (const auto& it : nodes_) {
        if (!it->alive || it->paused_until > now() || !reaches_store(it->index))
            continue;
        for (const incarnation_id& holder : books_.of(shard).awaiting(it->id)) {
            agent_output out;
            it->agent->on_fence_awaited(
                shard_id(static_cast<std::uint64_t>(shard)), holder, out);
            carry_out(*it, out);
        }
    }
}

// Counts where it is folded: an answer may reach its sender late or never.
void fleet_rig::count_bill(const fake_reply& reply)
{
    const auto* charge = std::get_if<bill>(&reply.wish.body);
    const bool charged = reply.made && reply.made->what == verdict::applied;
    if (charge == nullptr || !charge->keyed || !charged)
        return;
    if (++billed_keys_[charge->key.str()] > 1)
        ++figures_.double_billed;
}

void fleet_rig::on_flushed(const fake_reply& reply)
{
    const auto* charge = std::get_if<bill>(&reply.wish.body);
    if (const auto* paid = std::get_if<topup>(&reply.wish.body)) {
        const int budget = budget_of(paid->budget);
        sync_prepaid(budget);
        announce(budget);
    }
    node* self = find(reply.sender);
    if (self == nullptr)
        return;
    if (now() < self->paused_until) {
        events_.at(self->paused_until, [this, reply] { on_flushed(reply); });
        return;
    }
    const outcome* made = reply.made ? &*reply.made : nullptr;
    const bool own = charge != nullptr && charge->biller.empty();
    if (own && made != nullptr && made->what != verdict::applied &&
        made->what != verdict::replayed)
        truth_[static_cast<std::size_t>(budget_of(charge->budget))].spent -=
            charge->amount.count();
    agent_output out;
    self->agent->on_outcome(reply.wish, made, now(), out);
    carry_out(*self, out);
}

void fleet_rig::top_up(int budget, tokens amount, const std::string& id)
{
    if (truth_.size() <= static_cast<std::size_t>(budget))
        truth_.resize(static_cast<std::size_t>(budget) + 1);
    books_.send(operators,
                {shard_of(budget), topup{team_of(budget), name_of(budget),
                                         topup_id(id), amount}});
}

shard_id fleet_rig::shard_of(int budget) const
{
    return shard_id(hash64(name_of(budget).str(), 7) %
                    static_cast<std::uint64_t>(options_.shards));
}

// What the books say was prepaid; an answer may still be under way.
void fleet_rig::sync_prepaid(int budget)
{
    const auto& books = books_.of(static_cast<int>(shard_of(budget).value()));
    if (const auto it = books.find_budget(name_of(budget)))
        truth_[static_cast<std::size_t>(budget)].prepaid =
            it->topped_up.count();
}

// The homes learn of a top-up from the books.
void fleet_rig::announce(int budget)
{
    const auto homes = directory(*this, 0).homes_of(name_of(budget));
    for (const incarnation_id& id : homes) {
        node* it = find(id);
        const bool asleep = it == nullptr || now() < it->paused_until;
        if (asleep || !reaches_store(it->index))
            continue;
        agent_output out;
        it->agent->on_topup(name_of(budget), now(), out);
        carry_out(*it, out);
    }
}

// ---- requests

bool fleet_rig::request(const rig_request& wish)
{
    node& it = *nodes_[static_cast<std::size_t>(wish.node)];
    if (!it.alive)
        return false;
    ++figures_.requests;
    if (now() < it.paused_until) {
        events_.at(it.paused_until, [this, wish] {
            --figures_.requests;
            request(wish);
        });
        return true;
    }
    agent_output out;
    bool wait = false;
    if (!try_admit(it, wish, out, wait)) {
        if (wait)
            it.waiting[name_of(wish.budget)].push_back(
                {wish, now(), ++numbers_});
        else
            refuse(wish);
    }
    carry_out(it, out);
    return true;
}

bool fleet_rig::try_admit(node& self, const rig_request& wish,
                          agent_output& out, bool& wait)
{
    admission made =
        self.agent->admit(name_of(wish.budget), wish.worst, now(), out);
    wait = made.wait;
    if (!made.held)
        return false;
    run(self, wish, std::move(*made.held));
    return true;
}

void fleet_rig::try_waiting(node& self, const budget_id& budget)
{
    const auto found = self.waiting.find(budget);
    if (found == self.waiting.end())
        return;
    auto all = std::move(found->second);
    self.waiting.erase(found);
    std::vector<waiting_request> kept;
    agent_output out;
    for (waiting_request& it : all) {
        bool wait = false;
        if (try_admit(self, it.wish, out, wait)) {
            ++figures_.waited;
            figures_.waited_seconds += to_seconds(now() - it.since);
            continue;
        }
        if (wait && now() - it.since < self.agent->patience())
            kept.push_back(std::move(it));
        else
            refuse(it.wish);
    }
    if (!kept.empty()) {
        auto& again = self.waiting[budget];
        again.insert(again.end(), kept.begin(), kept.end());
    }
    carry_out(self, out);
}

void fleet_rig::refuse(const rig_request& wish)
{
    ++figures_.refused;
    if (left(wish.budget) >= wish.worst)
        ++figures_.false_refused;
}

void fleet_rig::run(node& self, const rig_request& wish, reservation held)
{
    ++figures_.admitted;
    truth& budget = truth_[static_cast<std::size_t>(wish.budget)];
    budget.running += wish.worst.count();
    note_spend(wish.budget);
    const incarnation_id id = self.id;
    const auto kept = std::make_shared<reservation>(std::move(held));
    events_.after(wish.time,
                  [this, wish, id, kept] { finish(wish, id, kept); });
}

// The target has answered, whether or not its node is still there.
void fleet_rig::finish(const rig_request& wish, const incarnation_id& id,
                       const std::shared_ptr<reservation>& kept)
{
    node* self = find(id);
    if (self != nullptr && now() < self->paused_until) {
        events_.at(self->paused_until,
                   [this, wish, id, kept] { finish(wish, id, kept); });
        return;
    }
    truth& it = truth_[static_cast<std::size_t>(wish.budget)];
    it.running -= wish.worst.count();
    it.spent += wish.actual.count();
    if (self == nullptr) {
        ++figures_.lost;
        return;
    }
    bill charge;
    charge.team = team_of(wish.budget);
    charge.keyed = !wish.key.empty();
    charge.key =
        request_key(charge.keyed ? wish.key : std::to_string(++numbers_));
    charge.budget = name_of(wish.budget);
    charge.amount = wish.actual;
    self->agent->finish(std::move(*kept), std::move(charge), now());
}

tokens fleet_rig::left(int budget) const
{
    const truth& it = truth_[static_cast<std::size_t>(budget)];
    return tokens(it.prepaid - it.spent - it.running);
}

void fleet_rig::note_spend(int budget)
{
    if (left(budget) < tokens(0))
        sync_prepaid(budget);
    const tokens over = -left(budget);
    figures_.overspent = std::max(figures_.overspent, over);
}

} // namespace fennelladder::budget_rig
