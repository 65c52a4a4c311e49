#include "fennelladder/edge/configuration_datagrams.hpp"

#include "fennelladder/telemetry/log.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

using mesh::fetch_result;
using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* downloads_metric =
    "fennelladder_mesh_configuration_downloads_total";
constexpr const char* questions_metric =
    "fennelladder_mesh_configuration_questions_total";
constexpr const char* answers_metric =
    "fennelladder_mesh_configuration_answers_total";

/// A text that can't be put into force is asked for again only after this time:
/// most likely the next one is the same.
constexpr duration unusable_text_pause = seconds(1);

} // namespace

configuration_datagrams::counters::counters(telemetry::metrics& metrics)
    : done(metrics.counter_of(downloads_metric, {{"result", "done"}})),
      not_newer(
          metrics.counter_of(downloads_metric, {{"result", "not_newer"}})),
      failed(metrics.counter_of(downloads_metric, {{"result", "failed"}})),
      asked(metrics.counter_of(questions_metric)),
      answered(metrics.counter_of(answers_metric, {{"result", "sent"}})),
      limited(metrics.counter_of(answers_metric, {{"result", "limited"}})),
      unanswerable(metrics.counter_of(answers_metric, {{"result", "none"}}))
{}

telemetry::counter&
configuration_datagrams::counters::of_result(fetch_result end) const
{
    switch (end) {
    case fetch_result::done:
        return done;
    case fetch_result::not_newer:
        return not_newer;
    case fetch_result::busy:
    case fetch_result::failed:
        break;
    }
    return failed;
}

configuration_datagrams::configuration_datagrams(node_tables& tables,
                                                 owner owned_by)
    : tables_(tables), owner_(std::move(owned_by)),
      download_(tables.incarnation),
      budget_(tables.settings.link_bits_per_second), answered_(tables.io),
      counters_(tables.metrics)
{}

bool configuration_datagrams::is_enabled() const
{
    return tables_.options.fetches_by_datagram && owner_.send;
}

// Asking.

void configuration_datagrams::start()
{
    if (is_asking_ || !is_enabled())
        return;
    is_asking_ = true;
    spawn(tables_.io, undo_on_failure(ask(), [this] { is_asking_ = false; }),
          "configuration");
}

/// The live nodes that have a newer configuration.
std::vector<mesh::part_source> configuration_datagrams::sources() const
{
    std::vector<mesh::part_source> out;
    for (const mesh::peer_record* it : tables_.peers.alive(tables_.now()))
        if (it->last.configuration > tables_.version())
            out.push_back({it->last.peer_address, it->last.configuration,
                           it->last.capacity});
    return out;
}

awaitable<void> configuration_datagrams::ask()
{
    download_.clear();
    started_ = tables_.now();
    for (;;) {
        const auto known = sources();
        if (known.empty())
            break;
        for (const auto& next :
             download_.next_questions(known, tables_.now(), tables_.random)) {
            mesh::datagram message;
            message.configuration_question = next.question;
            owner_.send(next.address, message);
            counters_.asked.add();
        }
        co_await sleep_on(answered_, download_.interval(tables_.random));
        if (is_pausing_)
            co_await sleep_on(answered_, unusable_text_pause);
        is_pausing_ = false;
    }
    download_.clear();
    is_asking_ = false;
}

void configuration_datagrams::on_part(const mesh::configuration_part& part,
                                      const std::string& from)
{
    if (!is_asking_ || is_pausing_ || part.version <= tables_.version())
        return;
    const mesh::part_effect effect =
        download_.on_part(part, from, tables_.now());
    if (effect == mesh::part_effect::complete)
        apply(from);
    if (effect >= mesh::part_effect::answered)
        answered_.cancel();
}

void configuration_datagrams::apply(const std::string& from)
{
    auto packed = download_.take();
    const std::size_t bytes = packed ? packed->size() : 0;
    fetch_result end = fetch_result::failed;
    if (packed)
        end = owner_.apply(std::move(*packed), from);
    else
        tables_.unreadable.note(
            unreadable_kind::message, from, catalog::revision(),
            {error_code::corrupt, "parts of different configurations"});
    counters_.of_result(end).add();
    is_pausing_ = end != fetch_result::done;
    if (end != fetch_result::done)
        return;
    log_event(event::news_by_datagram,
              {{"from", from},
               {"bytes", std::to_string(bytes)},
               {"questions", std::to_string(download_.questions())},
               {"ms", milliseconds_text(tables_.now() - started_)},
               {"generation", std::to_string(tables_.version().value())}});
}

// Answering.

void configuration_datagrams::on_question(
    const mesh::configuration_question& question)
{
    answer(question).add();
}

/// Returns the counter of what was done.
telemetry::counter&
configuration_datagrams::answer(const mesh::configuration_question& question)
{
    if (question.version > tables_.version())
        return counters_.unanswerable;
    const auto& peers = tables_.peers.rows();
    const auto asker = std::ranges::find_if(peers, [&](const auto& it) {
        return it.second.last.incarnation == question.incarnation;
    });
    const mesh::packed_configuration* own =
        asker == peers.end() ? nullptr : owner_.packed();
    if (own == nullptr)
        return counters_.unanswerable;
    for (mesh::configuration_part& it : mesh::answer_to(question, *own)) {
        if (!budget_.take(mesh::max_packet_bytes, tables_.now()))
            return counters_.limited;
        mesh::datagram message;
        message.configuration_part = std::move(it);
        owner_.send(asker->second.last.peer_address, message);
    }
    return counters_.answered;
}

void configuration_datagrams::on_message(const mesh::datagram& message,
                                         const std::string& from)
{
    if (!is_enabled())
        return;
    if (message.configuration_question)
        on_question(*message.configuration_question);
    if (message.configuration_part)
        on_part(*message.configuration_part, from);
}

} // namespace fennelladder::edge
