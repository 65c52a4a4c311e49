// Runs an engine_model in real time for the threads that carry its requests.
//
//     auto sequence = driver.submit({.prompt_tokens = 9, .output_tokens = 5});
//     while (driver.wait(*sequence)) // a token more, or the end
//         send(sequence->produced());
//     driver.leave(*sequence);

#ifndef FENNELLADDER_STANDIN_ENGINE_DRIVER_HPP
#define FENNELLADDER_STANDIN_ENGINE_DRIVER_HPP

#include "fennelladder/standin/engine_model.hpp"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <span>
#include <thread>
#include <unordered_map>
#include <vector>

namespace fennelladder::standin {

/// One request in the engine, as the thread that carries it sees it. Use it
/// on that thread only.
class engine_sequence
{
public:
    /// Tokens of the whole answer made so far, as of the last wait.
    std::uint32_t produced() const { return seen_; }

    /// Prompt tokens that came from the cache.
    std::uint32_t cached_tokens() const { return cached_; }

private:
    friend class engine_driver;

    std::uint64_t id_ = 0;
    std::uint32_t seen_ = 0;
    std::uint32_t cached_ = 0;

    // Guarded by the driver's mutex.
    std::uint32_t made_ = 0;
    bool finished_ = false;
    bool lost_ = false; // The engine went down.
    std::condition_variable changed_;
};

/// Thread safe.
class engine_driver
{
public:
    using ticket = std::shared_ptr<engine_sequence>;

    engine_driver(const engine_options& options, std::uint64_t seed,
                  std::uint32_t queue_limit);
    ~engine_driver();
    engine_driver(const engine_driver&) = delete;
    engine_driver& operator=(const engine_driver&) = delete;

    /// Takes a request, whose id is given here. Nothing if the queue is
    /// full, it can never fit, or the engine is down.
    ticket submit(engine_request request);

    /// Waits until there is more to see. False: the engine went down.
    bool wait(engine_sequence& it);

    /// True when all tokens are made and seen.
    bool finished(const engine_sequence& it) const;

    /// Ends a request, finished or not.
    void leave(engine_sequence& it);

    /// The newest load report that has arrived, and its age.
    engine_load load(duration& age);

    /// Published events with a sequence number above `after`.
    std::vector<engine_cache_event> events(std::uint64_t after);

    /// Leading blocks that are cached.
    std::uint32_t cached_blocks(std::span<const std::uint64_t> prefix) const;
    void import_blocks(std::span<const std::uint64_t> prefix);

    /// All requests and the cache are lost; takes none until bring_up().
    void take_down();
    void bring_up();

    engine_work work() const;

private:
    static constexpr std::size_t max_events = 10'000;

    void run();
    void take_outputs(instant now);

    const std::uint32_t queue_limit_;
    system_clock clock_;
    mutable std::mutex mutex_; // Guards everything below.
    std::condition_variable changed_;
    engine_model model_;
    std::unordered_map<std::uint64_t, ticket> sequences_;
    std::uint64_t last_id_ = 0;
    engine_load last_load_;
    std::deque<engine_cache_event> events_;
    bool down_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace fennelladder::standin

#endif
