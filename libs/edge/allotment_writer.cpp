// Tokens are credited only once the write that deducts them is proven to have
// taken effect, by its own reply or by its mark in a record read later, and
// other nodes know of it.

#include "fennelladder/edge/allotment_writer.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <cassert>
#include <utility>

namespace fennelladder::edge {

namespace {

using adapter::object_kind;
using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* record_name = "main";

constexpr duration call_timeout = milliseconds(800);

std::string format_amounts(const prepaid::token_amounts& amounts)
{
    std::string out;
    for (const auto& [team, amount] : amounts) {
        if (!out.empty())
            out += ',';
        out += team.str() + ":" + std::to_string(amount.count());
    }
    return out;
}

} // namespace

allotment_writer::allotment_writer(node_tables& tables, platform_client& client,
                                   receiver credit, draw_exchange* draws)
    : tables_(tables), client_(client), credit_(std::move(credit)),
      draws_(draws), keeper_(tables.settings.host,
                             std::to_string(tables.incarnation.value()) + ".")
{
    if (draws_ != nullptr)
        draws_->attach(keeper_);
}

/// Tokens that remain in the record for each team in `granted`.
prepaid::token_amounts
allotment_writer::remaining_after(const prepaid::token_amounts& granted) const
{
    const auto totals = prepaid_totals();
    prepaid::token_amounts out;
    for (const auto& [team, amount] : granted)
        out[team] = prepaid::unallotted(*keeper_.record(), totals, team);
    return out;
}

void allotment_writer::credit(const prepaid::token_amounts& granted)
{
    if (granted.empty())
        return;
    log_event(event::tokens_allotted,
              {{"amounts", format_amounts(granted)},
               {"left", format_amounts(remaining_after(granted))},
               {"revision", std::to_string(keeper_.record_at().value())},
               {"era", std::to_string(keeper_.era().value())}});
    credit_(granted);
}

awaitable<void> allotment_writer::credit_claims()
{
    if (!keeper_.has_claims())
        co_return;
    while (auto claim = keeper_.take_claim(prepaid_totals())) {
        bool known = claim->era == catalog::store_era() || draws_ == nullptr;
        if (!known)
            known = co_await draws_->confirm(*claim);
        if (!known) {
            keeper_.return_claim(std::move(*claim));
            break;
        }
        credit(claim->granted);
    }
    credit(keeper_.take_covered_claims(prepaid_totals()));
}

void allotment_writer::report_unreadable(catalog::revision changed,
                                         const error& cause)
{
    tables_.unreadable.note(unreadable_kind::allotment, record_name, changed,
                            cause);
}

result<prepaid::shown_record>
allotment_writer::decode(const platform_reply& reply) const
{
    const auto object = adapter::decode_object_in(reply.era, reply.body);
    if (!object)
        return tl::unexpected(object.error());
    auto record = object->content.and_then(prepaid::allotment_from_json);
    if (!record)
        return tl::unexpected(record.error());
    return prepaid::shown_record{std::move(*record), object->revision};
}

/// Returns whether the record was accepted. A record that shows less than
/// before in the same era, or that has disappeared, was changed by another
/// program.
bool allotment_writer::accept(const result<prepaid::shown_record>& read)
{
    if (!read) {
        report_unreadable(catalog::revision(), read.error());
        return false;
    }
    if (const auto ok = keeper_.accept(*read, tables_.now()); !ok) {
        report_unreadable(read->at, ok.error());
        return false;
    }
    record_read_at_ = tables_.now();
    return true;
}

awaitable<bool> allotment_writer::read_record()
{
    const auto got = co_await client_.call(
        platform_call::read_allotments, http::verb::get,
        adapter::object_target(object_kind::prepaid, record_name,
                               adapter::freshness::newest),
        "", call_timeout);
    tables_.note_platform_contact(got.reached(), "allotment record");
    if (got.outcome == call_outcome::missing) {
        const auto ok = keeper_.accept_missing(got.era, tables_.now());
        if (!ok)
            report_unreadable(catalog::revision(), ok.error());
        co_return ok.has_value();
    }
    if (got.outcome != call_outcome::done)
        co_return false;
    co_return accept(decode(got));
}

/// Once an era.
void allotment_writer::log_outdated()
{
    if (logged_outdated_ == keeper_.era())
        return;
    logged_outdated_ = keeper_.era();
    const prepaid::repair_view view = draws_->view(keeper_.is_missing());
    log_event(event::allotment_outdated,
              {{"era", std::to_string(keeper_.era().value())},
               {"record", to_string(keeper_.record_at())},
               {"asked", std::to_string(view.asked)},
               {"answered", std::to_string(view.answered)},
               {"uptime_ms", milliseconds_text(view.uptime)}});
}

/// Creates the record, or replaces one of an earlier era by all that is known,
/// once the other nodes have said what they know. Returns whether the record is
/// usable then.
awaitable<bool> allotment_writer::repair()
{
    const bool restored = keeper_.era() != catalog::store_era();
    const bool is_missing = keeper_.is_missing();
    if (restored && draws_ != nullptr) {
        draws_->ask();
        waits_for_nodes_ = !prepaid::may_repair(draws_->view(is_missing));
        if (waits_for_nodes_) {
            log_outdated();
            co_return false;
        }
    }
    const prepaid::record_write made =
        keeper_.draft_repair(tables_.random.bits());
    const auto body = adapter::encode_object(record_name, made.expected,
                                             prepaid::to_json(made.record));
    const std::string target =
        is_missing ? adapter::create_target(object_kind::prepaid)
                   : adapter::object_target(object_kind::prepaid, record_name,
                                            adapter::freshness::newest);
    const auto got =
        co_await client_.call(platform_call::write_allotments,
                              is_missing ? http::verb::post : http::verb::put,
                              target, body, call_timeout);
    // On a conflict another node was first; its record can be read.
    const bool is_there = got.outcome == call_outcome::done ||
                          got.outcome == call_outcome::conflict;
    if (!is_there || !accept(decode(got)) || !keeper_.is_usable())
        co_return false;
    if (restored && got.outcome == call_outcome::done) {
        log_event(event::allotment_repaired,
                  {{"era", std::to_string(keeper_.era().value())},
                   {"before", to_string(made.expected)},
                   {"epoch", std::to_string(made.record.epoch.sequence)},
                   {"teams", std::to_string(made.record.allotted.size())},
                   {"revision", to_string(keeper_.record_at())}});
    }
    co_return true;
}

/// Sends the write. If the reply leaves the outcome open, the write is in
/// doubt.
awaitable<bool> allotment_writer::write(const prepaid::record_write& pending)
{
    const auto body = adapter::encode_object(record_name, pending.expected,
                                             prepaid::to_json(pending.record));
    const auto got = co_await client_.call(
        platform_call::write_allotments, http::verb::put,
        adapter::object_target(object_kind::prepaid, record_name,
                               adapter::freshness::newest),
        body, call_timeout);
    tables_.note_platform_contact(got.reached(), "allotment record");
    if (got.outcome == call_outcome::turned_away && !in_doubt())
        co_return false;
    if (got.outcome != call_outcome::done &&
        got.outcome != call_outcome::conflict) {
        if (!in_doubt())
            log_event(event::allotment_in_doubt, {{"mark", pending.mark}});
        keeper_.note_in_doubt(pending);
        co_return false;
    }
    const auto shown = decode(got);
    if (!shown)
        report_unreadable(catalog::revision(), shown.error());
    const bool written = keeper_.end_write(
        pending, shown ? std::optional(*shown) : std::nullopt, tables_.now());
    if (shown)
        record_read_at_ = tables_.now();
    co_await credit_claims();
    co_return written;
}

/// Returns true once no write is in doubt.
awaitable<bool> allotment_writer::resolve_in_doubt()
{
    const bool read = co_await read_record();
    if (!read)
        co_return false;
    if (!in_doubt())
        co_return true;
    if (keeper_.resolve_in_doubt()) {
        co_await credit_claims();
        co_return true;
    }
    // The write may still take effect. Repeating it is safe, since at most one
    // of the two can, and its reply shows the outcome.
    const prepaid::record_write again = *keeper_.in_doubt();
    (void)co_await write(again);
    co_return !in_doubt();
}

awaitable<bool>
allotment_writer::withdraw(const prepaid::token_amounts& requested)
{
    constexpr int max_write_attempts = 5;
    for (int i = 0; i < max_write_attempts; ++i) {
        // The store may have been restored meanwhile.
        if (!keeper_.is_usable())
            co_return false;
        const auto pending =
            keeper_.draft_withdrawal(prepaid_totals(), requested);
        if (!pending)
            co_return true;
        const bool written = co_await write(*pending);
        if (written)
            co_return true;
        if (in_doubt())
            co_return false;
        if (i + 1 < max_write_attempts)
            co_await back_off_after_conflict(i);
    }
    co_return false;
}

/// Waits a random time, which doubles at most with each conflict. Two nodes
/// that both act as the writer would otherwise collide again at the next write.
awaitable<void> allotment_writer::back_off_after_conflict(int conflicts)
{
    const duration most =
        tables_.options.stock.conflict_backoff * (1 << conflicts);
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer,
                      from_seconds(to_seconds(most) * tables_.random.unit()));
}

awaitable<bool> allotment_writer::refresh(duration max_age)
{
    waits_for_nodes_ = false;
    keeper_.enter_era(tables_.store_era, tables_.now());
    bool fine = true;
    if (in_doubt())
        fine = co_await resolve_in_doubt();
    else if (!keeper_.is_usable() || tables_.now() - record_read_at_ > max_age)
        fine = co_await read_record();
    if (fine && keeper_.needs_repair())
        fine = co_await repair();
    fine = fine && keeper_.is_usable();
    if (fine)
        co_await credit_claims();
    co_return fine;
}

prepaid::token_amounts allotment_writer::prepaid_totals() const
{
    prepaid::token_amounts out;
    for (const catalog::team& it : tables_.config->parts().teams)
        if (it.prepaid)
            out[it.id] = *it.prepaid;
    return out;
}

} // namespace fennelladder::edge
