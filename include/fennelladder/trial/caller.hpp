// A caller of the fleet that follows the documented rules: asks which address
// to use, goes on to the next one when it can't connect, keeps key and origin
// in every retry, and believes no part to be the whole.
//
//     caller one({.time = time, .connections = connections, ...});
//     call_outcome end = one.perform(wanted);

#ifndef FENNELLADDER_TRIAL_CALLER_HPP
#define FENNELLADDER_TRIAL_CALLER_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/history/recorder.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/request/outcome.hpp"

#include <functional>
#include <string>
#include <vector>

namespace fennelladder::trial {

/// What a caller wants, whatever it takes.
struct wanted_call
{
    team_id team;
    budget_id budget;
    caller_kind kind;
    request_key key;

    // A completion if `model` is set, else a call of a service.
    model_id model;
    std::string prompt;
    std::int64_t max_output = 0;
    service_id service;
    std::string call;
    std::string body;
    bool repeatable = true;

    duration patience = seconds(40); ///< Then the caller gives up.
};

/// How it ended for the caller.
struct call_outcome
{
    request::outcome result = request::outcome::unknown;
    std::string code;
    std::string text; ///< The whole answer, if answered.
    int asks = 0;
    int refusals = 0;       ///< Asks turned away for want of tokens.
    int cuts = 0;           ///< Streams that ended without their end.
    bool short_cut = false; ///< The caller was left with a part only.
    duration first_byte{};  ///< From the first ask to the first byte.
    duration total{};
    request_key key; ///< The last one used.
};

/// What a caller needs; all outlive it.
struct caller_tools
{
    const clock& time;
    http::client& connections;
    history::recorder* history = nullptr;
    std::function<std::vector<std::string>()> addresses; ///< Of all nodes.
    data_center_id data_center;
    caller_id name;
    std::uint64_t seed = 0;
};

/// Not thread safe: one thread is one caller.
class caller
{
public:
    explicit caller(caller_tools tools);

    call_outcome perform(const wanted_call& wanted);

private:
    struct entry_row
    {
        std::string address;
        std::string origin;
    };

    enum class ask_end : std::uint8_t
    {
        answered,
        not_run,
        unknown,
        not_sent,
        cut
    };

    struct ask_result
    {
        ask_end how = ask_end::unknown;
        std::string code;
        duration retry_after{};
        std::string text;
        std::string digest; ///< As the source says.
        instant first_byte;
        bool got_bytes = false;
    };

    bool refresh_entry();
    ask_result ask(const wanted_call& wanted, const request_key& key,
                   const entry_row& to, const std::string& origin);
    ask_result read_stream(const http::request& what, const wanted_call& wanted,
                           const request_id& request);
    ask_result read_whole(const http::request& what, const wanted_call& wanted,
                          const request_id& request);
    void record_end(const ask_result& end, const request_id& request,
                    const history::node_id& node);
    void note_chunk(ask_result& so_far, const request_id& request,
                    const std::string& piece);

    caller_tools tools_;
    random_source random_;
    std::vector<entry_row> entry_;
    instant entry_until_;
    std::uint64_t asks_ = 0;
    std::uint64_t new_keys_ = 0;
    history::answer_digest seen_;
};

} // namespace fennelladder::trial

#endif
