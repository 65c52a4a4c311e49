// A stand-in for a model engine, over HTTP.
//
//     engine_server engine({.name = "bench-1"});
//     engine.url();
//     engine.crash();                      // streams break, nobody listens
//     engine.restart();
//     engine.silence_open_connections();   // these hang, new ones work
//
// The protocol is described in docs/notes/target-protocol.md. Answers are
// those of answer.hpp; when their tokens come, engine_model decides. A prompt
// that holds the poison marker crashes the engine when its first token is due.

#ifndef FENNELLADDER_STANDIN_ENGINE_SERVER_HPP
#define FENNELLADDER_STANDIN_ENGINE_SERVER_HPP

#include "fennelladder/base/time.hpp"
#include "fennelladder/standin/engine_model.hpp"
#include "fennelladder/standin/execution.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fennelladder::standin {

/// A model that an engine has loaded.
struct engine_model_name
{
    std::string model;
    std::string version;
    std::string adapter; ///< Empty: the bare model.

    friend auto operator<=>(const engine_model_name&,
                            const engine_model_name&) = default;
};

struct engine_server_options
{
    std::string ip = "127.0.0.1";
    int port = 0;      ///< 0 picks one, and keeps it over restarts.
    int threads = 128; ///< Connections at once; kept idle ones count.
    std::string name = "engine";
    /// Loaded from the start; empty: any model is served.
    std::vector<engine_model_name> models;
    std::string role = "serve";
    engine_options engine;             ///< Speed, sizes and lags.
    std::uint64_t seed = 1;            ///< Of the cache events that get lost.
    std::uint32_t queue_limit = 1'000; ///< Waiting; more are rejected.
    duration load_time = milliseconds(50); ///< To load a model or adapter.
    bool checks_fencing = true;            ///< Refuses an old fencing number.
    std::string poison_marker = "<poison>";
    /// After a crash by poison; zero: it stays down until restart().
    duration restart_after = duration(0);
    execution_observer on_execution;
};

/// What goes wrong; the default is nothing.
struct engine_faults
{
    /// Crashes when it has sent this many tokens from now; 0: never.
    std::uint32_t crash_after_tokens = 0;
    /// Answers end tidily, but without their last part, when this many
    /// tokens of an attempt were sent; 0: never.
    std::uint32_t cut_after_tokens = 0;
    /// Chunks carry the id of another request.
    bool crossed = false;
    /// Every request is turned away, with proof that it didn't run.
    bool reject = false;
};

/// Thread safe.
class engine_server
{
public:
    explicit engine_server(engine_server_options options);
    ~engine_server();

    /// False: crashed, or the port could not be had.
    bool started() const;
    std::string url() const;
    int port() const;

    void set_faults(engine_faults faults);
    void set_leaving(bool leaving);

    /// Connections open now go silent for good; new ones work.
    void silence_open_connections();

    /// Ends it as a crash does; caches are lost. restart() serves again.
    void crash();
    void restart();

    /// All executions since construction, crashes included.
    std::vector<execution> executions() const;

    /// Work done since the start.
    engine_work work() const;

    /// Number of crashes, by poison, fault or crash().
    std::uint32_t crashes() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace fennelladder::standin

#endif
