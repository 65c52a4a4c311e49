// What a stand-in target ran, for histories and for counting duplicates.
//
//     options.on_execution = [&](const execution& it) { history.add(it); };

#ifndef FENNELLADDER_STANDIN_EXECUTION_HPP
#define FENNELLADDER_STANDIN_EXECUTION_HPP

#include "fennelladder/base/ids.hpp"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace fennelladder::standin {

/// A moment in the life of an execution.
enum class execution_phase : std::uint8_t
{
    started,  ///< From here on it has an effect.
    finished, ///< Ran to its end, whether or not the answer arrived.
    aborted   ///< Canceled, or the target died.
};

/// One moment of one execution.
struct execution
{
    execution_phase phase = execution_phase::started;
    std::string target; ///< Name of the stand-in.
    std::string call;   ///< Name of a service's call; empty at engines.
    request_key key;
    request_id id;
    std::uint32_t attempt = 0;
    std::uint32_t from = 0; ///< First token of the answer that it made.
    std::uint32_t to = 0;   ///< After the last one so far.
};

/// Called on the stand-in's threads, several at once.
using execution_observer = std::function<void(const execution&)>;

/// Keeps every execution. Thread safe.
class execution_log
{
public:
    explicit execution_log(execution_observer observer)
        : observer_(std::move(observer))
    {}

    void add(const execution& it)
    {
        {
            const std::lock_guard lock(mutex_);
            all_.push_back(it);
        }
        if (observer_)
            observer_(it);
    }

    std::vector<execution> all() const
    {
        const std::lock_guard lock(mutex_);
        return all_;
    }

private:
    execution_observer observer_;
    mutable std::mutex mutex_;
    std::vector<execution> all_;
};

} // namespace fennelladder::standin

#endif
