#include "fennelladder/dispatch/buffer_budget.hpp"

#include <algorithm>
#include <cassert>

namespace fennelladder::dispatch {

std::string_view to_string(displacement value)
{
    switch (value) {
    case displacement::behind:
        return "behind";
    case displacement::larger:
        return "larger";
    case displacement::full:
        return "full";
    }
    return "";
}

buffer_budget::buffer_budget(buffer_limits limits, pace_options pace)
    : limits_(limits), pace_(pace)
{}

bool buffer_budget::may_be_displaced(const exchange& it) const
{
    return it.now == phase::reading || it.now == phase::unread;
}

void buffer_budget::list(exchange_id id, const exchange& it)
{
    if (may_be_displaced(it))
        by_pace_.emplace(it.behind_from, id);
    if (it.now == phase::reading)
        by_size_.emplace(it.held, id);
    if (it.now == phase::unread)
        unread_by_pace_.emplace(it.behind_from, id);
}

void buffer_budget::unlist(exchange_id id, const exchange& it)
{
    by_pace_.erase({it.behind_from, id});
    unread_by_pace_.erase({it.behind_from, id});
    by_size_.erase({it.held, id});
}

/// Precondition: `it` isn't listed.
void buffer_budget::set_held(exchange& it, std::size_t bytes)
{
    const bool served = it.now == phase::serving || it.now == phase::unread;
    held_ += bytes - it.held;
    if (served)
        held_by_served_ += bytes - it.held;
    it.held = bytes;
}

void buffer_budget::set_phase(exchange_id id, exchange& it, phase to)
{
    const auto is_served = [](phase of) {
        return of == phase::serving || of == phase::unread;
    };
    unlist(id, it);
    if (is_served(it.now) && !is_served(to)) {
        held_by_served_ -= it.held;
        --served_;
    } else if (!is_served(it.now) && is_served(to)) {
        held_by_served_ += it.held;
        ++served_;
    }
    it.now = to;
    list(id, it);
}

exchange_id buffer_budget::begin(instant now)
{
    const exchange_id id(++last_id_);
    exchange& it = exchanges_[id];
    it.behind_from = now + pace_.max_lead;
    list(id, it);
    return id;
}

void buffer_budget::end(exchange_id id)
{
    const auto found = exchanges_.find(id);
    assert(found != exchanges_.end());
    displace(id);
    exchanges_.erase(found);
}

/// What it holds no longer counts, and it is granted nothing any more.
void buffer_budget::displace(exchange_id id)
{
    exchange& it = exchanges_.at(id);
    unlist(id, it);
    set_held(it, 0);
    set_phase(id, it, phase::over);
}

void buffer_budget::note_progress(exchange_id id, std::size_t bytes,
                                  instant now)
{
    exchange& it = exchanges_.at(id);
    unlist(id, it);
    const duration covered =
        from_seconds(static_cast<double>(bytes) / pace_.min_bytes_per_second);
    it.behind_from = std::min(it.behind_from + covered, now + pace_.max_lead);
    list(id, it);
}

std::optional<exchange_id> buffer_budget::slowest(instant now) const
{
    if (by_pace_.empty() || by_pace_.begin()->first >= now)
        return std::nullopt;
    return by_pace_.begin()->second;
}

std::optional<exchange_id> buffer_budget::larger_than(std::size_t bytes) const
{
    if (by_size_.empty() || by_size_.rbegin()->first <= bytes)
        return std::nullopt;
    return by_size_.rbegin()->second;
}

/// Displaces others until `id` may hold `bytes`. Returns false if it may not.
bool buffer_budget::make_room(exchange_id id, std::size_t bytes,
                              bool also_larger, instant now, claim_result& out)
{
    const std::size_t before = exchanges_.at(id).held;
    // Nothing that gives way would help.
    if (bytes > limits_.total_bytes)
        return false;
    while (held_ - before + bytes > limits_.total_bytes) {
        auto next = slowest(now);
        auto why = displacement::behind;
        if (!next && also_larger) {
            next = larger_than(bytes);
            why = displacement::larger;
        }
        if (!next || *next == id) {
            out.refused = next ? why : displacement::full;
            return false;
        }
        displace(*next);
        out.others.push_back({*next, why});
    }
    return true;
}

claim_result buffer_budget::claim(exchange_id id, std::size_t bytes,
                                  instant now)
{
    claim_result out;
    exchange& it = exchanges_.at(id);
    if (it.now == phase::over)
        return out;
    const bool grows = bytes > it.held;
    const bool is_read = it.now == phase::reading;
    if (grows && !is_read &&
        held_by_served_ - it.held + bytes > limits_.serving_bytes)
        return out;
    // A response needn't be buffered, so no request gives way to it.
    if (grows && !make_room(id, bytes, is_read, now, out))
        return out;
    unlist(id, it);
    set_held(it, bytes);
    list(id, it);
    out.granted = true;
    return out;
}

bool buffer_budget::may_serve(std::size_t bytes) const
{
    return served_ < limits_.served &&
           held_by_served_ + bytes <= limits_.serving_bytes;
}

claim_result buffer_budget::start_serving(exchange_id id, std::size_t bytes,
                                          instant now)
{
    claim_result out = claim(id, bytes, now);
    if (!out.granted)
        return out;
    exchange& it = exchanges_.at(id);
    // Responses that nobody reads make room.
    while (!may_serve(bytes)) {
        if (unread_by_pace_.empty() || unread_by_pace_.begin()->first >= now) {
            out.granted = false;
            out.refused = displacement::full;
            return out;
        }
        const exchange_id slow = unread_by_pace_.begin()->second;
        displace(slow);
        out.others.push_back({slow, displacement::behind});
    }
    set_phase(id, it, phase::serving);
    return out;
}

void buffer_budget::set_unread(exchange_id id, bool waits, instant now)
{
    exchange& it = exchanges_.at(id);
    if (it.now != phase::serving && it.now != phase::unread)
        return;
    if (waits && it.now == phase::serving) {
        unlist(id, it);
        it.behind_from = now + pace_.max_lead;
        set_phase(id, it, phase::unread);
    } else if (!waits) {
        set_phase(id, it, phase::serving);
    }
}

std::optional<displaced> buffer_budget::displace_slowest(instant now)
{
    const auto found = slowest(now);
    if (!found)
        return std::nullopt;
    displace(*found);
    return displaced{*found, displacement::behind};
}

std::vector<displaced> buffer_budget::set_limits(buffer_limits limits,
                                                 instant now)
{
    limits_ = limits;
    std::vector<displaced> out;
    while (held_ > limits_.total_bytes) {
        auto next = slowest(now);
        const auto why = next ? displacement::behind : displacement::larger;
        if (!next)
            next = larger_than(0);
        if (!next)
            break; // The rest is being served.
        displace(*next);
        out.push_back({*next, why});
    }
    return out;
}

} // namespace fennelladder::dispatch
