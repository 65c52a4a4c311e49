#include "fennelladder/dispatch/link_load.hpp"

#include <algorithm>

namespace fennelladder::dispatch {

namespace {

constexpr double bits_per_byte = 8;

/// Settings may leave the capacity at 0.
constexpr double min_bits_per_second = 1e5;

double ratio(duration part, duration whole)
{
    return to_seconds(part) / to_seconds(whole);
}

} // namespace

double& byte_window::bytes_of(std::int64_t number)
{
    return bytes_[static_cast<std::size_t>(number % (steps + 1))];
}

void byte_window::add(double bytes, instant from, instant to)
{
    const std::int64_t last = to.time_since_epoch() / step;
    const std::int64_t oldest = last - steps;
    // Steps that were left out since the last call are empty.
    for (std::int64_t i = std::max(newest_ + 1, oldest); i <= last; ++i)
        bytes_of(i) = 0;
    newest_ = std::max(newest_, last);
    if (from >= to) {
        bytes_of(last) += bytes;
        return;
    }
    const std::int64_t first = from.time_since_epoch() / step;
    for (std::int64_t i = std::max(first, oldest); i <= last; ++i) {
        const instant start = std::max(from, instant(i * step));
        const instant end = std::min(to, instant((i + 1) * step));
        bytes_of(i) += bytes * ratio(end - start, to - from);
    }
}

double byte_window::bytes_at(instant now) const
{
    const std::int64_t current = now.time_since_epoch() / step;
    const std::int64_t oldest = current - steps;
    double out = 0;
    for (std::int64_t i = oldest; i <= std::min(current, newest_); ++i) {
        if (i <= newest_ - (steps + 1) || i < 0)
            continue;
        const double part =
            i == oldest ? 1 - ratio(now - instant(current * step), step) : 1;
        out += bytes_[static_cast<std::size_t>(i % (steps + 1))] * part;
    }
    return out;
}

link_load::link_load(double bits_per_second, link_load_options options)
    : bytes_per_second_(std::max(bits_per_second, min_bits_per_second) /
                        bits_per_byte),
      options_(options)
{}

void link_load::note(direction& which, std::size_t bytes, instant now) const
{
    which.window.add(static_cast<double>(bytes), which.noted.value_or(now),
                     now);
    which.noted = now;
}

void link_load::note_sent(std::size_t bytes, instant now)
{
    const duration elapsed = now - sent_.noted.value_or(now);
    const duration needed =
        from_seconds(static_cast<double>(bytes) / bytes_per_second_);
    queue_ = std::max(queue_ + needed - elapsed, duration(0));
    note(sent_, bytes, now);
}

void link_load::note_received(std::size_t bytes, instant now)
{
    note(received_, bytes, now);
}

double link_load::share_of(const direction& which, instant now) const
{
    return which.window.bytes_at(now) /
           (bytes_per_second_ * to_seconds(byte_window::length));
}

double link_load::sent_share(instant now) const
{
    return share_of(sent_, now);
}

double link_load::received_share(instant now) const
{
    return share_of(received_, now);
}

double link_load::busiest_share(instant now) const
{
    return std::max(sent_share(now), received_share(now));
}

duration link_load::send_queue(instant now) const
{
    return std::max(queue_ - (now - sent_.noted.value_or(now)), duration(0));
}

/// Follows what dials take while no queue is possible.
void link_load::learn_usual(const dial_window& ended, instant now)
{
    if (!ended.least || ended.has_timeouts ||
        busiest_share(now) >= options_.min_queueing_share)
        return;
    if (!usual_)
        usual_ = ended.least;
    else
        *usual_ += from_seconds(to_seconds(*ended.least - *usual_) *
                                options_.usual_weight);
}

void link_load::roll(instant now)
{
    const duration age = now - current_.start;
    if (age < options_.dial_window)
        return;
    learn_usual(current_, now);
    previous_ = age < 2 * options_.dial_window ? current_ : dial_window();
    current_ = {.start = now};
}

void link_load::note_dial(const dial_result& dial, instant now)
{
    roll(now);
    if (!current_.least)
        current_.destination = dial.destination;
    current_.has_others |= dial.destination != current_.destination;
    current_.has_timeouts |= dial.timed_out;
    current_.least = std::min(current_.least.value_or(dial.took), dial.took);
}

duration link_load::dial_delay(instant now) const
{
    if (busiest_share(now) < options_.min_queueing_share)
        return duration(0);
    std::optional<duration> least;
    std::optional<std::uint64_t> destination;
    bool has_several = false;
    for (const dial_window* it : {&previous_, &current_}) {
        if (!it->least || now - it->start >= 2 * options_.dial_window)
            continue;
        has_several |=
            it->has_others || (destination && *destination != it->destination);
        destination = it->destination;
        least = std::min(least.value_or(*it->least), *it->least);
    }
    if (!least || !has_several)
        return duration(0);
    return std::clamp(*least - usual_.value_or(duration(0)), duration(0),
                      options_.max_dial_delay);
}

bool link_load::is_full(instant now) const
{
    return busiest_share(now) >= options_.full_share ||
           dial_delay(now) >= options_.full_delay;
}

} // namespace fennelladder::dispatch
