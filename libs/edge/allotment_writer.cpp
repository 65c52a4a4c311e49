// Tokens are credited only once the write that deducts them is proven to have
// taken effect, by its own reply or by its mark in a record read later.

#include "fennelladder/edge/allotment_writer.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <cassert>

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
                                   receiver credit)
    : tables_(tables), client_(client), credit_(std::move(credit))
{}

/// Tokens that remain in the record for each team in `granted`.
prepaid::token_amounts
allotment_writer::remaining_after(const prepaid::token_amounts& granted) const
{
    const auto totals = prepaid_totals();
    prepaid::token_amounts out;
    for (const auto& [team, amount] : granted)
        out[team] = prepaid::unallotted(*record_, totals, team);
    return out;
}

void allotment_writer::credit(const prepaid::token_amounts& granted)
{
    log_event(event::tokens_allotted,
              {{"amounts", format_amounts(granted)},
               {"left", format_amounts(remaining_after(granted))},
               {"revision", std::to_string(record_revision_.value())}});
    credit_(granted);
}

void allotment_writer::report_unreadable(catalog::revision changed,
                                         const error& cause)
{
    tables_.unreadable.note(unreadable_kind::allotment, record_name, changed,
                            cause);
}

/// Caches a record that was read. Allotted amounts only grow: a record that
/// shows less than before, or that has disappeared, was changed by another
/// program. Accepting it would allot tokens again that teams have already
/// spent.
bool allotment_writer::accept_record(const adapter::stored_object& object)
{
    auto read = object.content.and_then(prepaid::allotment_from_json);
    if (read && object.revision == catalog::revision())
        read = fail(error_code::corrupt, "allotment record has no revision");
    if (read && record_ && !prepaid::may_follow(*record_, *read))
        read = fail(error_code::corrupt,
                    "allotment record shows less allotted than before");
    if (!read) {
        report_unreadable(object.revision, read.error());
        return false;
    }
    record_ = std::move(*read);
    record_revision_ = object.revision;
    record_read_at_ = tables_.now();
    return true;
}

awaitable<bool> allotment_writer::create_record()
{
    const auto body =
        adapter::encode_object(record_name, catalog::revision(),
                               prepaid::to_json(prepaid::allotment_record()));
    const auto got = co_await client_.call(
        platform_call::write_allotments, http::verb::post,
        adapter::create_target(object_kind::prepaid), body, call_timeout);
    // On a conflict another node has created the record; it can be read.
    const bool there = got.outcome == call_outcome::done ||
                       got.outcome == call_outcome::conflict;
    if (!there)
        co_return false;
    const auto object = adapter::decode_object(got.body);
    const bool known = object.has_value() && accept_record(*object);
    co_return known;
}

awaitable<bool> allotment_writer::read_record()
{
    const auto got = co_await client_.call(
        platform_call::read_allotments, http::verb::get,
        adapter::object_target(object_kind::prepaid, record_name,
                               adapter::freshness::newest),
        "", call_timeout);
    tables_.note_platform_contact(got.reached(), "allotment record");
    if (got.outcome == call_outcome::missing && record_) {
        report_unreadable(catalog::revision(),
                          {error_code::not_found, "the record is gone"});
        co_return false;
    }
    if (got.outcome == call_outcome::missing) {
        const bool created = co_await create_record();
        co_return created;
    }
    if (got.outcome != call_outcome::done)
        co_return false;
    const auto object = adapter::decode_object(got.body);
    if (!object) {
        report_unreadable(catalog::revision(), object.error());
        co_return false;
    }
    co_return accept_record(*object);
}

/// Sends the write. If the reply leaves the outcome open, the write is kept in
/// in_doubt_.
awaitable<bool> allotment_writer::write(const in_doubt_write& pending)
{
    const auto body = adapter::encode_object(
        record_name, pending.expected, prepaid::to_json(pending.draft.record));
    const auto got = co_await client_.call(
        platform_call::write_allotments, http::verb::put,
        adapter::object_target(object_kind::prepaid, record_name,
                               adapter::freshness::newest),
        body, call_timeout);
    tables_.note_platform_contact(got.reached(), "allotment record");
    if (got.outcome == call_outcome::turned_away && !in_doubt_)
        co_return false;
    if (got.outcome != call_outcome::done &&
        got.outcome != call_outcome::conflict) {
        if (!in_doubt_)
            log_event(event::allotment_in_doubt, {{"mark", pending.mark}});
        in_doubt_ = pending;
        co_return false;
    }
    const auto object = adapter::decode_object(got.body);
    if (!object || !accept_record(*object)) {
        in_doubt_ = pending;
        co_return false;
    }
    const bool written =
        prepaid::contains_write(*record_, tables_.settings.host, pending.mark);
    const auto granted = pending.draft.granted;
    in_doubt_.reset();
    if (written)
        credit(granted);
    co_return written;
}

/// Returns true once no write is in doubt.
awaitable<bool> allotment_writer::resolve_in_doubt()
{
    const bool read = co_await read_record();
    if (!read || !in_doubt_)
        co_return false;
    if (prepaid::contains_write(*record_, tables_.settings.host,
                                in_doubt_->mark)) {
        const auto granted = in_doubt_->draft.granted;
        in_doubt_.reset();
        credit(granted);
        co_return true;
    }
    if (record_revision_ != in_doubt_->expected) {
        // The write's revision condition can no longer hold, so it will never
        // take effect.
        in_doubt_.reset();
        co_return true;
    }
    // The write may still take effect. Repeating it is safe, since at most one
    // of the two can, and its reply shows the outcome.
    const in_doubt_write again = *in_doubt_;
    (void)co_await write(again);
    co_return !in_doubt_;
}

awaitable<bool>
allotment_writer::withdraw(const prepaid::token_amounts& requested)
{
    constexpr int max_write_attempts = 5;
    // Without a revision the write would be unconditional.
    assert(record_revision_ != catalog::revision());
    for (int i = 0; i < max_write_attempts; ++i) {
        in_doubt_write pending;
        pending.mark = std::to_string(tables_.incarnation.value()) + "." +
                       std::to_string(++writes_);
        pending.draft =
            prepaid::draft_allotment(*record_, prepaid_totals(), requested,
                                     tables_.settings.host, pending.mark);
        pending.expected = record_revision_;
        if (pending.draft.granted.empty())
            co_return true;
        const bool written = co_await write(pending);
        if (written)
            co_return true;
        if (in_doubt_)
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
    bool fine = true;
    if (in_doubt_)
        fine = co_await resolve_in_doubt();
    else if (!record_ || tables_.now() - record_read_at_ > max_age)
        fine = co_await read_record();
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
