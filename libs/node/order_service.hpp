// Orders to engines as the node carries them: what each engine should hold by
// the configuration in force goes into an order_issuer, and its orders go out
// through a client per engine.
//
//     order_service orders(self, store, time, seed, preferred, make_client);
//     orders.tick(config);          // about once a second, on one thread
//     orders.leave();               // no more orders; the next tick() hands
//     while (!orders.is_out()) ...  // the leases back
//
// The clients are its own, with short timeouts: an engine that hangs must not
// hold up the orders to all others for as long as a look at it may take.

#ifndef FENNELLADDER_LIBS_NODE_ORDER_SERVICE_HPP
#define FENNELLADDER_LIBS_NODE_ORDER_SERVICE_HPP

#include "configuration_service.hpp"
#include "fennelladder/fleet/order_issuer.hpp"
#include "fennelladder/http/client.hpp"
#include "fennelladder/target/target_client.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace fennelladder::node {

/// Makes the client for one engine of the configuration.
using engine_client_maker =
    std::function<std::unique_ptr<target::target_client>(
        const manifest::target&)>;

/// Clients over HTTP that give up after a second. `connections` must outlive
/// the maker and all clients.
engine_client_maker make_engine_clients(http::client& connections);

/// What an engine said it holds, a model with its adapters each. Adapters
/// that are still loading don't count, nor those of a model that isn't there.
/// A role that is neither "prefill" nor "decode" is `mixed`: engines that
/// don't divide the work name it as they like.
fleet::engine_state to_engine_state(const target::target_state& from);

/// An order as the engine's client takes it.
target::order to_target_order(const fleet::engine_order& from);

/// What each engine of the configuration should hold, by the engine's id.
std::vector<fleet::engine_plan> plans_of(const manifest::active_manifest& it);

/// What teams may use and `plans` put somewhere: each version, and each
/// adapter of it, once. Reads all teams: 8,200 at the size designed for.
std::vector<fleet::need> needs_of(const manifest::active_manifest& it,
                                  const std::vector<fleet::engine_plan>& plans);

/// Way to the engines of the configuration. One thread, but for stop().
class engine_gate final : public fleet::engine_orders
{
public:
    explicit engine_gate(engine_client_maker make) : make_(std::move(make)) {}

    /// Engines come and go.
    void apply(const manifest::active_manifest& config);

    /// Nothing goes out after calls under way. Thread safe.
    void stop() { stopped_ = true; }

    status give(const fleet::engine_order& order) override;
    result<fleet::engine_state> read_back(const target_id& target) override;

private:
    struct engine
    {
        manifest::endpoint address;
        std::unique_ptr<target::target_client> client;
    };

    /// Or nullptr: unknown, or stopped.
    target::target_client* find(const target_id& target);

    const engine_client_maker make_;
    std::map<target_id, engine> engines_;
    std::atomic<bool> stopped_{false};
};

/// One thread calls tick(); the rest is thread safe. Takes no locks.
class order_service
{
public:
    /// `preferred`: whether this node comes first for a duty among the nodes
    /// that are up (member_service::rank(duty, true) == 0). All references
    /// must outlive the service.
    order_service(const incarnation_id& self, platform::object_store& store,
                  const clock& time, std::uint64_t seed,
                  std::function<bool(std::string_view duty)> preferred,
                  engine_client_maker make);

    /// Works towards `config` (nullptr: nothing is in force yet). Blocks for
    /// calls to platform and engines, 5 s and the last engine's calls at most
    /// when many are silent.
    void tick(const manifest_pointer& config);

    /// No more orders; the next tick() hands the leases back.
    void leave();

    /// As a crash: no more orders, and the leases are left to lapse.
    void stop();

    /// After leave(): leases were handed back, as far as the platform could
    /// be reached.
    bool is_out() const { return phase_ == phase::out; }

private:
    enum class phase : std::uint8_t
    {
        working,
        leaving,
        out
    };

    void take_configuration(const manifest_pointer& config);
    void log_events();

    const std::function<bool(std::string_view)> preferred_;
    engine_gate engines_;
    fleet::order_issuer issuer_;
    std::atomic<phase> phase_{phase::working};

    // tick()'s thread only. input_ was made of config_.
    manifest_pointer config_;
    fleet::issuer_input input_;
};

} // namespace fennelladder::node

#endif
