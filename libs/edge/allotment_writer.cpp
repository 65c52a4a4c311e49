// Tokens are credited only after a write that deducts them is proved to have
// taken effect: by its own reply, or by its mark in a record read later.

#include "fennelladder/edge/allotment_writer.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <cassert>

namespace fennelladder::edge {

namespace {

using adapter::object_kind;
using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* record_name = "main";

constexpr duration call_limit = milliseconds(800);

std::string amounts_text(const prepaid::token_amounts& amounts)
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

/// What the record still has of the teams that got some.
prepaid::token_amounts
allotment_writer::left_after(const prepaid::token_amounts& granted) const
{
    const auto totals = prepaid_totals();
    prepaid::token_amounts out;
    for (const auto& [team, amount] : granted)
        out[team] = prepaid::left_of(*record_, totals, team);
    return out;
}

void allotment_writer::credit(const prepaid::token_amounts& granted)
{
    log_event(event::tokens_allotted,
              {{"amounts", amounts_text(granted)},
               {"left", amounts_text(left_after(granted))},
               {"revision", std::to_string(record_revision_.value())}});
    credit_(granted);
}

void allotment_writer::note_unreadable(catalog::revision changed,
                                       const error& cause)
{
    tables_.unreadable.note(unreadable_kind::allotment, record_name, changed,
                            cause);
}

/// Amounts only grow. A record with less than was known, or none where there
/// was one, has been written or removed by something else: taken for true, it
/// would hand out a second time what teams have spent.
bool allotment_writer::adopt(const adapter::stored_object& object)
{
    auto read = object.content.and_then(prepaid::allotment_from_json);
    if (read && object.revision == catalog::revision())
        read = fail(error_code::corrupt, "no revision");
    if (read && record_ && !prepaid::follows(*record_, *read))
        read = fail(error_code::corrupt, "less allotted than before");
    if (!read) {
        note_unreadable(object.revision, read.error());
        return false;
    }
    record_ = std::move(*read);
    record_revision_ = object.revision;
    record_read_ = tables_.now();
    return true;
}

awaitable<bool> allotment_writer::create_record()
{
    const auto body =
        adapter::encode_object(record_name, catalog::revision(),
                               prepaid::to_json(prepaid::allotment_record()));
    const auto got = co_await client_.call(
        call_name::write_allotments, http::verb::post,
        adapter::create_target(object_kind::prepaid), body, call_limit);
    // Another node may have been first; both ways it's there to be read.
    const bool there = got.outcome == call_outcome::done ||
                       got.outcome == call_outcome::conflict;
    if (!there)
        co_return false;
    const auto object = adapter::decode_object(got.body);
    const bool known = object.has_value() && adopt(*object);
    co_return known;
}

awaitable<bool> allotment_writer::read_record()
{
    const auto got = co_await client_.call(
        call_name::read_allotments, http::verb::get,
        adapter::object_target(object_kind::prepaid, record_name,
                               adapter::freshness::newest),
        "", call_limit);
    tables_.note_contact(got.reached(), "allotment record");
    if (got.outcome == call_outcome::missing && record_) {
        note_unreadable(catalog::revision(),
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
        note_unreadable(catalog::revision(), object.error());
        co_return false;
    }
    co_return adopt(*object);
}

/// Writes; what the reply leaves open is in doubt_ afterwards.
awaitable<bool> allotment_writer::write(const doubtful_write& wanted)
{
    const auto body = adapter::encode_object(
        record_name, wanted.expected, prepaid::to_json(wanted.draft.record));
    const auto got = co_await client_.call(
        call_name::write_allotments, http::verb::put,
        adapter::object_target(object_kind::prepaid, record_name,
                               adapter::freshness::newest),
        body, call_limit);
    tables_.note_contact(got.reached(), "allotment record");
    if (got.outcome == call_outcome::turned_away && !doubt_)
        co_return false;
    if (got.outcome != call_outcome::done &&
        got.outcome != call_outcome::conflict) {
        if (!doubt_)
            log_event(event::allotment_in_doubt, {{"mark", wanted.mark}});
        doubt_ = wanted;
        co_return false;
    }
    const auto object = adapter::decode_object(got.body);
    if (!object || !adopt(*object)) {
        doubt_ = wanted;
        co_return false;
    }
    const bool written =
        prepaid::written_by(*record_, tables_.settings.host, wanted.mark);
    const auto granted = wanted.draft.granted;
    doubt_.reset();
    if (written)
        credit(granted);
    co_return written;
}

/// True when nothing is in doubt any more.
awaitable<bool> allotment_writer::resolve_doubt()
{
    const bool read = co_await read_record();
    if (!read || !doubt_)
        co_return false;
    if (prepaid::written_by(*record_, tables_.settings.host, doubt_->mark)) {
        const auto granted = doubt_->draft.granted;
        doubt_.reset();
        credit(granted);
        co_return true;
    }
    if (record_revision_ != doubt_->expected) {
        // Its condition can't hold any more: it never takes effect.
        doubt_.reset();
        co_return true;
    }
    // It may still take effect; the same write again settles it either way.
    const doubtful_write again = *doubt_;
    (void)co_await write(again);
    co_return !doubt_;
}

awaitable<bool> allotment_writer::take_out(const prepaid::token_amounts& wishes)
{
    constexpr int most_conflicts = 5;
    // Without a revision the write would have no condition.
    assert(record_revision_ != catalog::revision());
    for (int i = 0; i < most_conflicts; ++i) {
        doubtful_write wanted;
        wanted.mark = std::to_string(tables_.life.value()) + "." +
                      std::to_string(++writes_);
        wanted.draft =
            prepaid::draft_allotment(*record_, prepaid_totals(), wishes,
                                     tables_.settings.host, wanted.mark);
        wanted.expected = record_revision_;
        if (wanted.draft.granted.empty())
            co_return true;
        const bool written = co_await write(wanted);
        if (written)
            co_return true;
        if (doubt_)
            co_return false;
        if (i + 1 < most_conflicts)
            co_await pause_after_conflict(i);
    }
    co_return false;
}

/// Nodes that both take themselves for the writer wrote at the same moment, and
/// would again.
awaitable<void> allotment_writer::pause_after_conflict(int conflicts)
{
    const duration most =
        tables_.options.stock.conflict_pause * (1 << conflicts);
    asio::steady_timer timer(tables_.io);
    co_await sleep_on(timer,
                      from_seconds(to_seconds(most) * tables_.random.unit()));
}

awaitable<bool> allotment_writer::renew(duration most_age)
{
    bool fine = true;
    if (doubt_)
        fine = co_await resolve_doubt();
    else if (!record_ || tables_.now() - record_read_ > most_age)
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
