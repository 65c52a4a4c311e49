// The callers' protocol: which path does what. docs/API.md describes it.

#ifndef FENNELLADDER_LIBS_NODE_CALLER_API_HPP
#define FENNELLADDER_LIBS_NODE_CALLER_API_HPP

#include "fennelladder/http/client.hpp"
#include "fennelladder/http/server.hpp"
#include "fennelladder/telemetry/service_level.hpp"
#include "request_runner.hpp"

#include <atomic>
#include <optional>

namespace fennelladder::node {

/// Thread safe.
class caller_api
{
public:
    /// All references must outlive this.
    caller_api(run_tools tools, configuration_service& config,
               member_service& members, http::client& connections,
               telemetry::metrics& metrics,
               telemetry::service_level_meter& levels, std::uint64_t key_seed);

    /// Serves one request of a caller.
    void serve(http::exchange& it);

    /// Requests of callers being carried.
    int active() const { return active_.load(); }

private:
    void complete(http::exchange& it);
    void call(http::exchange& it);
    void entry(http::exchange& it);
    void budget(http::exchange& it);
    void look_up(http::exchange& it);
    void health(http::exchange& it);

    bool ready(http::exchange& it, const gateway::call_head& head);
    std::optional<runnable> check(const gateway::call_head& head,
                                  const manifest_pointer& config,
                                  findings& found);
    bool check_completion(const gateway::completion_call& call,
                          const manifest_pointer& config, runnable& what,
                          findings& found);
    bool check_call(const gateway::service_call& call,
                    const manifest_pointer& config, runnable& what,
                    findings& found);
    void carry(http::exchange& it, runnable what,
               const gateway::answer_options& form, std::string_view body);
    void run_here(http::exchange& it, runnable& what,
                  const gateway::answer_options& form, std::string_view body);
    void join(const request::admission& admitted, gateway::answer_writer& out,
              const runnable& what);
    bool forward(http::exchange& it, const runnable& what,
                 const incarnation_id& origin, std::string_view body);
    void answer_from_journal(http::exchange& it, const runnable& what,
                             const incarnation_id& origin);
    /// How the pieces of an answer came, for the service levels.
    struct answer_pace
    {
        std::optional<instant> first;
        instant last;
        duration longest_gap{};

        void on_piece(instant now);
    };

    void count(const runnable& what, const request::outcome_reply& reply,
               const answer_pace& pace);
    void count_service_level(const runnable& what,
                             const request::outcome_reply& reply,
                             const answer_pace& pace, instant now);
    void show_metrics(http::exchange& it);
    std::string origin_now() const;

    run_tools tools_;
    configuration_service& config_;
    member_service& members_;
    http::client& connections_;
    telemetry::metrics& metrics_;
    telemetry::service_level_meter& levels_;
    const std::uint64_t key_seed_;
    std::atomic<std::uint64_t> next_key_{1};
    std::atomic<int> active_{0};
};

} // namespace fennelladder::node

#endif
