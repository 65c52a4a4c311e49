// Implements the discovery of peers through the platform in platform_feed.

#include "platform_feed_fetch.hpp"

#include "fennelladder/base/address.hpp"
#include "fennelladder/base/hash.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fennelladder::edge {

namespace {

using adapter::freshness;
using adapter::object_kind;

using telemetry::log_event;
namespace event = telemetry::event;

using nlohmann::json;

constexpr const char* address_field = "peer_address";
constexpr const char* versions_field = "versions";

/// Nodes that record the versions of a service: the record is there unless all
/// of them are cut off from the platform.
constexpr std::size_t version_recorders = 3;

constexpr duration version_check_period = milliseconds(200);

/// Interval of reads of the recorded versions, if one fails.
constexpr duration versions_read_interval = milliseconds(500);

/// Longest wait for a later era of the store, of which a cancelled timer tells
/// at once.
constexpr duration registration_check = hours(1);

/// Mean interval of the registrations of all nodes after the store was
/// restored: a quarter of the writes a second that it takes.
constexpr duration registration_interval = milliseconds(10);

/// The versions by service in a node's registration. Entries that can't be read
/// are left out.
dispatch::version_history::version_map
versions_in(const result<json>& registration)
{
    dispatch::version_history::version_map out;
    if (!registration || !registration->is_object())
        return out;
    const json versions = registration->value(versions_field, json::object());
    if (!versions.is_object())
        return out;
    for (const auto& [service, all] : versions.items())
        for (const json& it : all)
            if (it.is_string())
                out[service_id(service)].insert(
                    catalog::software_version(it.get<std::string>()));
    return out;
}

void merge(dispatch::version_history::version_map& into,
           const dispatch::version_history::version_map& other)
{
    for (const auto& [service, versions] : other)
        into[service].insert(versions.begin(), versions.end());
}

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
    const nlohmann::json content = registration();
    const std::string target = adapter::create_target(object_kind::nodes);
    const std::string body =
        adapter::encode_object(name, catalog::revision(), content);
    const auto got =
        co_await client_.call(platform_call::register_node, http::verb::post,
                              target, body, list_timeout);
    if (got.outcome == call_outcome::conflict) {
        const auto existing = adapter::decode_object_in(got.era, got.body);
        if (existing && !is_registered_)
            recorded_ = inherited_ = versions_in(existing->content);
        if (existing && existing->content &&
            *existing->content == registration()) {
            is_registered_ = true;
            co_return true;
        }
        const bool replaced = co_await replace_registration();
        co_return replaced;
    }
    is_registered_ |= got.outcome == call_outcome::done;
    co_return got.outcome == call_outcome::done;
}

awaitable<bool> platform_feed::replace_registration()
{
    const std::string& name = tables_.settings.host.str();
    const std::string target =
        adapter::object_target(object_kind::nodes, name, freshness::newest);
    const std::string body =
        adapter::encode_object(name, catalog::revision(), registration());
    const auto got =
        co_await client_.call(platform_call::register_node, http::verb::put,
                              target, body, list_timeout);
    is_registered_ |= got.outcome == call_outcome::done;
    co_return got.outcome == call_outcome::done;
}

/// What the platform is to have of this node.
json platform_feed::registration() const
{
    json out{{address_field, mesh_.address()}};
    for (const auto& [service, versions] : recorded_)
        for (const catalog::software_version& it : versions)
            out[versions_field][service.str()].push_back(it.str());
    return out;
}

/// Whether this node is one of those that record the service's versions. Once
/// it is, it stays so: what it wrote would get old.
bool platform_feed::is_recorder(const service_id& service)
{
    if (recorder_of_.contains(service))
        return true;
    std::vector<dispatch::record_holder> all{
        {tables_.settings.host, tables_.settings.data_center}};
    for (const mesh::peer_record* it : tables_.peers.alive(tables_.now()))
        all.push_back({it->last.host, it->last.data_center});
    const dispatch::stream_key key(hash64(service.str()));
    const auto holders =
        dispatch::stream_record_holders(key, all, version_recorders);
    const bool out =
        std::ranges::find(holders, tables_.settings.host) != holders.end();
    if (out)
        recorder_of_.insert(service);
    return out;
}

/// The versions of the last minute, of the services that this node records, and
/// for as long those that the process before it recorded.
platform_feed::version_map platform_feed::versions_to_record()
{
    const instant now = tables_.now();
    version_map out;
    if (!tables_.versions.covers_span(now))
        out = inherited_;
    for (const auto& [service, versions] : tables_.versions.all(now))
        if (!versions.empty() && is_recorder(service))
            out[service].insert(versions.begin(), versions.end());
    return out;
}

/// Keeps on the platform which software versions each service had of late. It
/// outlives the death of all nodes, in which the records of streams are lost.
awaitable<void> platform_feed::record_versions()
{
    asio::steady_timer timer(tables_.io);
    int failures = 0;
    for (;;) {
        co_await sleep_on(timer, version_check_period);
        if (!is_registered_ || tables_.is_discovering() ||
            !tables_.targets.known())
            continue;
        version_map wanted = versions_to_record();
        if (wanted == recorded_)
            continue;
        const version_map before = std::exchange(recorded_, std::move(wanted));
        const bool written = co_await replace_registration();
        if (written) {
            failures = 0;
            continue;
        }
        recorded_ = before;
        co_await back_off_after_failure(failures);
    }
}

bool platform_feed::read_recorded_versions()
{
    if (tables_.versions.has_recorded())
        return false;
    if (!is_reading_versions_ && tables_.now() >= next_versions_read_) {
        is_reading_versions_ = true;
        spawn(tables_.io,
              undo_on_failure(read_versions(),
                              [this] { is_reading_versions_ = false; }),
              "versions");
    }
    return is_reading_versions_;
}

awaitable<void> platform_feed::read_versions()
{
    version_map all;
    const instant begun = tables_.now();
    const auto pages =
        co_await list_all(platform_call::list_nodes, object_kind::nodes);
    is_reading_versions_ = false;
    next_versions_read_ = tables_.now() + versions_read_interval;
    if (!pages)
        co_return;
    for (const adapter::stored_object& it : pages->value.objects)
        merge(all, versions_in(it.content));
    tables_.versions.add_recorded(all, begun);
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
