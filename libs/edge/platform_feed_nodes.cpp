// Implements the discovery of peers through the platform in platform_feed.

#include "platform_feed_fetch.hpp"

#include "fennelladder/base/address.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <nlohmann/json.hpp>

namespace fennelladder::edge {

namespace {

using adapter::freshness;
using adapter::object_kind;

using telemetry::log_event;
namespace event = telemetry::event;

constexpr const char* address_field = "peer_address";

/// Longest wait for a later era of the store, of which a cancelled timer tells
/// at once.
constexpr duration registration_check = hours(1);

/// Mean interval of the registrations of all nodes after the store was
/// restored: a quarter of the writes a second that it takes.
constexpr duration registration_interval = milliseconds(10);

} // namespace

std::optional<std::string>
platform_feed::parse_address(const adapter::stored_object& object)
{
    const auto address = object.content.and_then(
        [](const nlohmann::json& it) -> result<std::string> {
            const auto found = it.find(address_field);
            const bool is_text = found != it.end() && found->is_string();
            std::string text = is_text ? found->get<std::string>() : "";
            if (!is_ip_and_port(text))
                return fail(error_code::corrupt, "not an IP address and port");
            return text;
        });
    if (!address) {
        note_unreadable(unreadable_kind::node, object, address.error());
        return std::nullopt;
    }
    return *address;
}

awaitable<bool> platform_feed::list_nodes()
{
    std::string after;
    for (bool more = true; more;) {
        std::string target = adapter::list_target(
            object_kind::nodes, freshness::maybe_stale, after);
        const auto page =
            co_await fetch(platform_call::list_nodes, call_kind::listing,
                           target, adapter::decode_page_in);
        if (!page)
            co_return false;
        const std::string before = after;
        std::vector<std::string> addresses;
        for (const adapter::stored_object& it : page->value.objects) {
            if (const auto address = parse_address(it))
                addresses.push_back(*address);
            if (!it.name.empty())
                after = it.name;
        }
        mesh_.add_peer_addresses(addresses);
        more = page->value.more && after != before;
    }
    co_return true;
}

/// Writes this node's address, unless the platform has it. Returns false if a
/// call failed.
awaitable<bool> platform_feed::write_registration()
{
    const std::string& name = tables_.settings.host.str();
    const nlohmann::json content{{address_field, mesh_.address()}};
    std::string target = adapter::create_target(object_kind::nodes);
    std::string body =
        adapter::encode_object(name, catalog::revision(), content);
    auto got =
        co_await client_.call(platform_call::register_node, http::verb::post,
                              target, body, list_timeout);
    if (got.outcome == call_outcome::conflict) {
        const auto existing = adapter::decode_object_in(got.era, got.body);
        if (existing && existing->content && *existing->content == content)
            co_return true;
        target =
            adapter::object_target(object_kind::nodes, name, freshness::newest);
        got =
            co_await client_.call(platform_call::register_node, http::verb::put,
                                  target, body, list_timeout);
    }
    co_return got.outcome == call_outcome::done;
}

/// Registers this node's address and lists those of the others, at the start
/// and when the store was restored from a copy that may lack the address. Lets
/// nodes find each other if the seeds are out of date or down.
awaitable<void> platform_feed::register_node()
{
    for (;;) {
        int failures = 0;
        for (bool done = false; !done;) {
            done = co_await write_registration();
            if (!done)
                co_await back_off_after_failure(failures);
        }
        const catalog::store_era registered = tables_.store_era;
        for (bool listed = false; !listed;) {
            listed = co_await list_nodes();
            if (!listed)
                co_await back_off_after_failure(failures);
        }
        while (tables_.store_era == registered)
            co_await sleep_on(registration_, registration_check);
        log_event(event::node_registered_again,
                  {{"era", std::to_string(tables_.store_era.value())}});
        // All nodes register at the same time, and share the store's rate.
        asio::steady_timer timer(tables_.io);
        const duration spread = registration_interval *
                                static_cast<std::int64_t>(tables_.peers.size());
        co_await sleep_on(
            timer, from_seconds(to_seconds(spread) * tables_.random.unit()));
    }
}

} // namespace fennelladder::edge
