// The state of one request while request_driver serves it.
//
//     request_run run(driver, request, reply, cancellation);
//     co_await run.run();
//
// Its functions are in three files, by what they do: admission (the route, the
// team, the version of a stream, tokens), attempts at targets, and the end (the
// final answer, settling tokens, logging).

#ifndef FENNELLADDER_EDGE_REQUEST_RUN_HPP
#define FENNELLADDER_EDGE_REQUEST_RUN_HPP

#include "fennelladder/edge/request_driver.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::edge {

/// Reasons of refusals.
inline constexpr const char* crashes_targets = "it crashes targets";
inline constexpr const char* may_crash_targets = "it may crash targets";
inline constexpr const char* node_leaves = "the node leaves";
inline constexpr const char* over_capacity = "the host is over its capacity";

/// Not thread safe.
class request_run
{
public:
    request_run(request_driver& driver, const caller_request& request,
                response_writer& reply, request_cancellation_ptr cancellation)
        : driver_(driver), tables_(driver.tables_), request_(request),
          reply_(reply), cancellation_(std::move(cancellation)),
          config_(tables_.config), queueing_time_(tables_.queueing_delay())
    {}

    /// `decided` on the head refuses the request unless it has a definite
    /// answer.
    awaitable<void> run(const std::optional<refusal>& decided);

    /// Decides about a request of which only the head has been read.
    std::optional<refusal> check_head(std::uint64_t bytes);

    /// Answers a request that was refused on its head.
    awaitable<void> refuse_at_head(const refusal& why);

    /// Gives back what an unexpected error left: a lease, and tokens, of which
    /// all count as spent.
    void abandon();

    /// Whether the caller got a target's whole answer. What is given up or
    /// refused later shows nothing of what the host can do.
    bool was_served() const { return served_; }

private:
    std::optional<refusal> find_route();
    std::optional<refusal> find_route_and_team();
    std::optional<refusal> check_prepaid() const;
    std::optional<refusal> is_over_capacity(std::uint64_t bytes);
    awaitable<void> send_refusal(const refusal& why);
    void set_marks();
    std::optional<refusal> check_condemned();
    std::optional<refusal> check_time_left_here() const;
    awaitable<std::optional<refusal>> find_version();
    awaitable<dispatch::resumption> resumption_of(found_origin& found);
    dispatch::stream_key stream_key_of(const std::string& request) const;
    dispatch::stream_key content_key() const;
    void note_beginning(const dispatch::choice& target);
    awaitable<std::optional<refusal>> reserve_tokens();
    awaitable<void> run_attempts();
    awaitable<bool> get_leave(std::optional<dispatch::choice>& target);
    void end_leave(const attempt_outcome& got, const dispatch::choice& target);
    bool needs_verdict(const dispatch::choice& target) const;
    void log_quarantine(const dispatch::quarantine::worst_mark& worst,
                        std::string_view decision, const host_id& giver);
    awaitable<attempt_outcome> run_attempt_at(const dispatch::choice& target);
    void record_attempt(const attempt_outcome& got,
                        const dispatch::choice& target);
    void report_to_prober(const attempt_outcome& got,
                          const dispatch::choice& target);
    awaitable<void> respond(dispatch::next_action action,
                            const attempt_outcome& last);
    awaitable<void> refuse(const refusal& why);
    void settle();
    void log_end(int number, std::string_view outcome, std::string_view reason);
    dispatch::routing_request routing_request() const;
    adapter::forwarding_headers
    forwarding_for(const dispatch::choice& target) const;
    duration time_left() const;
    duration total_time() const;
    int urgency() const;
    const service_id& choose_service();
    void use_service(const service_id& service);
    bool may_use_service(const service_id& service) const;
    std::optional<dispatch::choice> choose_target();
    bool retry_is_possible() const;
    bool may_abandon_idle(const dispatch::choice& idle);
    bool may_send() const;
    bool take_retry();
    std::string_view no_target_reason() const;
    std::optional<duration> retry_after();
    tokens max_cost() const;

    request_driver& driver_;
    node_tables& tables_;
    const caller_request& request_;
    response_writer& reply_;
    request_cancellation_ptr cancellation_;
    std::shared_ptr<const catalog::configuration> config_;
    const duration queueing_time_; ///< Of the link, when the request was read.
    const catalog::route* route_ = nullptr;
    const catalog::team* team_ = nullptr;
    service_id service_;
    const catalog::engine_traits* engine_ = nullptr;
    dispatch::request_fingerprint fingerprint_;
    /// Under which crashes of targets are recorded.
    std::vector<dispatch::crash_mark> marks_;
    run_permit permit_; ///< For the present attempt.
    /// Retry-After if the request may not run now because of its marks.
    std::optional<duration> quarantine_wait_;
    std::optional<tokens> reserved_;
    tokens used_;
    dispatch::request_state state_;
    event_splitter events_;
    std::vector<catalog::target_process> tried_targets_;
    target_id last_target_;
    catalog::software_version last_version_; ///< Of the last target.
    /// Position of the list of targets that the last choice was made from.
    catalog::revision last_list_;
    host_id last_relay_; ///< Of the last attempt; empty if it was direct.
    body_framing last_framing_ = body_framing::unknown;
    /// Version that began the stream; unset: no part of it is known to exist.
    std::optional<catalog::software_version> software_;
    /// Version that was recorded last as the one that begins the stream.
    std::optional<catalog::software_version> recorded_;
    std::uint32_t beginnings_ = 0; ///< Records made.
    bool served_ = false;
    bool retry_taken_ = false; ///< For the attempt after an idle one.
    instant attempt_began_;
    bool prompt_may_have_been_read_ = false; ///< Then it is charged.
    std::optional<instant> last_sent_at_;
};

/// What a caller states, for the log: as long as any proper id.
std::string shortened(const std::string& text);

} // namespace fennelladder::edge

#endif
