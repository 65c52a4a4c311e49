#include "fennelladder/edge/stock_keeper.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// Between two looks at the stock.
constexpr duration look_period = milliseconds(250);

/// Retry after a failed call, doubled up to the longest.
constexpr duration first_pause = milliseconds(200);
constexpr duration longest_pause = seconds(2);

/// Failures in a row that still lengthen the pause.
constexpr int most_failures = 8;

/// A record without anything left is read again after this long: others may
/// have been more modest than was thought, and a top-up shows by itself.
constexpr duration empty_record_age = seconds(5);

/// How long a stockist writes for itself when the writer doesn't answer: by
/// then the writer is heard again or taken for dead.
constexpr duration alone_span = seconds(3);

/// Salt of the rank of those that may write.
constexpr const char* writer_salt = "allotments";

} // namespace

stock_keeper::stock_keeper(node_tables& tables, platform_client& client,
                           const mesh::stock_book& peers, hooks hooks)
    : tables_(tables), peers_(peers), hooks_(std::move(hooks)),
      writer_(tables, client,
              [this](const prepaid::token_amounts& granted) { take(granted); }),
      wake_(tables.io)
{}

void stock_keeper::start()
{
    spawn(tables_.io, keep());
}

// Who writes.

const mesh::node_row* stock_keeper::writer_elsewhere() const
{
    if (tables_.now() < alone_until_ && is_stockist())
        return nullptr;
    return tables_.peers.leader(writer_salt, tables_.platform.reached,
                                tables_.capacity(), tables_.now());
}

void stock_keeper::writer_is_silent()
{
    alone_until_ = tables_.now() + alone_span;
    look_soon();
}

void stock_keeper::note_reach()
{
    const mesh::node_row* other = writer_elsewhere();
    reached_ = other != nullptr ? other->last.platform_reached
                                : tables_.platform.reached;
    outages_.note(reached_, tables_.now());
}

std::vector<host_id> stock_keeper::holders() const
{
    const prepaid::stock_options& options = tables_.options.stock;
    const instant now = tables_.now();
    if (options.large_holders) {
        const auto large = tables_.peers.large_members(tables_.capacity(), now);
        if (large.size() >= options.stockists)
            return prepaid::holders_of(large, options);
    }
    return prepaid::holders_of(tables_.peers.members(now), options);
}

std::vector<host_id> stock_keeper::stockists(const team_id& team) const
{
    return prepaid::stockists_of(team, holders(), tables_.options.stock);
}

bool stock_keeper::is_stockist() const
{
    const auto all = holders();
    return std::ranges::find(all, tables_.settings.host) != all.end();
}

// What is left.

std::optional<tokens> stock_keeper::allotted_of(const team_id& team) const
{
    const auto heard = allotted_.find(team);
    std::optional<tokens> out;
    if (heard != allotted_.end())
        out = heard->second;
    if (!writer_.record())
        return out;
    const auto& amounts = writer_.record()->allotted;
    const auto read = amounts.find(team);
    const tokens own = read == amounts.end() ? tokens(0) : read->second;
    return std::max(out.value_or(own), own);
}

void stock_keeper::learn_allotted(const team_id& team, tokens allotted)
{
    tokens& known = allotted_[team];
    known = std::max(known, allotted);
}

tokens stock_keeper::left_of(const team_id& team) const
{
    // Peers may ask a node that has just started.
    if (tables_.config == nullptr)
        return tokens(0);
    const auto* payer = tables_.config->find_team(team);
    if (payer == nullptr || !payer->prepaid)
        return tokens(0);
    const tokens out = allotted_of(team).value_or(tokens(0));
    return std::max(*payer->prepaid - out, tokens(0));
}

bool stock_keeper::may_take_out(const team_id& team) const
{
    return writer_elsewhere() == nullptr && tables_.platform.reached &&
           left_of(team) > tokens(0);
}

// What to take.

std::uint64_t stock_keeper::want(const team_id& team, tokens missing,
                                 bool patient)
{
    wanted_tokens& it = wanted_[team];
    it.amount += missing;
    it.urgent |= !patient;
    if (!patient)
        look_soon();
    return rounds_begun_ + 1;
}

bool stock_keeper::is_over(std::uint64_t round) const
{
    return rounds_over_ >= round || writer_elsewhere() != nullptr;
}

/// Nothing can be taken out now, so nobody should wait for it.
void stock_keeper::give_up_round()
{
    wanted_.clear();
    ++rounds_begun_;
    end_round(tables_.now());
}

/// Whoever wanted something before `begun` has got what there was.
void stock_keeper::end_round(instant begun)
{
    rounds_over_ = rounds_begun_;
    hooks_.round_over(begun);
}

bool stock_keeper::has_urgent() const
{
    return std::ranges::any_of(wanted_,
                               [](const auto& it) { return it.second.urgent; });
}

prepaid::stock_state
stock_keeper::state_of(const team_id& team, tokens total,
                       const std::vector<host_id>& holders) const
{
    prepaid::stock_state out;
    const instant now = tables_.now();
    const auto few =
        prepaid::stockists_of(team, holders, tables_.options.stock);
    const auto others =
        peers_.sum(team, few, now - tables_.stock_update_lifetime());
    const tokens own = tables_.purse.free_of(team);
    out.prepaid = total;
    out.left = left_of(team);
    out.stockists = few.size();
    out.stockist = std::ranges::find(few, tables_.settings.host) != few.end();
    out.fleet_free = own + others.free;
    out.outage = outages_.longest(now);
    out.losses = tables_.losses.at(now);
    out.stocked = others.free_of_some + (out.stockist ? own : tokens(0));
    out.fleet_spending = tables_.purse.spending(team, now) +
                         static_cast<double>(others.spent_per_second.count());
    const auto wanted = wanted_.find(team);
    if (wanted != wanted_.end())
        out.waited_for = wanted->second.amount;
    return out;
}

prepaid::token_amounts stock_keeper::wishes() const
{
    prepaid::token_amounts out;
    const auto all = holders();
    for (const auto& [team, total] : writer_.prepaid_totals()) {
        const tokens wish = prepaid::stock_wish(state_of(team, total, all),
                                                tables_.options.stock);
        if (wish > tokens(0))
            out[team] = wish;
    }
    return out;
}

void stock_keeper::take(const prepaid::token_amounts& granted)
{
    for (const auto& [team, amount] : granted)
        tables_.purse.credit(team, amount);
    hooks_.credited();
}

/// Has the writer fill up what this node is to hold. Each team is asked for
/// once in the time of a regular write. Most nodes of a large fleet hold no
/// stock; to them a look over all teams and nodes says nothing.
void stock_keeper::ask_writer(const host_id& writer)
{
    if (!is_stockist())
        return;
    const instant now = tables_.now();
    for (const auto& [team, wish] : wishes()) {
        instant& last = asked_at_[team];
        if (now - last < tables_.options.stock.write_pause)
            continue;
        last = now;
        hooks_.ask(writer, team, wish);
    }
}

awaitable<bool> stock_keeper::write_round()
{
    const prepaid::stock_options& options = tables_.options.stock;
    const duration rested = tables_.now() - last_write_;
    if (!has_urgent() && rested < options.write_pause)
        co_return true;
    if (rested < options.urgent_pause) {
        // What others come to want meanwhile goes into the same write.
        asio::steady_timer timer(tables_.io);
        co_await sleep_on(timer, options.urgent_pause - rested);
    }
    const instant begun = tables_.now();
    const auto amounts = wishes();
    wanted_.clear();
    ++rounds_begun_;
    bool written = true;
    if (!amounts.empty()) {
        written = co_await writer_.take_out(amounts);
        last_write_ = tables_.now();
    }
    end_round(begun);
    co_return written;
}

/// One look at the stock. False when a call to the platform failed.
awaitable<bool> stock_keeper::tend()
{
    const mesh::node_row* other = writer_elsewhere();
    if (other != nullptr && !writer_.in_doubt()) {
        give_up_round();
        ask_writer(other->last.host);
        co_return true;
    }
    // A record without anything left may have become better than it looks.
    const duration most_age =
        wanted_.empty() ? duration::max() : empty_record_age;
    const bool known = co_await writer_.renew(most_age);
    if (!known) {
        give_up_round();
        co_return false;
    }
    const bool written = co_await write_round();
    co_return written;
}

awaitable<void> stock_keeper::keep()
{
    instant not_before;
    for (;;) {
        co_await sleep_on(wake_, look_period);
        note_reach();
        const bool idle = tables_.config == nullptr || tables_.leaving ||
                          tables_.now() < not_before;
        if (idle) {
            give_up_round();
            continue;
        }
        const bool fine = co_await tend();
        failures_ = fine ? 0 : std::min(failures_ + 1, most_failures);
        if (!fine)
            not_before = tables_.now() + backoff(tables_.random, failures_,
                                                 first_pause, longest_pause);
    }
}

} // namespace fennelladder::edge
