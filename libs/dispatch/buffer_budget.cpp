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

bool buffer_budget::is_served(phase of)
{
    return of == phase::serving || of == phase::unread;
}

bool buffer_budget::may_be_displaced(const exchange& it)
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
    held_ += bytes - it.held;
    if (is_served(it.now))
        held_by_served_ += bytes - it.held;
    it.held = bytes;
}

void buffer_budget::set_phase(exchange_id id, exchange& it, phase to)
{
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

std::optional<displaced> buffer_budget::slowest(const by_pace& of, instant now)
{
    if (of.empty() || of.begin()->first >= now)
        return std::nullopt;
    return displaced{of.begin()->second, displacement::behind};
}

/// Who gives way next: the slowest, or else the largest of the requests that
/// are being read, if it holds more than `bytes`.
std::optional<displaced> buffer_budget::next_to_give_way(std::size_t bytes,
                                                         instant now) const
{
    if (const auto slow = slowest(by_pace_, now))
        return slow;
    if (by_size_.empty() || by_size_.rbegin()->first <= bytes)
        return std::nullopt;
    return displaced{by_size_.rbegin()->second, displacement::larger};
}

/// Displaces others until `id` may hold `bytes`. Returns false if it may not.
bool buffer_budget::make_room(exchange_id id, std::size_t bytes, instant now,
                              claim_result& out)
{
    const exchange& it = exchanges_.at(id);
    // Nothing that gives way would help.
    if (bytes > limits_.total_bytes)
        return false;
    while (held_ - it.held + bytes > limits_.total_bytes) {
        // A response needn't be buffered, so no request that moves gives way
        // to it.
        const auto next = it.now == phase::reading
                              ? next_to_give_way(bytes, now)
                              : slowest(by_pace_, now);
        if (!next)
            return false;
        if (next->exchange == id) {
            out.refused = next->why;
            return false;
        }
        displace(next->exchange);
        out.others.push_back(*next);
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
    if (grows && is_served(it.now) &&
        held_by_served_ - it.held + bytes > limits_.serving_bytes)
        return out;
    if (grows && !make_room(id, bytes, now, out))
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
        const auto slow = slowest(unread_by_pace_, now);
        if (!slow) {
            out.granted = false;
            return out;
        }
        displace(slow->exchange);
        out.others.push_back(*slow);
    }
    set_phase(id, it, phase::serving);
    return out;
}

void buffer_budget::set_unread(exchange_id id, bool waits, instant now)
{
    exchange& it = exchanges_.at(id);
    if (!is_served(it.now))
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
    const auto out = slowest(by_pace_, now);
    if (out)
        displace(out->exchange);
    return out;
}

std::vector<displaced> buffer_budget::set_limits(buffer_limits limits,
                                                 instant now)
{
    limits_ = limits;
    std::vector<displaced> out;
    while (held_ > limits_.total_bytes) {
        const auto next = next_to_give_way(0, now);
        if (!next)
            break; // The rest is being served.
        displace(next->exchange);
        out.push_back(*next);
    }
    return out;
}

} // namespace fennelladder::dispatch
