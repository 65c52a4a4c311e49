// Translates between the typed messages and Thrift's generated structs, and
// runs the compact protocol over memory. Decoding checks what the types
// promise (enumerators, sizes), so that bytes from anywhere are a value or an
// error, never a crash.

#include "fennelladder/membership/messages.hpp"

#include "membership_types.h"

#include <exception>
#include <memory>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace fennelladder::membership {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t max_items = 256;
constexpr std::size_t max_name_bytes = 255;

class malformed final : public std::exception
{
public:
    explicit malformed(const char* what) : what_(what) {}
    const char* what() const noexcept override { return what_; }

private:
    const char* what_;
};

void require(bool holds, const char* what)
{
    if (!holds)
        throw malformed(what);
}

host_id read_host(const std::string& name)
{
    require(!name.empty() && name.size() <= max_name_bytes, "host name");
    return host_id(name);
}

wire::Description to_wire(const member_description& from)
{
    wire::Description out;
    out.life = from.life.str();
    out.data_center = from.data_center.str();
    out.region = from.region.str();
    out.caller_address = from.caller_address;
    out.peer_address = from.peer_address;
    out.capacity = static_cast<std::int32_t>(from.capacity);
    return out;
}

member_description from_wire(const wire::Description& from)
{
    require(from.capacity > 0, "capacity");
    require(from.life.size() <= max_name_bytes, "life");
    member_description out;
    out.life = incarnation_id(from.life);
    out.data_center = data_center_id(from.data_center);
    out.region = region_id(from.region);
    out.caller_address = from.caller_address;
    out.peer_address = from.peer_address;
    out.capacity = static_cast<std::uint32_t>(from.capacity);
    return out;
}

wire::Update to_wire(const member_update& from)
{
    wire::Update out;
    out.host = from.host.str();
    out.version = static_cast<std::int64_t>(from.version);
    out.state = static_cast<std::int8_t>(from.state);
    out.health = static_cast<std::int8_t>(from.health);
    out.life_tag = static_cast<std::int32_t>(from.life_tag);
    if (from.description)
        out.__set_description(to_wire(*from.description));
    return out;
}

member_update from_wire(const wire::Update& from)
{
    require(from.version > 0, "version");
    require(from.state >= 0 &&
                from.state <= static_cast<int>(member_state::gone),
            "state");
    require(from.health >= 0 &&
                from.health <= static_cast<int>(member_health::dead),
            "health");
    member_update out;
    out.host = read_host(from.host);
    out.version = static_cast<std::uint64_t>(from.version);
    out.state = static_cast<member_state>(from.state);
    out.health = static_cast<member_health>(from.health);
    out.life_tag = static_cast<std::uint32_t>(from.life_tag);
    if (from.__isset.description)
        out.description = from_wire(from.description);
    return out;
}

wire::Sample to_wire(const member_sample& from)
{
    wire::Sample out;
    out.host = from.host.str();
    out.sequence = static_cast<std::int64_t>(from.sequence);
    out.load = static_cast<std::int32_t>(from.load);
    out.in_force = static_cast<std::int64_t>(from.in_force.value());
    return out;
}

member_sample from_wire(const wire::Sample& from)
{
    require(from.sequence >= 0 && from.load >= 0 && from.in_force >= 0,
            "sample");
    member_sample out;
    out.host = host_id(from.host);
    out.sequence = static_cast<std::uint64_t>(from.sequence);
    out.load = static_cast<std::uint32_t>(from.load);
    out.in_force = generation(static_cast<std::uint64_t>(from.in_force));
    return out;
}

template <class To, class From>
std::vector<To> all_from_wire(const std::vector<From>& from)
{
    require(from.size() <= max_items, "number of items");
    std::vector<To> out;
    out.reserve(from.size());
    for (const From& it : from)
        out.push_back(from_wire(it));
    return out;
}

template <class To, class From>
std::vector<To> all_to_wire(const std::vector<From>& from)
{
    std::vector<To> out;
    out.reserve(from.size());
    for (const From& it : from)
        out.push_back(to_wire(it));
    return out;
}

wire::Gossip to_wire(const gossip& from)
{
    wire::Gossip out;
    out.sender = to_wire(from.sender);
    out.sample = to_wire(from.sample);
    // The sender is named once; its sample's name is put back on arrival.
    out.sample.host.clear();
    out.highest_generation =
        static_cast<std::int64_t>(from.highest_generation.value());
    out.digest = static_cast<std::int64_t>(from.digest);
    if (!from.updates.empty())
        out.__set_updates(all_to_wire<wire::Update>(from.updates));
    if (!from.samples.empty())
        out.__set_samples(all_to_wire<wire::Sample>(from.samples));
    if (!from.extension.empty())
        out.__set_extension(from.extension);
    return out;
}

gossip from_wire(const wire::Gossip& from)
{
    require(from.highest_generation >= 0, "generation");
    gossip out;
    out.sender = from_wire(from.sender);
    out.sample = from_wire(from.sample);
    out.sample.host = out.sender.host;
    out.highest_generation =
        generation(static_cast<std::uint64_t>(from.highest_generation));
    out.digest = static_cast<std::uint64_t>(from.digest);
    out.updates = all_from_wire<member_update>(from.updates);
    out.samples = all_from_wire<member_sample>(from.samples);
    out.extension = from.extension;
    return out;
}

wire::Heartbeat to_wire(const heartbeat& from)
{
    wire::Heartbeat out;
    out.gossip = to_wire(from.gossip);
    if (from.describe)
        out.__set_describe(true);
    if (from.relay_target)
        out.__set_relay_target(from.relay_target->str());
    for (const host_id& it : from.heard)
        out.heard.push_back(it.str());
    out.__isset.heard = !out.heard.empty();
    if (from.page_after) {
        out.__set_page_after(from.page_after->str());
        out.__set_page_limit(static_cast<std::int32_t>(from.page_limit));
    }
    return out;
}

heartbeat from_wire(const wire::Heartbeat& from)
{
    heartbeat out;
    out.gossip = from_wire(from.gossip);
    out.describe = from.__isset.describe && from.describe;
    if (from.__isset.relay_target)
        out.relay_target = read_host(from.relay_target);
    require(from.heard.size() <= max_items, "number of items");
    for (const std::string& it : from.heard)
        out.heard.push_back(read_host(it));
    if (from.__isset.page_after) {
        require(from.page_limit >= 0, "page limit");
        out.page_after = host_id(from.page_after);
        out.page_limit = static_cast<std::uint32_t>(from.page_limit);
    }
    return out;
}

wire::HeartbeatReply to_wire(const heartbeat_reply& from)
{
    wire::HeartbeatReply out;
    out.gossip = to_wire(from.gossip);
    if (from.describe)
        out.__set_describe(true);
    if (!from.page.empty())
        out.__set_page(all_to_wire<wire::Update>(from.page));
    if (from.page_last)
        out.__set_page_last(true);
    if (from.page_after)
        out.__set_page_after(from.page_after->str());
    return out;
}

heartbeat_reply from_wire(const wire::HeartbeatReply& from)
{
    heartbeat_reply out;
    out.gossip = from_wire(from.gossip);
    out.describe = from.__isset.describe && from.describe;
    out.page = all_from_wire<member_update>(from.page);
    out.page_last = from.__isset.page_last && from.page_last;
    if (from.__isset.page_after)
        out.page_after = host_id(from.page_after);
    return out;
}

template <class Wire>
std::string to_bytes(const Wire& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template <class Typed, class Wire>
result<Typed> from_bytes(std::string_view bytes)
{
    if (bytes.size() > max_message_bytes)
        return fail(error_code::too_large, "membership message");
    try {
        std::string copy(bytes);
        auto config = std::make_shared<TConfiguration>(
            static_cast<int>(max_message_bytes));
        auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(copy.data()),
            static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE,
            config);
        // The protocol's own limits: a length in the bytes can't make it
        // allocate more than a message may hold.
        TCompactProtocolT<TMemoryBuffer> protocol(
            buffer, static_cast<std::int32_t>(max_message_bytes),
            static_cast<std::int32_t>(max_items));
        Wire message;
        message.read(&protocol);
        return from_wire(message);
    } catch (const std::exception& ex) {
        return fail(error_code::corrupt,
                    std::string("membership message: ") + ex.what());
    }
}

} // namespace

std::string encode(const heartbeat& message)
{
    return to_bytes(to_wire(message));
}

std::string encode(const heartbeat_reply& message)
{
    return to_bytes(to_wire(message));
}

result<heartbeat> decode_heartbeat(std::string_view bytes)
{
    return from_bytes<heartbeat, wire::Heartbeat>(bytes);
}

result<heartbeat_reply> decode_heartbeat_reply(std::string_view bytes)
{
    return from_bytes<heartbeat_reply, wire::HeartbeatReply>(bytes);
}

} // namespace fennelladder::membership
