// What callers got. Gaps and overlaps were seen while the lines were read;
// the rest compares a request's record with its end. Linear, but for sorting
// the answers by key.

#include "rules.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace fennelladder::history {

namespace {

bool is_running(std::string_view digest)
{
    return digest.starts_with("run:");
}

std::string request_text(const history_tables& tables, request_index index)
{
    return "request '" + tables.request_names.name(index) + "'";
}

/// False when two digests of the same bytes differ; true when they agree or
/// can't be compared.
bool digests_agree(const std::string& a, const std::string& b)
{
    return is_running(a) != is_running(b) || a == b;
}

/// The last chunk's digest says something about the whole answer.
bool chunk_covers_whole(const request_record& it)
{
    return it.chunks > 0 && (is_running(it.digest) || it.chunks == 1);
}

void check_end_of_answer(const history_tables& tables, request_index index,
                         violation_log& log)
{
    const request_record& it = tables.at(index);
    if (!it.answered.happened())
        return;
    const std::string text = request_text(tables, index);
    const std::vector<line_number> lines{it.last_chunk.line, it.answered.line};
    if (it.received_up_to != it.length)
        log.add(rule::whole_answer,
                text + " got " + std::to_string(it.received_up_to) + " of " +
                    std::to_string(it.length) + " bytes",
                lines);
    else if (it.chunks_fit && chunk_covers_whole(it) &&
             !digests_agree(it.digest, it.answer_digest))
        log.add(rule::whole_answer,
                text + " got other bytes than its source sent", lines);
}

struct answer_of_key
{
    key_index key{};
    request_index request{};
};

/// A key that ran once has one answer, whichever request fetches it.
void check_answers_of_keys(const history_tables& tables, violation_log& log)
{
    std::vector<std::uint32_t> runs(tables.keys.size());
    for (const run_record& it : tables.executions)
        ++runs[position(it.key)];
    std::vector<answer_of_key> answers;
    for (std::size_t n = 0; n < tables.requests.size(); ++n) {
        const request_record& it = tables.requests[n];
        if (it.answered.happened() && runs[position(it.key)] == 1)
            answers.push_back({it.key, static_cast<request_index>(n)});
    }
    std::ranges::sort(answers, {}, [&tables](const answer_of_key& it) {
        return std::tuple(it.key, tables.at(it.request).answered);
    });
    const auto same = [](const answer_of_key& a, const answer_of_key& b) {
        return a.key == b.key;
    };
    const auto check = [&](auto first, auto last) {
        const request_record& one = tables.at(first->request);
        for (auto it = first + 1; it != last; ++it) {
            const request_record& other = tables.at(it->request);
            if (one.length == other.length &&
                digests_agree(one.answer_digest, other.answer_digest))
                continue;
            log.add(rule::whole_answer,
                    "key '" + tables.key_names.name(first->key) +
                        "' ran once and has two different answers",
                    {one.answered.line, other.answered.line});
        }
    };
    for_each_group(answers, same, check);
}

} // namespace

void check_whole_answer(const history_tables& tables, const check_options&,
                        violation_log& log)
{
    for (const answer_fault& it : tables.answer_faults)
        log.add(rule::whole_answer,
                request_text(tables, it.request) + " has " +
                    std::string(it.what),
                {it.earlier, it.later});
    for (std::size_t n = 0; n < tables.requests.size(); ++n)
        check_end_of_answer(tables, static_cast<request_index>(n), log);
    check_answers_of_keys(tables, log);
}

void check_own_answer(const history_tables& tables, const check_options&,
                      violation_log& log)
{
    for (const receipt& it : tables.receipts) {
        const request_record& request = tables.at(it.request);
        if (request.caller != it.caller)
            log.add(rule::own_answer,
                    "caller '" + tables.caller_names.name(it.caller) +
                        "' got an answer to " +
                        request_text(tables, it.request) + " of caller '" +
                        tables.caller_names.name(request.caller) + "'",
                    {request.sent.line, it.line});
    }
}

namespace {

/// A node that had a request in hand, and from when on.
struct handling
{
    request_index request{};
    node_index node{};
    mark since;
};

/// All (request, node) of requests for which `wanted` holds, by request.
template <class Wanted>
std::vector<handling> handlings(const history_tables& tables, Wanted wanted)
{
    std::vector<handling> all;
    for (std::size_t n = 0; n < tables.requests.size(); ++n) {
        const request_record& it = tables.requests[n];
        if (wanted(it))
            all.push_back({static_cast<request_index>(n), it.node, it.sent});
    }
    for (const dispatch_record& it : tables.dispatches) {
        if (wanted(tables.at(it.request)))
            all.push_back({it.request, it.node, it.when});
    }
    std::ranges::sort(all, {}, [](const handling& it) {
        return std::tuple(it.request, it.node, it.since);
    });
    return all;
}

bool happened_between(const std::vector<mark>& marks, instant from, instant to)
{
    return std::ranges::any_of(marks, [from, to](const mark& it) {
        return it.at >= from && it.at <= to;
    });
}

} // namespace

void check_no_loss(const history_tables& tables, const check_options&,
                   violation_log& log)
{
    const auto open = [](const request_record& it) {
        return !it.answered.happened() && !it.told_not_run() &&
               !it.unknown.happened();
    };
    const std::vector<handling> all = handlings(tables, open);
    const auto same = [](const handling& a, const handling& b) {
        return a.request == b.request;
    };
    const auto check = [&](auto first, auto last) {
        const mark sent = tables.at(first->request).sent;
        const bool excused = std::any_of(first, last, [&](const handling& it) {
            return happened_between(tables.at(it.node).deaths, sent.at,
                                    tables.last);
        });
        if (!excused)
            log.add(rule::no_loss,
                    request_text(tables, first->request) + " has no outcome",
                    {sent.line});
    };
    for_each_group(all, same, check);
}

namespace {

/// The dispatch that each request had last; line 0: none.
std::vector<dispatch_record> last_dispatches(const history_tables& tables)
{
    std::vector<dispatch_record> last(tables.requests.size());
    for (const dispatch_record& it : tables.dispatches) {
        dispatch_record& kept = last[position(it.request)];
        if (kept.when < it.when)
            kept = it;
    }
    return last;
}

struct shutdown_span
{
    mark begin;
    mark end; ///< Not happened: the history ends before it does.
};

/// A node's shutdowns; ends that no beginning precedes are passed over.
std::vector<shutdown_span> shutdowns(const node_record& node)
{
    std::vector<mark> begins = node.shutdown_begins;
    std::vector<mark> ends = node.shutdown_ends;
    std::ranges::sort(begins);
    std::ranges::sort(ends);
    std::vector<shutdown_span> spans;
    for (const mark& begin : begins) {
        const auto end = std::ranges::upper_bound(ends, begin);
        spans.push_back({begin, end == ends.end() ? mark() : *end});
    }
    return spans;
}

/// Whether a shutdown was on while the node had the request in hand.
bool overlaps(const shutdown_span& span, const handling& it,
              const request_record& request)
{
    const bool ended = span.end.happened() && span.end < it.since;
    const bool over =
        request.unknown.happened() && request.unknown < span.begin;
    return !ended && !over;
}

bool target_died(const history_tables& tables, const dispatch_record& last,
                 const request_record& request)
{
    if (!last.when.happened())
        return false;
    const instant until =
        request.unknown.happened() ? request.unknown.at : tables.last;
    const std::string& target = tables.target_names.name(last.target);
    const auto node = tables.node_names.find(target);
    return node &&
           happened_between(tables.at(*node).deaths, last.when.at, until);
}

} // namespace

void check_no_cut_on_shutdown(const history_tables& tables,
                              const check_options&, violation_log& log)
{
    const auto unanswered = [](const request_record& it) {
        return !it.answered.happened() && !it.told_not_run();
    };
    const std::vector<dispatch_record> last = last_dispatches(tables);
    const auto check = [&](const handling& it) {
        const request_record& request = tables.at(it.request);
        const node_record& node = tables.at(it.node);
        for (const shutdown_span& span : shutdowns(node)) {
            const bool judged =
                span.end.happened() || request.unknown.happened();
            const instant until =
                span.end.happened() ? span.end.at : tables.last;
            if (!judged || !overlaps(span, it, request) ||
                happened_between(node.deaths, span.begin.at, until) ||
                target_died(tables, last[position(it.request)], request))
                continue;
            log.add(rule::no_cut_on_shutdown,
                    request_text(tables, it.request) +
                        " was cut by the shutdown of node '" +
                        tables.node_names.name(it.node) + "'",
                    {it.since.line, span.begin.line, span.end.line,
                     request.unknown.line});
            return;
        }
    };
    const auto same = [](const handling& a, const handling& b) {
        return a.request == b.request && a.node == b.node;
    };
    for_each_group(handlings(tables, unanswered), same,
                   [&check](auto first, auto) { check(*first); });
}

} // namespace fennelladder::history
