#include "fennelladder/target/fake_target.hpp"

#include <algorithm>

namespace fennelladder::target {

namespace {

constexpr std::uint32_t bytes_per_token = 4;
constexpr int status_ok = 200;

// What an attempt meets before it runs, if anything.
template <class End>
bool ends_before_run(const fake_target_faults& faults, bool served, End& end)
{
    if (faults.dead) {
        end.outcome = dispatch_outcome::never_dispatched;
        end.message = "not connected";
        return true;
    }
    if (faults.reject || !served) {
        end.outcome = dispatch_outcome::rejected_before_run;
        end.message = "turned away";
        return true;
    }
    if (faults.silent) {
        end.outcome = dispatch_outcome::interrupted;
        end.silent = true;
        end.message = "silent";
        return true;
    }
    return false;
}

} // namespace

fake_target::fake_target(fake_target_options options)
    : options_(std::move(options))
{
    state_.models = options_.models;
}

void fake_target::set_faults(fake_target_faults faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

void fake_target::set_load(load_status load)
{
    const std::lock_guard lock(mutex_);
    load_ = load;
}

std::uint32_t fake_target::executions_of(const request_key& key) const
{
    const std::lock_guard lock(mutex_);
    const auto it = executions_.find(key);
    return it == executions_.end() ? 0 : it->second;
}

bool fake_target::serves(const completion& ask) const
{
    return options_.models.empty() ||
           std::ranges::any_of(state_.models, [&](const loaded_model& it) {
               const bool version =
                   ask.version.empty() || it.version == ask.version;
               return it.ready && version && it.model == ask.model &&
                      it.adapter == ask.adapter;
           });
}

completion_end fake_target::complete(const completion& ask,
                                     const chunk_receiver& on_chunk,
                                     const cancel_check& canceled)
{
    completion_end end;
    end.next_offset = ask.resume_offset;
    const auto answer = options_.answer(ask);
    std::unique_lock lock(mutex_);
    const fake_target_faults faults = faults_;
    const bool served = serves(ask) && ask.resume_offset <= answer.size();
    if (ends_before_run(faults, served, end))
        return end;
    ++executions_[ask.key];
    lock.unlock();
    end.status = status_ok;
    end.outcome = dispatch_outcome::interrupted;
    for (std::uint32_t n = 0; end.next_offset < answer.size(); ++n) {
        if (faults.interrupt_after && n >= *faults.interrupt_after)
            return end;
        const chunk next{end.next_offset, 1, answer[end.next_offset]};
        ++end.next_offset;
        end.canceled = (canceled && canceled()) || !on_chunk(next);
        if (end.canceled)
            return end;
    }
    end.outcome = dispatch_outcome::ran;
    end.finish_reason = answer.size() == ask.max_tokens ? "length" : "stop";
    end.prompt_tokens = static_cast<std::uint32_t>(
        (ask.prompt.size() + bytes_per_token - 1) / bytes_per_token);
    return end;
}

service_end fake_target::call(const service_call& ask, const cancel_check&)
{
    service_end end;
    const std::lock_guard lock(mutex_);
    if (ends_before_run(faults_, true, end))
        return end;
    ++executions_[ask.key];
    end.outcome = dispatch_outcome::interrupted;
    if (faults_.lose_replies)
        return end;
    end.outcome = dispatch_outcome::ran;
    end.status = status_ok;
    end.content_type = "application/json";
    end.body = options_.serve(ask);
    return end;
}

status fake_target::reachable() const
{
    if (faults_.dead)
        return fail(error_code::unavailable, "not connected");
    return {};
}

status fake_target::probe()
{
    const std::lock_guard lock(mutex_);
    return reachable();
}

result<load_status> fake_target::load()
{
    const std::lock_guard lock(mutex_);
    return reachable().map([this] { return load_; });
}

result<cache_event_page> fake_target::cache_events(std::uint64_t after)
{
    const std::lock_guard lock(mutex_);
    return reachable().map([&] { return cache_event_page{0, {}, after}; });
}

status fake_target::give(const order& what)
{
    const std::lock_guard lock(mutex_);
    if (auto ok = reachable(); !ok)
        return ok;
    if (options_.checks_fencing) {
        if (what.fencing < state_.highest_fencing)
            return fail(error_code::refused, "old fencing number");
        state_.highest_fencing = what.fencing;
    }
    obey(what);
    return {};
}

void fake_target::obey(const order& what)
{
    const loaded_model named{what.model, what.version, what.adapter, true};
    switch (what.kind) {
    case order_kind::load_model:
    case order_kind::load_adapter:
        std::erase(state_.models, named);
        state_.models.push_back(named);
        std::ranges::sort(state_.models);
        return;
    case order_kind::unload_model:
    case order_kind::unload_adapter:
        std::erase(state_.models, named);
        return;
    case order_kind::set_role:
        state_.role = what.role;
        return;
    }
}

result<target_state> fake_target::read_back()
{
    const std::lock_guard lock(mutex_);
    return reachable().map([this] { return state_; });
}

result<std::string> fake_target::export_kv(const std::vector<std::uint64_t>&)
{
    return fail(error_code::not_found, "nothing is cached");
}

status fake_target::import_kv(std::string_view)
{
    return fail(error_code::exhausted, "no room");
}

} // namespace fennelladder::target
