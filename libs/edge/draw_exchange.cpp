#include "fennelladder/edge/draw_exchange.hpp"

#include "fennelladder/telemetry/log.hpp"
#include "repeated_question.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// Draws that fit one packet.
constexpr std::size_t draws_per_datagram = prepaid::max_claim_draws;

/// A copy of the store is some seconds old; it has all draws of before this
/// time.
constexpr duration recent_draw_time = minutes(2);

/// Peers acknowledge within milliseconds. The claim is kept and told again
/// after this time, so that other work goes on.
constexpr duration confirm_timeout = milliseconds(150);

/// Interval of the questions to nodes that haven't answered.
constexpr duration question_interval = milliseconds(50);

/// A process that started has heard of most others by then, and has learnt what
/// they know soon after.
constexpr duration first_contacts_time = seconds(1);
constexpr duration learning_time = 2 * prepaid::discovery_time;

/// Calls `visit` with the draws in pieces that fit a datagram; once with none
/// if there are none.
template <class Visitor>
void for_each_part(const std::vector<prepaid::known_draw>& draws, Visitor visit)
{
    const std::size_t parts = std::max<std::size_t>(
        (draws.size() + draws_per_datagram - 1) / draws_per_datagram, 1);
    for (std::size_t i = 0; i < parts; ++i) {
        const auto begin =
            draws.begin() + static_cast<std::ptrdiff_t>(i * draws_per_datagram);
        const auto end =
            draws.begin() + static_cast<std::ptrdiff_t>(std::min(
                                (i + 1) * draws_per_datagram, draws.size()));
        visit(std::vector<prepaid::known_draw>(begin, end), i, parts);
    }
}

} // namespace

draw_exchange::draw_exchange(node_tables& tables, sender send)
    : tables_(tables), send_(std::move(send)), changed_(tables.io)
{}

void draw_exchange::attach(prepaid::record_keeper& keeper)
{
    keeper_ = &keeper;
    tables_.on_store_era.push_back([this] { begin_era(); });
}

/// Other nodes may repair the record at any time from now on.
void draw_exchange::begin_era()
{
    keeper_->enter_era(tables_.store_era, tables_.now());
    question_ = 0;
    asked_all_.reset();
    answers_.clear();
    pending_.clear();
    changed_.cancel();
}

std::vector<const mesh::peer_record*> draw_exchange::witnesses() const
{
    auto out = tables_.peers.alive(tables_.now());
    std::erase_if(out, [](const mesh::peer_record* it) {
        return !it->last.store_era.has_value();
    });
    return out;
}

/// How long no other node of any release was heard; unset if some seem to live,
/// or if there are no others.
std::optional<duration> draw_exchange::isolated_for() const
{
    const instant now = tables_.now();
    if (tables_.settings.is_alone() || !tables_.peers.alive(now).empty())
        return std::nullopt;
    duration out = now - tables_.started;
    for (const auto& [host, row] : tables_.peers.rows())
        out = std::min(out, now - row.heard);
    return out;
}

/// Some of the nodes, first those in other data centres: one that is lost as a
/// whole takes all that only it knows with it.
std::vector<const mesh::peer_record*>
draw_exchange::sample(std::vector<const mesh::peer_record*> from) const
{
    for (std::size_t i = from.size(); i > 1; --i)
        std::swap(from[i - 1], from[tables_.random.below(i)]);
    std::stable_partition(
        from.begin(), from.end(), [this](const mesh::peer_record* it) {
            return it->last.data_center != tables_.settings.data_center;
        });
    if (from.size() > prepaid::most_witnesses)
        from.resize(prepaid::most_witnesses);
    return from;
}

/// Sends to some of those that haven't acknowledged.
void draw_exchange::send_report(const mesh::draw_report& report,
                                const witness_set& except)
{
    auto to = witnesses();
    std::erase_if(to, [&](const mesh::peer_record* it) {
        return except.contains(it->last.incarnation);
    });
    mesh::datagram message;
    message.draw_report = report;
    for (const mesh::peer_record* it : sample(std::move(to)))
        send_(it->last.peer_address, message);
}

awaitable<bool> draw_exchange::confirm(prepaid::token_claim& claim)
{
    if (claim.report == 0)
        claim.report = ++last_number_;
    const mesh::draw_report report{tables_.incarnation, claim.report, claim.era,
                                   claim.draws};
    const auto is_outdated = [&] { return claim.era != tables_.store_era; };
    const auto is_confirmed = [&] {
        return pending_[claim.report].size() >=
               prepaid::witnesses_needed({witnesses().size(), isolated_for()});
    };
    const repeated_question question{
        [&] { send_report(report, pending_[claim.report]); },
        [&] { return is_outdated() || is_confirmed(); }};
    co_await ask_until_answered(tables_, changed_, question,
                                tables_.now() + confirm_timeout);
    const bool confirmed = !is_outdated() && is_confirmed();
    if (confirmed || is_outdated())
        pending_.erase(claim.report);
    co_return confirmed;
}

void draw_exchange::ask()
{
    if (!asked_all_)
        asked_all_ = tables_.now();
    send_questions(witnesses());
}

void draw_exchange::learn_at_start()
{
    const duration uptime = tables_.now() - tables_.started;
    if (tables_.store_era == catalog::store_era() ||
        uptime < first_contacts_time || uptime > learning_time)
        return;
    if (asked_at_start_.empty())
        for (const mesh::peer_record* it : sample(witnesses()))
            asked_at_start_.insert(it->last.incarnation);
    auto to = witnesses();
    std::erase_if(to, [this](const mesh::peer_record* it) {
        return !asked_at_start_.contains(it->last.incarnation);
    });
    send_questions(to);
}

void draw_exchange::send_questions(
    const std::vector<const mesh::peer_record*>& to)
{
    const instant now = tables_.now();
    if (question_ == 0)
        question_ = ++last_number_;
    else if (now - last_asked_ < question_interval)
        return;
    last_asked_ = now;
    mesh::datagram message;
    message.draw_question = {tables_.incarnation, question_, tables_.store_era};
    for (const mesh::peer_record* it : to)
        if (!answers_[it->last.incarnation].complete)
            send_(it->last.peer_address, message);
}

prepaid::repair_view draw_exchange::view(bool record_missing) const
{
    prepaid::repair_view out;
    const instant now = tables_.now();
    out.record_missing = record_missing;
    out.first_start = tables_.settings.first_start;
    out.uptime = now - tables_.started;
    out.isolated_for = isolated_for();
    out.asked_for = now - asked_all_.value_or(now);
    out.eldest_answered = out.uptime;
    const auto has_answered = [this](const mesh::peer_record& it) {
        const auto answer = answers_.find(it.last.incarnation);
        return answer != answers_.end() && answer->second.complete;
    };
    for (const mesh::peer_record* it : witnesses()) {
        ++out.asked;
        out.answered += has_answered(*it);
    }
    for (const auto& [host, row] : tables_.peers.rows()) {
        const bool counts = row.last.store_era &&
                            row.last.state != mesh::node_state::leaving &&
                            now - row.heard < prepaid::isolation_limit;
        const duration uptime =
            row.last.uptime.value_or(duration(0)) + (now - row.heard);
        duration& eldest =
            has_answered(row) ? out.eldest_answered : out.eldest_silent;
        if (counts)
            eldest = std::max(eldest, uptime);
    }
    return out;
}

void draw_exchange::tell(const mesh::peer_record& peer)
{
    if (!peer.last.store_era)
        return;
    const auto recent =
        keeper_->ledger().learnt_since(tables_.now() - recent_draw_time);
    for_each_part(recent, [&](auto draws, auto, auto) {
        mesh::datagram message;
        message.draw_report = {tables_.incarnation, ++last_number_,
                               tables_.store_era, std::move(draws)};
        send_(peer.last.peer_address, message);
    });
}

// Messages.

void draw_exchange::on_message(const mesh::datagram& message,
                               const std::string& from)
{
    if (message.draw_report)
        on_report(*message.draw_report, from);
    if (message.draw_ack)
        on_ack(*message.draw_ack);
    if (message.draw_question)
        on_question(*message.draw_question, from);
    if (message.draw_answer)
        on_answer(*message.draw_answer);
}

void draw_exchange::learn(const std::vector<prepaid::known_draw>& draws)
{
    (void)keeper_->learn(draws, tables_.now());
}

void draw_exchange::on_report(const mesh::draw_report& report,
                              const std::string& from)
{
    tables_.note_store_era(report.era, from);
    learn(report.draws);
    mesh::datagram message;
    message.draw_ack = {report.incarnation, report.number, tables_.store_era,
                        tables_.incarnation};
    send_(from, message);
}

/// An acknowledgement of a later era doesn't count: the node may have said what
/// it knows before it heard of the draw.
void draw_exchange::on_ack(const mesh::draw_ack& ack)
{
    if (ack.incarnation != tables_.incarnation)
        return;
    tables_.note_store_era(ack.era, "a witness");
    const auto it = pending_.find(ack.number);
    if (it == pending_.end() || ack.era != tables_.store_era)
        return;
    it->second.insert(ack.witness);
    changed_.cancel();
}

void draw_exchange::on_question(const mesh::draw_question& question,
                                const std::string& from)
{
    tables_.note_store_era(question.era, from);
    const auto recent =
        keeper_->ledger().learnt_since(tables_.now() - recent_draw_time);
    for_each_part(recent, [&](auto draws, std::size_t part, std::size_t parts) {
        mesh::datagram message;
        message.draw_answer = {question.incarnation,
                               question.number,
                               tables_.store_era,
                               std::move(draws),
                               tables_.incarnation,
                               static_cast<std::uint32_t>(part),
                               static_cast<std::uint32_t>(parts)};
        send_(from, message);
    });
}

void draw_exchange::on_answer(const mesh::draw_answer& answer)
{
    if (answer.incarnation != tables_.incarnation)
        return;
    tables_.note_store_era(answer.era, "an answer");
    learn(answer.draws);
    if (answer.number != question_)
        return;
    peer_answer& from = answers_[answer.reporter];
    from.parts.insert(answer.part);
    from.complete |= from.parts.size() >= answer.parts;
}

} // namespace fennelladder::edge
