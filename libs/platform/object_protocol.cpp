// Plain mapping to nlohmann's values. Its accessors throw on a missing or
// ill-typed member; one wrapper turns that into `corrupt`.

#include "fennelladder/platform/object_protocol.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace fennelladder::platform {

namespace {

using nlohmann::json;

json::binary_t to_binary(const std::string& value)
{
    return json::binary_t({value.begin(), value.end()});
}

json object_to_json(const stored_object& object)
{
    return {{"key", object.key.str()},
            {"version", object.version.value()},
            {"value", json::binary(to_binary(object.value))}};
}

stored_object object_from_json(const json& from)
{
    const auto& value = from.at("value").get_binary();
    return {object_key(from.at("key").get<std::string>()),
            std::string(value.begin(), value.end()),
            object_version(from.at("version").get<std::uint64_t>())};
}

std::string to_cbor(const json& value)
{
    std::string out;
    json::to_cbor(value, out);
    return out;
}

// Runs `read` and turns what nlohmann throws into a value.
template <class F>
auto guarded(const char* what, F read) -> result<decltype(read())>
{
    try {
        return read();
    } catch (const json::exception& ex) {
        return fail(error_code::corrupt, std::string(what) + ": " + ex.what());
    }
}

listed_host host_from_json(const json& from)
{
    return {host_id(from.at("host").get<std::string>()),
            from.at("address").get<std::string>(),
            data_center_id(from.at("data_center").get<std::string>()),
            region_id(from.at("region").get<std::string>()),
            from.at("leaving").get<bool>()};
}

} // namespace

std::string encode_object_page(const object_page& page)
{
    json objects = json::array();
    for (const stored_object& it : page.objects)
        objects.push_back(object_to_json(it));
    return to_cbor({{"objects", std::move(objects)},
                    {"more", page.more},
                    {"revision", page.revision}});
}

result<object_page> decode_object_page(std::string_view bytes)
{
    return guarded("object page", [&] {
        const json from = json::from_cbor(bytes);
        object_page page;
        for (const json& it : from.at("objects"))
            page.objects.push_back(object_from_json(it));
        page.more = from.at("more").get<bool>();
        page.revision = from.at("revision").get<std::uint64_t>();
        return page;
    });
}

std::string encode_change_page(const change_page& page)
{
    json changes = json::array();
    for (const object_change& it : page.changes) {
        json change = object_to_json(it.object);
        change["erased"] = it.erased;
        changes.push_back(std::move(change));
    }
    return to_cbor({{"changes", std::move(changes)},
                    {"reset", page.reset},
                    {"revision", page.revision}});
}

result<change_page> decode_change_page(std::string_view bytes)
{
    return guarded("change page", [&] {
        const json from = json::from_cbor(bytes);
        change_page page;
        for (const json& it : from.at("changes"))
            page.changes.push_back(
                {object_from_json(it), it.at("erased").get<bool>()});
        page.reset = from.at("reset").get<bool>();
        page.revision = from.at("revision").get<std::uint64_t>();
        return page;
    });
}

std::string encode_host_page(const host_page& page)
{
    json hosts = json::array();
    for (const listed_host& it : page.hosts) {
        hosts.push_back({{"host", it.host.str()},
                         {"address", it.address},
                         {"data_center", it.data_center.str()},
                         {"region", it.region.str()},
                         {"leaving", it.leaving}});
    }
    return json{{"hosts", std::move(hosts)}, {"revision", page.revision}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

result<host_page> decode_host_page(std::string_view bytes)
{
    return guarded("host page", [&] {
        const json from = json::parse(bytes);
        host_page page;
        for (const json& it : from.at("hosts"))
            page.hosts.push_back(host_from_json(it));
        page.revision = from.at("revision").get<std::uint64_t>();
        return page;
    });
}

std::string encode_etag(object_version version)
{
    return '"' + std::to_string(version.value()) + '"';
}

result<object_version> decode_etag(std::string_view text)
{
    std::uint64_t value = 0;
    const bool quoted =
        text.size() > 2 && text.front() == '"' && text.back() == '"';
    if (quoted) {
        const char* last = text.data() + text.size() - 1;
        const auto [end, ec] = std::from_chars(text.data() + 1, last, value);
        if (ec == std::errc() && end == last)
            return object_version(value);
    }
    return fail(error_code::corrupt, "ETag " + std::string(text));
}

} // namespace fennelladder::platform
