#include "fennelladder/edge/connection_slots.hpp"

#include <utility>

namespace fennelladder::edge {

namespace {

/// A connection that has been inactive for less isn't closed for a new one: its
/// request may be about to arrive.
constexpr duration min_inactive_time = milliseconds(500);

} // namespace

connection_slots::slot::slot(connection_slots& owner,
                             std::shared_ptr<tcp::socket> socket,
                             time_point now)
    : open_(owner.open_), socket_(std::move(socket)), active_(now)
{
    open_->insert(this);
}

connection_slots::slot::~slot()
{
    open_->erase(this);
}

std::unique_ptr<connection_slots::slot>
connection_slots::take(std::shared_ptr<tcp::socket> socket, time_point now)
{
    return std::make_unique<slot>(*this, std::move(socket), now);
}

bool connection_slots::make_room(time_point now)
{
    slot* longest = nullptr;
    for (slot* it : *open_)
        if (it->active_ && it->socket_->is_open() &&
            (longest == nullptr || *it->active_ < *longest->active_))
            longest = it;
    if (longest == nullptr || now - *longest->active_ < min_inactive_time)
        return false;
    net_error ec;
    longest->socket_->close(ec);
    return true;
}

accept_limit accept_limit_of(connection_slots& slots)
{
    accept_limit out;
    out.is_full = [&slots] { return slots.is_full(); };
    out.make_room = [&slots] {
        return slots.make_room(asio::steady_timer::clock_type::now());
    };
    return out;
}

} // namespace fennelladder::edge
