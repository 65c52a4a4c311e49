#include "fennelladder/edge/stream_origin_exchange.hpp"

#include "repeated_question.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// Other nodes that keep the record of a stream: it is lost only if all of
/// them and the node that began the stream end before it is needed.
constexpr std::size_t record_holders = 3;

/// Nodes asked for a stream. More than keep its record, since nodes that have
/// started or ended meanwhile change the order.
constexpr std::size_t nodes_asked = 8;

/// Records handed over when the node leaves: most callers come back within
/// seconds, and all records of a minute would fill a small host's link.
constexpr duration handed_over_span = seconds(20);

/// Records that fit one packet.
constexpr std::size_t records_per_datagram = 16;

/// How long to wait for a later record once one is known: a node that was out
/// of step may have the one before it.
constexpr duration later_record_wait = milliseconds(30);

/// Whether the record replaces `known`: it is of a later attempt of one
/// request, or of a later request with the same words.
bool is_later(const dispatch::aged_origin& it,
              const std::optional<dispatch::aged_origin>& known)
{
    if (!known || it.origin.attempt != known->origin.attempt)
        return !known || it.origin.attempt > known->origin.attempt;
    return it.age < known->age;
}

} // namespace

stream_origin_exchange::stream_origin_exchange(node_tables& tables, sender send)
    : tables_(tables), send_(std::move(send))
{}

/// The other nodes that keep the stream's record, or may do so. With
/// `after_leaving`, only those that stay.
std::vector<host_id> stream_origin_exchange::holders(dispatch::stream_key key,
                                                     std::size_t most,
                                                     bool after_leaving) const
{
    std::vector<dispatch::record_holder> all;
    for (const mesh::peer_record* it : tables_.peers.alive(tables_.now()))
        if (!after_leaving || it->last.state != mesh::node_state::leaving)
            all.push_back({it->last.host, it->last.data_center});
    return dispatch::stream_record_holders(key, all, most);
}

void stream_origin_exchange::begin(const dispatch::stream_origin& origin)
{
    const instant now = tables_.now();
    tables_.stream_origins.note(origin, now);
    mesh::datagram message;
    message.origins = {{origin, duration(0)}};
    // A record that corrects an earlier one is sent twice: a node that missed
    // it would answer with the earlier one.
    const int copies = origin.attempt > 1 ? 2 : 1;
    for (const host_id& it : holders(origin.key, record_holders, true))
        for (int i = 0; i < copies; ++i)
            send_(tables_.peers.address_of(it), message);
}

void stream_origin_exchange::send_question(
    const mesh::origin_question& question, const open_question& to)
{
    mesh::datagram message;
    message.stream_question = question;
    for (const host_id& it : to.waiting_for)
        send_(tables_.peers.address_of(it), message);
}

awaitable<found_origin> stream_origin_exchange::find(dispatch::stream_key key,
                                                     service_id service,
                                                     instant until)
{
    found_origin known;
    known.source = tables_.settings.host;
    known.origin = tables_.stream_origins.find(key, tables_.now());
    known.versions = tables_.versions.of(service, tables_.now());
    const auto asked = std::make_shared<open_question>(tables_.io);
    asked->found = known;
    // With a record at hand, only those that would have a later one are asked.
    const std::size_t most = known.origin ? record_holders : nodes_asked;
    for (const host_id& it : holders(key, most, false))
        asked->waiting_for.insert(it);
    asked->found.asked = asked->waiting_for.size();
    const mesh::origin_question question{tables_.incarnation, ++last_number_,
                                         key, std::move(service)};
    questions_.emplace(question.number, asked);
    const repeated_question for_any{
        [&] { send_question(question, *asked); },
        [&] { return asked->found.origin || asked->waiting_for.empty(); }};
    co_await ask_until_answered(tables_, asked->timer, for_any, until);
    const repeated_question for_all{for_any.send,
                                    [&] { return asked->waiting_for.empty(); }};
    const instant last = std::min(until, tables_.now() + later_record_wait);
    co_await ask_until_answered(tables_, asked->timer, for_all, last);
    questions_.erase(question.number);
    co_return asked->found;
}

void stream_origin_exchange::hand_over()
{
    const instant now = tables_.now();
    std::map<host_id, mesh::datagram> messages;
    const auto send = [this](const host_id& to, mesh::datagram& message) {
        send_(tables_.peers.address_of(to), message);
        message.origins.clear();
    };
    for (const auto& it : tables_.stream_origins.recent(handed_over_span, now))
        for (const host_id& to : holders(it.origin.key, record_holders, true)) {
            mesh::datagram& message = messages[to];
            message.origins.push_back(it);
            if (message.origins.size() == records_per_datagram)
                send(to, message);
        }
    for (auto& [to, message] : messages)
        if (!message.origins.empty())
            send(to, message);
}

void stream_origin_exchange::on_origins(
    const std::vector<dispatch::aged_origin>& origins)
{
    const instant now = tables_.now();
    for (const dispatch::aged_origin& it : origins)
        tables_.stream_origins.note(it.origin, now, it.age);
}

void stream_origin_exchange::on_question(const mesh::origin_question& question,
                                         const std::string& from)
{
    const instant now = tables_.now();
    mesh::datagram message;
    message.stream_answer = mesh::origin_answer{
        question.incarnation, question.number, tables_.settings.host,
        tables_.stream_origins.find(question.key, now),
        tables_.versions.of(question.service, now)};
    send_(from, message);
}

void stream_origin_exchange::on_answer(const mesh::origin_answer& answer)
{
    const auto found = questions_.find(answer.number);
    if (answer.incarnation != tables_.incarnation || found == questions_.end())
        return;
    open_question& asked = *found->second;
    if (asked.waiting_for.erase(answer.host) == 0)
        return;
    ++asked.found.answered;
    if (answer.origin && is_later(*answer.origin, asked.found.origin)) {
        asked.found.origin = answer.origin;
        asked.found.source = answer.host;
    }
    asked.found.versions.merge(answer.versions);
    asked.timer.cancel();
}

} // namespace fennelladder::edge
