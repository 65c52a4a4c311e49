#include "fennelladder/edge/stock_refiller.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// Interval between checks of the stock.
constexpr duration check_period = milliseconds(250);

/// Backoff after a failed call, doubled up to the maximum.
constexpr duration first_backoff = milliseconds(200);
constexpr duration max_backoff = seconds(2);

/// Consecutive failures beyond this number do not lengthen the backoff.
constexpr int max_counted_failures = 8;

/// A record that has nothing left is read again after this time: other nodes
/// may have withdrawn less than was assumed. A top-up is noticed without a
/// read, from the configuration.
constexpr duration max_empty_record_age = seconds(5);

/// How long a stock holder writes for itself when the writer does not answer.
/// By then the writer has been heard again or is considered dead.
constexpr duration self_write_time = seconds(3);

/// How often the writer is told of draws after the store was restored.
constexpr int tells_of_draws = 3;

/// Salt of the ranking of nodes that may write the record.
constexpr const char* writer_salt = "allotments";

} // namespace

stock_refiller::stock_refiller(node_tables& tables, platform_client& client,
                               const mesh::stock_table& peers,
                               draw_exchange& draws, hooks hooks)
    : tables_(tables), peers_(peers), draws_(draws), hooks_(std::move(hooks)),
      writer_(
          tables, client,
          [this](const prepaid::token_amounts& granted) { credit(granted); },
          &draws),
      wake_(tables.io)
{
    tables.on_store_era.push_back([this] { wake(); });
}

void stock_refiller::start()
{
    spawn_lasting(
        tables_.io, [this] { return run(); }, "stock");
}

// Selection of the writer.

const mesh::peer_record* stock_refiller::remote_writer() const
{
    if (tables_.now() < self_write_until_ && is_stock_holder())
        return nullptr;
    return tables_.peers.leader(writer_salt, tables_.platform.reached,
                                tables_.capacity(), tables_.now());
}

void stock_refiller::on_writer_timeout()
{
    self_write_until_ = tables_.now() + self_write_time;
    wake();
}

void stock_refiller::update_reachability()
{
    const mesh::peer_record* other = remote_writer();
    platform_reached_ = other != nullptr ? other->last.platform_reached
                                         : tables_.platform.reached;
    outages_.note(platform_reached_, tables_.now());
}

std::vector<host_id> stock_refiller::holders() const
{
    const prepaid::stock_options& options = tables_.options.stock;
    const instant now = tables_.now();
    if (options.large_hosts_only) {
        const auto large = tables_.peers.large_members(tables_.capacity(), now);
        if (large.size() >= options.holders_per_team)
            return prepaid::holder_candidates_of(large, options);
    }
    return prepaid::holder_candidates_of(tables_.peers.members(now), options);
}

std::vector<host_id> stock_refiller::stock_holders(const team_id& team) const
{
    return prepaid::holders_of(team, holders(), tables_.options.stock);
}

bool stock_refiller::is_stock_holder() const
{
    const auto all = holders();
    return std::ranges::find(all, tables_.settings.host) != all.end();
}

// Remaining tokens.

std::optional<tokens> stock_refiller::allotted_of(const team_id& team) const
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

void stock_refiller::raise_allotted(const team_id& team, tokens allotted)
{
    tokens& known = allotted_[team];
    known = std::max(known, allotted);
}

tokens stock_refiller::left_of(const team_id& team) const
{
    // Peers may send requests to a node that has just started.
    if (tables_.config == nullptr)
        return tokens(0);
    const auto* payer = tables_.config->find_team(team);
    if (payer == nullptr || !payer->prepaid)
        return tokens(0);
    const tokens out = allotted_of(team).value_or(tokens(0));
    return std::max(*payer->prepaid - out, tokens(0));
}

bool stock_refiller::can_withdraw(const team_id& team) const
{
    return remote_writer() == nullptr && tables_.platform.reached &&
           left_of(team) > tokens(0);
}

// Withdrawals.

std::uint64_t stock_refiller::request_tokens(const team_id& team,
                                             tokens missing, bool background)
{
    requested_tokens& it = requested_[team];
    it.amount += missing;
    it.urgent |= !background;
    if (!background)
        wake();
    return rounds_begun_ + 1;
}

bool stock_refiller::is_round_done(std::uint64_t round) const
{
    return rounds_done_ >= round || remote_writer() != nullptr;
}

/// Ends the round without a write: nothing can be withdrawn now, so no request
/// should wait for it.
void stock_refiller::abandon_round()
{
    requested_.clear();
    ++rounds_begun_;
    end_round(tables_.now());
}

/// Ends a round. Requests made before `begun` have received what was available.
void stock_refiller::end_round(instant begun)
{
    rounds_done_ = rounds_begun_;
    hooks_.on_round_done(begun);
}

bool stock_refiller::has_urgent_request() const
{
    return std::ranges::any_of(requested_,
                               [](const auto& it) { return it.second.urgent; });
}

prepaid::stock_state
stock_refiller::state_of(const team_id& team, tokens total,
                         const std::vector<host_id>& holders) const
{
    prepaid::stock_state out;
    const instant now = tables_.now();
    const auto few = prepaid::holders_of(team, holders, tables_.options.stock);
    const auto others =
        peers_.sum(team, few, now - tables_.stock_update_lifetime());
    const tokens own = tables_.token_balances.free_of(team);
    out.prepaid = total;
    out.left = left_of(team);
    out.live_holders = few.size();
    out.is_holder = std::ranges::find(few, tables_.settings.host) != few.end();
    out.fleet_free = own + others.free;
    out.longest_outage = outages_.longest(now);
    out.losses = tables_.losses.at(now);
    out.stocked = others.free_of_subset + (out.is_holder ? own : tokens(0));
    out.fleet_spending = tables_.token_balances.spending(team, now) +
                         static_cast<double>(others.spent_per_second.count());
    const auto requested = requested_.find(team);
    if (requested != requested_.end())
        out.unmet_demand = requested->second.amount;
    return out;
}

prepaid::token_amounts stock_refiller::withdrawals() const
{
    prepaid::token_amounts out;
    const auto all = holders();
    for (const auto& [team, total] : writer_.prepaid_totals()) {
        const tokens wanted = prepaid::tokens_to_take(
            state_of(team, total, all), tables_.options.stock);
        if (wanted > tokens(0))
            out[team] = wanted;
    }
    return out;
}

void stock_refiller::credit(const prepaid::token_amounts& granted)
{
    for (const auto& [team, amount] : granted)
        tables_.token_balances.credit(team, amount);
    hooks_.on_credited();
}

/// Requests from the writer what this node should hold in stock, for each team
/// at most once per regular write interval. Most nodes of a large fleet hold no
/// stock, and skip the computation over all teams and nodes.
void stock_refiller::request_refill(const host_id& writer)
{
    if (!is_stock_holder())
        return;
    const instant now = tables_.now();
    for (const auto& [team, wanted] : withdrawals()) {
        instant& last = requested_at_[team];
        if (now - last < tables_.options.stock.write_interval)
            continue;
        last = now;
        hooks_.request_tokens(writer, team, wanted);
    }
}

/// Tells the writer what this node knows of draws, since it may repair the
/// record without having heard of them. Some messages may be lost.
void stock_refiller::tell_writer(const mesh::peer_record& writer)
{
    if (told_in_ != tables_.store_era || told_ != writer.last.incarnation) {
        told_in_ = tables_.store_era;
        told_ = writer.last.incarnation;
        times_told_ = 0;
    }
    if (!tables_.store_restored || times_told_ >= tells_of_draws)
        return;
    ++times_told_;
    draws_.tell(writer);
}

awaitable<bool> stock_refiller::write_round()
{
    const prepaid::stock_options& options = tables_.options.stock;
    const duration rested = tables_.now() - last_write_;
    if (!has_urgent_request() && !writer_.is_behind() &&
        rested < options.write_interval)
        co_return true;
    if (rested < options.urgent_write_interval) {
        // Amounts that are requested meanwhile go into the same write.
        asio::steady_timer timer(tables_.io);
        co_await sleep_on(timer, options.urgent_write_interval - rested);
    }
    const instant begun = tables_.now();
    const auto amounts = withdrawals();
    requested_.clear();
    ++rounds_begun_;
    bool written = true;
    if (!amounts.empty() || writer_.is_behind()) {
        written = co_await writer_.withdraw(amounts);
        last_write_ = tables_.now();
    }
    end_round(begun);
    co_return written;
}

/// Checks the stock once. Returns false if a call to the platform failed.
awaitable<bool> stock_refiller::run_once()
{
    const mesh::peer_record* other = remote_writer();
    draws_.learn_at_start();
    if (other != nullptr && !writer_.in_doubt()) {
        abandon_round();
        tell_writer(*other);
        request_refill(other->last.host);
        co_await writer_.credit_claims();
        co_return true;
    }
    // Another node may have withdrawn less than assumed, so a record with
    // nothing left is read again while tokens are requested.
    const duration max_age =
        requested_.empty() ? duration::max() : max_empty_record_age;
    const bool known = co_await writer_.refresh(max_age);
    if (!known) {
        abandon_round();
        co_return writer_.waits_for_nodes();
    }
    const bool written = co_await write_round();
    co_return written;
}

awaitable<void> stock_refiller::run()
{
    instant not_before;
    for (;;) {
        co_await sleep_on(wake_, check_period);
        update_reachability();
        const bool idle = tables_.config == nullptr || tables_.leaving ||
                          tables_.now() < not_before;
        if (idle) {
            abandon_round();
            continue;
        }
        const bool fine = co_await run_once();
        failures_ = fine ? 0 : std::min(failures_ + 1, max_counted_failures);
        if (!fine)
            not_before = tables_.now() + backoff(tables_.random, failures_,
                                                 first_backoff, max_backoff);
    }
}

} // namespace fennelladder::edge
