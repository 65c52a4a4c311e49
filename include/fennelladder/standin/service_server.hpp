// A stand-in for a plain service, over HTTP: POST /v1/call/NAME.
//
//     service_server shop({.name = "shop",
//                          .calls = {{.name = "loaner_return"}}});
//     shop.set_faults({.lose_replies = true}); // runs, never answers
//     shop.executions_of(key);
//
// Answers are those of service_answer(). Nothing keeps a call from running
// twice but the one who calls.

#ifndef FENNELLADDER_STANDIN_SERVICE_SERVER_HPP
#define FENNELLADDER_STANDIN_SERVICE_SERVER_HPP

#include "fennelladder/base/time.hpp"
#include "fennelladder/standin/execution.hpp"

#include <memory>
#include <string>
#include <vector>

namespace fennelladder::standin {

/// A call that a service knows.
struct service_call_options
{
    std::string name;
    duration latency = milliseconds(1);
};

struct service_server_options
{
    std::string ip = "127.0.0.1";
    int port = 0;      ///< 0 picks one, and keeps it over restarts.
    int threads = 128; ///< Connections at once; kept idle ones count.
    std::string name = "service";
    std::vector<service_call_options> calls; ///< Empty: any name is known.
    execution_observer on_execution;
};

/// What goes wrong; the default is nothing.
struct service_faults
{
    /// Calls run, and their connection breaks without an answer.
    bool lose_replies = false;
    /// Calls are turned away, with proof that they didn't run.
    bool reject = false;
};

/// Thread safe.
class service_server
{
public:
    explicit service_server(service_server_options options);
    ~service_server();

    /// False: crashed, or the port could not be had.
    bool started() const;
    std::string url() const;
    int port() const;

    void set_faults(service_faults faults);
    void set_leaving(bool leaving);

    /// Connections open now go silent for good; new ones work.
    void silence_open_connections();

    /// Ends it as a crash does. restart() serves again.
    void crash();
    void restart();

    std::vector<execution> executions() const;

    /// How often calls of that key ran.
    std::size_t executions_of(const request_key& key) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace fennelladder::standin

#endif
