// One pass over the lines. Each event costs a few hash look-ups and leaves at
// most one small record, chunks none: of a request's chunks only how far they
// reach is kept, since they come in the order in which the caller got them.

#include "tables.hpp"

#include <utility>

namespace fennelladder::history {

namespace {

void keep_earlier(mark& kept, mark other)
{
    if (!kept.happened() || other < kept)
        kept = other;
}

/// The record of an index that may be new.
template <class Record, class Index>
Record& record_of(std::vector<Record>& records, Index index)
{
    if (records.size() <= position(index))
        records.resize(position(index) + 1);
    return records[position(index)];
}

} // namespace

void table_writer::add(line_number line, const event& it)
{
    now_ = {it.at, line};
    ++tables_.lines;
    if (it.at > tables_.last)
        tables_.last = it.at;
    node_ = tables_.node_names.index_of(it.node.str());
    keep_earlier(record_of(tables_.nodes, node_).first_seen, now_);
    std::visit([this](const auto& body) { take(body); }, it.body);
}

void table_writer::contradict(line_number line, std::string message)
{
    contradictions_.push_back({line, std::move(message)});
}

request_index table_writer::find_request(const request_id& id)
{
    const request_index index = tables_.request_names.index_of(id.str());
    keep_earlier(record_of(tables_.requests, index).first_seen, now_);
    return index;
}

request_record& table_writer::request(const request_id& id)
{
    return tables_.requests[position(find_request(id))];
}

key_index table_writer::find_key(const request_key& key)
{
    const key_index index = tables_.key_names.index_of(key.str());
    record_of(tables_.keys, index);
    return index;
}

node_record& table_writer::serving_node()
{
    node_record& node = tables_.nodes[position(node_)];
    node.serves = true;
    return node;
}

void table_writer::take(const prepaid& it)
{
    const auto budget = tables_.budget_names.index_of(it.budget.str());
    const auto topup = tables_.topup_names.index_of(it.topup.str());
    topup_record& kept = record_of(tables_.topups, topup);
    if (!kept.when.happened())
        kept = {now_, budget, it.amount};
    else if (kept.budget != budget || kept.amount != it.amount)
        contradict(now_.line, "top-up '" + it.topup.str() +
                                  "' differs from the one of line " +
                                  std::to_string(kept.when.line));
    keep_earlier(kept.when, now_);
}

void table_writer::take(const sent& it)
{
    request_record& request = this->request(it.request);
    if (request.sent.happened()) {
        contradict(now_.line, "request '" + it.request.str() +
                                  "' was sent before, on line " +
                                  std::to_string(request.sent.line));
        return;
    }
    request.sent = now_;
    request.node = node_;
    request.key = find_key(it.key);
    request.kind = tables_.kind_names.index_of(it.kind.str());
    request.caller = tables_.caller_names.index_of(it.caller.str());
    const auto team = tables_.team_names.index_of(it.team.str());
    key_record& key = tables_.keys[position(request.key)];
    if (!key.sent.happened()) {
        key = {now_, team, it.idempotent};
        return;
    }
    if (key.team != team)
        contradict(now_.line, "key '" + it.key.str() +
                                  "' had another team on line " +
                                  std::to_string(key.sent.line));
    if (key.idempotent != it.idempotent)
        contradict(now_.line, "key '" + it.key.str() +
                                  "' had another idempotency on line " +
                                  std::to_string(key.sent.line));
}

void table_writer::take(const dispatched& it)
{
    serving_node();
    const request_index request = find_request(it.request);
    keep_earlier(tables_.requests[position(request)].first_dispatch, now_);
    dispatch_record record;
    record.when = now_;
    record.key = find_key(it.key);
    record.target = tables_.target_names.index_of(it.target.str());
    record.attempt = it.attempt;
    record.request = request;
    record.node = node_;
    tables_.dispatches.push_back(record);
}

void table_writer::take(const executed& it)
{
    tables_.executions.push_back(
        {now_, find_key(it.key), tables_.target_names.index_of(it.target.str()),
         it.attempt});
}

void table_writer::take_receipt(request_index index, const caller_id& caller)
{
    const auto got = tables_.caller_names.index_of(caller.str());
    const request_record& request = tables_.requests[position(index)];
    if (!request.sent.happened() || request.caller != got)
        tables_.receipts.push_back({index, got, now_.line});
}

void table_writer::take(const chunk& it)
{
    const request_index index = find_request(it.request);
    take_receipt(index, it.caller);
    request_record& request = tables_.requests[position(index)];
    if (it.offset != request.received_up_to) {
        const bool gap = it.offset > request.received_up_to;
        tables_.answer_faults.push_back({index, request.last_chunk.line,
                                         now_.line,
                                         gap ? "a gap" : "an overlap"});
        request.chunks_fit = false;
    }
    const std::uint64_t end = it.offset + it.bytes;
    if (end > request.received_up_to)
        request.received_up_to = end;
    request.last_chunk = now_;
    request.digest = it.digest;
    ++request.chunks;
}

void table_writer::take(const answered& it)
{
    const request_index index = find_request(it.request);
    take_receipt(index, it.caller);
    request_record& request = tables_.requests[position(index)];
    if (request.answered.happened()) {
        tables_.answer_faults.push_back(
            {index, request.answered.line, now_.line, "a second answer"});
        return;
    }
    request.answered = now_;
    request.length = it.length;
    request.answer_digest = it.digest;
}

void table_writer::take(const not_run& it)
{
    keep_earlier(request(it.request).not_run, now_);
}

void table_writer::take(const unknown& it)
{
    keep_earlier(request(it.request).unknown, now_);
}

void table_writer::take(const billed& it)
{
    tables_.bills.push_back(
        {now_, tables_.bill_names.index_of(it.bill.str()), find_key(it.key),
         tables_.budget_names.index_of(it.budget.str()), it.amount});
}

void table_writer::take(const refused& it)
{
    keep_earlier(request(it.request).refused, now_);
}

void table_writer::take(const target_leaving& it)
{
    const auto target = tables_.target_names.index_of(it.target.str());
    keep_earlier(record_of(tables_.leaving, target), now_);
}

void table_writer::take(const config_accepted& it)
{
    tables_.accepted.push_back({now_, it.generation, it.hash});
}

void table_writer::take(const config_in_force& it)
{
    serving_node().in_force.push_back({now_, it.generation, it.hash});
}

void table_writer::take(const shutdown_begin&)
{
    serving_node().shutdown_begins.push_back(now_);
}

void table_writer::take(const shutdown_end&)
{
    serving_node().shutdown_ends.push_back(now_);
}

void table_writer::take(const died&)
{
    tables_.nodes[position(node_)].deaths.push_back(now_);
}

void table_writer::finish()
{
    // Targets seen after the last announcement have no element yet.
    tables_.leaving.resize(tables_.target_names.size());
    for (std::size_t n = 0; n < tables_.requests.size(); ++n) {
        const request_record& it = tables_.requests[n];
        const auto index = static_cast<request_index>(n);
        if (!it.sent.happened())
            contradict(it.first_seen.line,
                       "request '" + tables_.request_names.name(index) +
                           "' is sent nowhere in this history");
    }
    for (const dispatch_record& it : tables_.dispatches) {
        const request_record& request = tables_.at(it.request);
        if (request.sent.happened() && request.key != it.key)
            contradict(it.when.line,
                       "the key of request '" +
                           tables_.request_names.name(it.request) +
                           "' is another on line " +
                           std::to_string(request.sent.line));
    }
    for (const run_record& it : tables_.executions) {
        if (!tables_.at(it.key).sent.happened())
            contradict(it.when.line, "key '" + tables_.key_names.name(it.key) +
                                         "' is sent nowhere in this history");
    }
}

} // namespace fennelladder::history
