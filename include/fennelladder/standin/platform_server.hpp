// A stand-in for the platform: object API and host list over HTTP.
//
//     platform_server platform({});
//     platform.set_hosts({...});
//     platform.set_faults({.outage = true});
//     platform.url(); // "http://127.0.0.1:PORT"
//
// The protocol is the one of fennelladder/platform/object_protocol.hpp. For
// operators of a stand-in in a process of its own there is in addition:
//
//     PUT  /v1/control/hosts    body: a host page, replaces the list
//     PUT  /v1/control/faults   body: {"outage", "refused", "lost_reply",
//                               "lost_request", "delay_ms", "silent_watches"}
//     POST /v1/control/silence  open connections go silent for good
//     GET  /v1/control/calls    counts of calls

#ifndef FENNELLADDER_STANDIN_PLATFORM_SERVER_HPP
#define FENNELLADDER_STANDIN_PLATFORM_SERVER_HPP

#include "fennelladder/platform/fault_object_store.hpp"
#include "fennelladder/platform/host_list.hpp"
#include "fennelladder/platform/memory_object_store.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fennelladder::standin {

struct platform_server_options
{
    std::string ip = "127.0.0.1";
    int port = 0;      ///< 0 picks one.
    int threads = 256; ///< A waiting watch holds one.
    std::uint64_t seed = 1;
    /// The list of hosts that callers see is this old.
    duration host_list_lag = duration(0);
};

/// Calls so far, by what they cost the platform.
struct platform_call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t bytes_in = 0;  ///< Bodies received.
    std::uint64_t bytes_out = 0; ///< Bodies sent.
};

/// Thread safe.
class platform_server
{
public:
    explicit platform_server(const platform_server_options& options);
    ~platform_server();

    /// False: the port could not be had.
    bool started() const;
    std::string url() const;
    int port() const;

    /// The objects themselves, without faults.
    platform::object_store& objects();

    void set_hosts(std::vector<platform::listed_host> hosts);
    void set_faults(platform::store_faults faults);

    /// Connections open now go silent for good; new ones work.
    void silence_open_connections();

    /// Ends it as a crash does. Objects are kept; restart() serves again.
    void crash();
    void restart();

    platform_call_counts calls() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace fennelladder::standin

#endif
