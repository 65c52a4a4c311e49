#include "fennelladder/edge/request_driver.hpp"

#include "fennelladder/telemetry/log.hpp"
#include "request_run.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// Targets stop at the deadline that they are given and send a response that
/// says so. The node waits this long for it after the deadline.
constexpr duration deadline_response_grace = milliseconds(60);

/// Urgency runs from 0, the most urgent, to this value.
constexpr int lowest_urgency = 9;

/// A caller that doesn't read its refusal is disconnected after this time.
constexpr duration max_refusal_time = seconds(2);

/// Bytes between the name and the value of a header line, and after it.
constexpr std::size_t header_line_extra = 4;

/// Bytes that the caller sent, as far as they were kept.
std::size_t size_of(const caller_request& request)
{
    std::size_t out = request.method.size() + request.path.size() +
                      request.body_text().size();
    for (const auto& it : request.fields)
        out += it.name_string().size() + it.value().size() + header_line_extra;
    for (const adapter::long_field& it : request.long_fields)
        out += it.name.size() + it.value.size() + header_line_extra;
    return out;
}

} // namespace

duration request_run::total_time() const
{
    duration out = route_->timeout;
    if (request_.header_values.timeout)
        out = std::min(out, *request_.header_values.timeout);
    return dispatch::time_at_node(out, queueing_time_,
                                  request_.first_on_connection);
}

duration request_run::time_left() const
{
    return request_.arrived + total_time() - tables_.now();
}

/// The team's urgency, if set, takes precedence over the route's; 0 is the most
/// urgent.
int request_run::urgency() const
{
    const int out = team_ && team_->urgency ? *team_->urgency : route_->urgency;
    return std::clamp(out, 0, lowest_urgency);
}

awaitable<void> request_run::run(const std::optional<refusal>& decided)
{
    auto refused = find_route();
    if (!refused && decided)
        refused = check_prepaid();
    if (refused || decided)
        cancellation_->set_deadline(tables_.now() + max_refusal_time);
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    if (decided) {
        co_await send_refusal(*decided);
        co_return;
    }
    cancellation_->set_deadline(request_.arrived + total_time() +
                                deadline_response_grace);
    refused = check_time_left_here();
    if (!refused)
        refused = co_await find_version();
    if (!refused)
        refused = co_await reserve_tokens();
    if (refused) {
        co_await refuse(*refused);
        co_return;
    }
    if (cancellation_->stopped() == stop_reason::caller_left) {
        settle();
        log_end(telemetry::event::caller_left, "caller_left",
                "before any attempt");
        co_return;
    }
    co_await run_attempts();
}

request_driver::request_driver(node_tables& tables, token_allocator& allocator,
                               stream_origin_exchange& origins,
                               quarantine_exchange& quarantine)
    : tables_(tables), allocator_(allocator), origins_(origins),
      quarantine_(quarantine), prober_(tables, quarantine)
{
    quarantine_.set_death_listener(
        [this](const catalog::target_process& target) {
            prober_.on_reported_death(target);
        });
}

awaitable<void> request_driver::serve(const caller_request& request,
                                      response_writer& reply,
                                      request_cancellation_ptr cancellation,
                                      head_decision decided)
{
    tables_.link.add_received(size_of(request));
    reply.count_on(tables_.link);
    request_run run(*this, request, reply, std::move(cancellation));
    const std::function<void()> undo = [&run] { run.abandon(); };
    awaitable<void> work = run.run(decided.refused);
    co_await undo_on_failure(std::move(work), undo);
    if (!run.was_served())
        co_return;
    // The request comes in and goes out again, and so does its answer.
    const std::uint64_t each_way = decided.bytes + reply.bytes_sent();
    tables_.admission.note_served(tables_.now(),
                                  {decided.bytes, each_way, each_way});
}

std::optional<refusal> request_driver::check_head(const caller_request& head,
                                                  response_writer& reply,
                                                  std::uint64_t bytes)
{
    return request_run(*this, head, reply, nullptr).check_head(bytes);
}

awaitable<void> request_driver::refuse(const caller_request& head,
                                       response_writer& reply,
                                       const refusal& why)
{
    request_run run(
        *this, head, reply,
        std::make_shared<request_cancellation>(tables_.io, tables_.time));
    co_await run.refuse_at_head(why);
}

} // namespace fennelladder::edge
