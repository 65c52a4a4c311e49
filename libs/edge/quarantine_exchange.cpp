#include "fennelladder/edge/quarantine_exchange.hpp"

#include "fennelladder/edge/response_writer.hpp"
#include "fennelladder/telemetry/log.hpp"

#include "repeated_question.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::edge {

namespace {

using dispatch::crash_mark;
using dispatch::suspicion;
using telemetry::log_event;
namespace event = telemetry::event;

/// Records that fit one packet.
constexpr std::size_t records_per_datagram = 12;

/// Records of one death that are told at once. Heartbeats tell the rest.
constexpr std::size_t max_records_told = 256;

/// Deaths longer ago say nothing that the list of targets doesn't.
constexpr duration max_death_age = seconds(3);

/// Longest list of targets in a log line.
constexpr std::size_t max_targets_logged = 8;

} // namespace

std::string targets_text(const dispatch::crash_record& record)
{
    std::string out;
    for (std::size_t i = 0;
         i < std::min(record.deaths.size(), max_targets_logged); ++i) {
        const auto& it = record.deaths[i];
        out += (i > 0 ? std::string(",") : std::string()) + it.target.id.str() +
               ":" + milliseconds_text(it.at);
    }
    return out;
}

std::string last_answer_text(const dispatch::crash_record& record)
{
    const auto last = std::ranges::min_element(
        record.answers, {}, &dispatch::crash_answer<duration>::at);
    return last == record.answers.end() ? "none" : milliseconds_text(last->at);
}

quarantine_exchange::quarantine_exchange(node_tables& tables, sender send)
    : tables_(tables), send_(std::move(send))
{}

void quarantine_exchange::set_death_listener(death_listener listener)
{
    on_death_ = std::move(listener);
}

void quarantine_exchange::tell_all(
    std::span<const dispatch::crash_record> records)
{
    const auto addresses = tables_.peers.all_addresses();
    records = records.first(std::min(records.size(), max_records_told));
    while (!records.empty()) {
        const std::size_t n = std::min(records.size(), records_per_datagram);
        mesh::datagram message;
        message.crash_records = {
            records.begin(), records.begin() + static_cast<std::ptrdiff_t>(n)};
        for (const std::string& it : addresses)
            send_(it, message);
        records = records.subspan(n);
    }
}

/// Logs marks that were condemned or cleared. `by` names the source of the
/// news.
void quarantine_exchange::log_changes(std::span<const crash_mark> marks,
                                      const std::string& by)
{
    const instant now = tables_.now();
    for (const crash_mark& it : marks) {
        const auto state =
            tables_.quarantine.assess(it, {}, dispatch::run_place(), now);
        const bool is_condemned = state.level == suspicion::condemned;
        if (is_condemned == condemned_.contains(it))
            continue;
        if (!is_condemned) {
            condemned_.erase(it);
            log_event(event::mark_cleared, {{"mark", it.text()}, {"by", by}});
            continue;
        }
        condemned_.insert(it);
        const std::vector<crash_mark> one{it};
        const auto records = tables_.quarantine.records_of(one, now);
        log_event(event::mark_condemned,
                  {{"mark", it.text()},
                   {"deaths", std::to_string(state.deaths)},
                   {"rounds", std::to_string(state.rounds)},
                   {"targets", targets_text(records.front())},
                   {"last_answer_ms", last_answer_text(records.front())},
                   {"trial_in_ms", milliseconds_text(state.next_run - now)},
                   {"by", by}});
    }
    tables_.metrics.gauge_of("fennelladder_condemned_marks")
        .set(static_cast<std::int64_t>(condemned_.size()));
}

void quarantine_exchange::note_death(
    std::span<const crash_mark> marks,
    const dispatch::crash_death<instant>& death)
{
    const instant now = tables_.now();
    std::vector<crash_mark> changed;
    for (const crash_mark& it : marks)
        if (tables_.quarantine.note_death(it, death, now))
            changed.push_back(it);
    log_changes(changed, tables_.settings.host.str());
    // Most marks are known to be harmless. When many targets die, telling all
    // of them at once would fill the host's link; heartbeats do it in time.
    const auto suspects =
        tables_.quarantine.suspects_of(changed, death.place, now);
    tell_all(tables_.quarantine.records_of_death(suspects, death, now));
}

void quarantine_exchange::note_answer(std::span<const crash_mark> marks,
                                      dispatch::run_place place, bool urgent)
{
    if (!tables_.quarantine.note_answer(marks, place, tables_.now()))
        return;
    log_changes(marks, tables_.settings.host.str());
    if (urgent)
        tell_all(tables_.quarantine.records_of(marks, tables_.now()));
}

bool quarantine_exchange::forgive(const crash_mark& mark)
{
    if (!tables_.quarantine.forgive(mark, tables_.now()))
        return false;
    const std::vector<crash_mark> one{mark};
    log_changes(one, "operator");
    tell_all(tables_.quarantine.records_of(one, tables_.now()));
    return true;
}

awaitable<std::optional<mesh::run_answer>>
quarantine_exchange::ask(const mesh::run_question& question,
                         const std::string& address, instant until)
{
    const auto asked = std::make_shared<open_question>(tables_.io);
    questions_.emplace(question.number, asked);
    mesh::datagram message;
    message.run_question = question;
    const repeated_question repeated{[&] { send_(address, message); },
                                     [&] { return asked->answer.has_value(); }};
    co_await ask_until_answered(tables_, asked->timer, repeated, until);
    questions_.erase(question.number);
    co_return asked->answer;
}

awaitable<run_permit>
quarantine_exchange::acquire(std::vector<crash_mark> marks,
                             dispatch::run_place place, service_id service,
                             instant until)
{
    dispatch::quarantine& table = tables_.quarantine;
    run_permit out;
    out.worst = table.worst_of(marks, place, tables_.now());
    if (!out.worst) {
        out.allowed = true;
        co_return out;
    }
    const instant now = tables_.now();
    const dispatch::assessment state = out.worst->state;
    if (state.level == suspicion::condemned && now < state.next_run) {
        out.retry_after = state.next_run - now;
        co_return out;
    }
    const auto suspects = table.suspects_of(marks, place, now);
    out.service = service;
    out.number = ++last_number_;
    const mesh::peer_record* giver =
        tables_.peers.leader("run " + service.str(), tables_.platform.reached,
                             tables_.capacity(), now);
    const dispatch::lease_holder self{tables_.incarnation.value(), out.number};
    out.giver = tables_.settings.host;
    std::optional<mesh::run_answer> answer;
    if (giver != nullptr) {
        out.giver = giver->last.host;
        out.giver_address = giver->last.peer_address;
        // GCC 12 destroys a temporary argument of an awaited call twice.
        const mesh::run_question question{tables_.incarnation, out.number,
                                          place, suspects};
        answer = co_await ask(question, out.giver_address, until);
    }
    if (answer) {
        on_records(answer->records);
        out.allowed = answer->granted;
        out.retry_after = answer->retry_after;
    } else if (giver == nullptr || state.level != suspicion::condemned) {
        // The answer may have been lost.
        if (giver != nullptr)
            end_lease(out, duration(0));
        out.giver_address.clear();
        const auto got =
            leases_.ask(self, suspects, place, table, tables_.now());
        out.allowed = got.granted;
        out.retry_after = got.retry_after;
    } else {
        out.retry_after = default_retry_after;
    }
    out.leased = out.allowed;
    out.worst = table.worst_of(marks, place, tables_.now());
    if (!out.worst) {
        // The node that was asked knows that the marks are harmless.
        if (out.leased)
            release(out, duration(0));
        out.leased = false;
        out.allowed = true;
    }
    co_return out;
}

void quarantine_exchange::release(const run_permit& permit, duration hold)
{
    assert(permit.leased);
    end_lease(permit, hold);
}

void quarantine_exchange::end_lease(const run_permit& permit, duration hold)
{
    if (permit.giver_address.empty()) {
        leases_.end({tables_.incarnation.value(), permit.number}, hold,
                    tables_.now());
        return;
    }
    mesh::datagram message;
    message.run_end = mesh::run_end{tables_.incarnation, permit.number, hold};
    // Twice: if it is lost, the marks stay taken for seconds.
    for (int i = 0; i < 2; ++i)
        send_(permit.giver_address, message);
}

void quarantine_exchange::on_records(
    const std::vector<dispatch::crash_record>& records)
{
    const instant now = tables_.now();
    std::vector<crash_mark> changed;
    for (const dispatch::crash_record& it : records) {
        if (!tables_.quarantine.merge(it, now))
            continue;
        changed.push_back(it.mark);
        for (const auto& death : it.deaths) {
            if (death.at >= max_death_age)
                continue;
            tables_.registry.note_reported_death(death.target, now - death.at,
                                                 now);
            on_death_(death.target);
        }
    }
    if (!changed.empty())
        log_changes(changed, "peer");
}

void quarantine_exchange::on_question(const mesh::run_question& question,
                                      const std::string& from)
{
    const auto got = leases_.ask(
        {question.incarnation.value(), question.number}, question.marks,
        question.place, tables_.quarantine, tables_.now());
    mesh::datagram message;
    message.run_answer = mesh::run_answer{
        question.incarnation, question.number, got.granted, got.retry_after,
        tables_.quarantine.records_of(question.marks, tables_.now())};
    send_(from, message);
}

void quarantine_exchange::on_answer(const mesh::run_answer& answer)
{
    const auto found = questions_.find(answer.number);
    if (answer.incarnation != tables_.incarnation || found == questions_.end())
        return;
    found->second->answer = answer;
    found->second->timer.cancel();
}

void quarantine_exchange::on_end(const mesh::run_end& end)
{
    leases_.end({end.incarnation.value(), end.number}, end.hold, tables_.now());
}

} // namespace fennelladder::edge
