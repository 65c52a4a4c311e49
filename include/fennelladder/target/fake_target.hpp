// A target in memory, for tests of those who use one.
//
//     fake_target engine({.answer = [](const completion& it) {
//         return std::vector<std::string>{" a", " b"};
//     }});
//     engine.set_faults({.interrupt_after = 1});
//
// It takes no time: answers come at once, on the calling thread.

#ifndef FENNELLADDER_TARGET_FAKE_TARGET_HPP
#define FENNELLADDER_TARGET_FAKE_TARGET_HPP

#include "fennelladder/target/target_client.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fennelladder::target {

/// What a fake target answers and how it minds orders.
struct fake_target_options
{
    /// The whole answer, one string per token.
    std::function<std::vector<std::string>(const completion&)> answer;
    /// The body of a service's answer.
    std::function<std::string(const service_call&)> serve;
    /// Empty: any model is served.
    std::vector<loaded_model> models;
    bool checks_fencing = true;
};

/// What goes wrong; the default is nothing.
struct fake_target_faults
{
    bool dead = false;   ///< No connection: never dispatched.
    bool reject = false; ///< Turned away with proof.
    bool silent = false; ///< Takes the request and says nothing.
    /// Breaks off after so many tokens of an attempt.
    std::optional<std::uint32_t> interrupt_after;
    bool lose_replies = false; ///< Service calls run, nobody is told.
};

/// Thread safe.
class fake_target final : public target_client
{
public:
    explicit fake_target(fake_target_options options);

    void set_faults(fake_target_faults faults);
    void set_load(load_status load);

    /// How often a key was begun to run.
    std::uint32_t executions_of(const request_key& key) const;

    completion_end complete(const completion& ask,
                            const chunk_receiver& on_chunk,
                            const cancel_check& canceled = {}) override;
    service_end call(const service_call& ask,
                     const cancel_check& canceled = {}) override;
    status probe() override;
    result<load_status> load() override;
    result<cache_event_page> cache_events(std::uint64_t after) override;
    status give(const order& what) override;
    result<target_state> read_back() override;
    result<std::string>
    export_kv(const std::vector<std::uint64_t>& blocks) override;
    status import_kv(std::string_view bytes) override;

private:
    bool serves(const completion& ask) const;
    void obey(const order& what);
    status reachable() const;

    const fake_target_options options_;
    mutable std::mutex mutex_; // Guards the fields below.
    fake_target_faults faults_;
    load_status load_;
    target_state state_;
    std::map<request_key, std::uint32_t> executions_;
};

} // namespace fennelladder::target

#endif
