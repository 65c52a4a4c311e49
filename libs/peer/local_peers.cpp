#include "fennelladder/peer/local_peers.hpp"

namespace fennelladder::peer {

std::string_view to_string(topic what)
{
    switch (what) {
    case topic::heartbeat:
        return "heartbeat";
    case topic::append:
        return "append";
    case topic::transfer:
        return "transfer";
    case topic::witness:
        return "witness";
    case topic::keep_bills:
        return "keep_bills";
    case topic::suspects:
        return "suspects";
    case topic::configuration:
        return "configuration";
    case topic::outcome:
        return "outcome";
    case topic::layout:
        return "layout";
    }
    return "unknown";
}

void local_peer_network::serve(const peer_address& address,
                               peer_handler* handler)
{
    const std::lock_guard lock(mutex_);
    handlers_[address] = handler;
}

result<std::string> local_peer_network::send_request(const peer_address& to,
                                                     topic what,
                                                     std::string_view message,
                                                     duration)
{
    peer_handler* handler = nullptr;
    {
        const std::lock_guard lock(mutex_);
        const auto it = handlers_.find(to);
        if (it != handlers_.end())
            handler = it->second;
    }
    if (handler == nullptr)
        return fail(error_code::unavailable, "no peer at " + to);
    return handler->handle_request(what, message);
}

} // namespace fennelladder::peer
