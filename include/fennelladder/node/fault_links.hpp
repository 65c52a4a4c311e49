// Cuts between one node and what it talks to, for tests, trials and drills.
//
//     node->links().cut_platform(true);   // its calls fail as unavailable
//     node->links().cut_peers(true);      // and so do its questions to peers
//
// A cut works on what this node asks. To part two nodes from each other, cut
// both.

#ifndef FENNELLADDER_NODE_FAULT_LINKS_HPP
#define FENNELLADDER_NODE_FAULT_LINKS_HPP

#include "fennelladder/peer/peer_service.hpp"
#include "fennelladder/platform/host_list.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <atomic>

namespace fennelladder::node {

/// Thread safe.
class fault_links
{
public:
    void cut_platform(bool yes) { platform_ = yes; }
    void cut_peers(bool yes) { peers_ = yes; }

    bool platform_is_cut() const { return platform_; }
    bool peers_are_cut() const { return peers_; }

private:
    std::atomic<bool> platform_{false};
    std::atomic<bool> peers_{false};
};

/// An object store behind a cut. `inner` and `links` must outlive it.
class cut_object_store final : public platform::object_store
{
public:
    cut_object_store(platform::object_store& inner, const fault_links& links)
        : inner_(inner), links_(links)
    {}

    result<platform::stored_object>
    get(const platform::object_key& key) override;
    result<object_version> put(const platform::object_key& key,
                               std::string_view value,
                               platform::write_condition condition) override;
    status erase(const platform::object_key& key,
                 platform::write_condition condition) override;
    result<platform::object_page> list(std::string_view prefix,
                                       const platform::object_key& after,
                                       std::size_t limit) override;
    result<platform::change_page> watch(std::string_view prefix,
                                        std::uint64_t revision,
                                        duration wait) override;

private:
    template <class Call>
    auto unless_cut(const Call& call) -> decltype(call());

    platform::object_store& inner_;
    const fault_links& links_;
};

/// Peers behind a cut; what they answer is lost as well while it lasts.
class cut_peers final : public peer::peer_network
{
public:
    cut_peers(peer::peer_network& inner, const fault_links& links)
        : inner_(inner), links_(links)
    {}

    result<std::string> send_request(const peer::peer_address& to,
                                     peer::topic what, std::string_view message,
                                     duration timeout) override;

private:
    peer::peer_network& inner_;
    const fault_links& links_;
};

} // namespace fennelladder::node

#endif
