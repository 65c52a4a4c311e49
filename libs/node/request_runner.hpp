// Carries one request from admission to bill, on the worker that took it.

#ifndef FENNELLADDER_LIBS_NODE_REQUEST_RUNNER_HPP
#define FENNELLADDER_LIBS_NODE_REQUEST_RUNNER_HPP

#include "fennelladder/gateway/answer_writer.hpp"
#include "fennelladder/gateway/calls.hpp"
#include "fennelladder/history/event.hpp"
#include "fennelladder/request/origin.hpp"
#include "fennelladder/request/request_machine.hpp"
#include "fennelladder/request/request_table.hpp"
#include "fennelladder/request/retry_budget.hpp"
#include "fennelladder/request/suspect_list.hpp"
#include "fennelladder/routing/router.hpp"
#include "fennelladder/telemetry/metrics.hpp"
#include "ledger_service.hpp"
#include "target_service.hpp"

#include <atomic>
#include <functional>
#include <memory>

namespace fennelladder::node {

/// A request that may run here: checked against the configuration.
struct runnable
{
    gateway::call_head head;
    request::arrival arrival;
    routing::route_request route;
    request::request_traits traits;
    instant received;
    instant deadline;

    // Of a completion.
    model_id model;
    model_version version;
    adapter_id adapter;
    std::string prompt;

    // Of a service call.
    bool is_call = false;
    service_id service;
    std::string call;
    std::string body;
    tokens cost;
};

/// What a run brought besides its reply.
struct run_result
{
    gateway::token_usage usage;
    int status = 200;         ///< Of a service's answer.
    std::string content_type; ///< Likewise.
};

/// The parts that a run needs; all outlive it.
struct run_tools
{
    const node_options& options;
    const incarnation_id& self;
    const clock& time;
    ledger_service& ledger;
    target_service& targets;
    routing::router& routes;
    request::request_table& table;
    request::suspect_list& suspects;
    request::retry_budget& retries;
    const std::atomic<bool>& stopping;
    std::function<void()> tell_suspects; ///< Pushes news of them to all nodes.
};

/// Receives the answer's text; false once the caller has gone.
using text_receiver = std::function<bool(std::string_view)>;

/// Runs `what`, which request_table admitted with `run`, and finishes it in
/// the table. `send` gets each piece of the answer. Called on a worker;
/// blocks.
class request_run
{
public:
    request_run(const run_tools& tools, const runnable& what,
                const request::admission& admitted, text_receiver send);

    /// To the end. The reply is that of the table.
    request::outcome_reply run();

    const run_result& result() const { return result_; }

private:
    using event = request::event;
    using event_kind = request::event_kind;

    void report(const event& it);
    event perform(const request::action& what);
    event reserve(tokens amount);
    event claim();
    event check_suspect();
    event choose_target(const request::action& what);
    event dispatch(const request::action& what);
    event complete(const request::action& what, target_pointer& at);
    bool make_way(target_pointer& at);
    event call(const request::action& what, known_target& at);
    event ended(target::dispatch_outcome outcome, bool silent,
                duration retry_after, known_target& at);
    void relay(std::string_view text, tokens output);
    bool must_stop();
    void give_back_target(routing::attempt_outcome how);
    void settle(const request::conclusion& end);

    run_tools tools_;
    const runnable& what_;
    std::shared_ptr<request::answer_stream> stream_;
    text_receiver send_;
    request::request_machine machine_;
    random_source random_;
    run_result result_;
    budget::reservation held_;
    request::run_permit permit_;
    bool permitted_ = false;
    routing::ticket_id ticket_;
    bool granted_ = false;
    std::vector<target_id> avoid_;
    instant dispatched_at_;
    duration first_token_{};
    tokens relayed_;
    bool sending_ = true;
    bool left_ = false;
    history::answer_digest digest_;
};

} // namespace fennelladder::node

#endif
