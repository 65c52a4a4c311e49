#include "fennelladder/manifest/node_status.hpp"

#include <nlohmann/json.hpp>

namespace fennelladder::manifest {

using nlohmann::json;

std::string encode(const node_status& status)
{
    const json object = {{"host", status.host.str()},
                         {"incarnation", status.incarnation.str()},
                         {"generation", status.in_force.value()},
                         {"hash", status.hash.str()},
                         {"highest_seen", status.highest_seen.value()},
                         {"takes_work", status.takes_work},
                         {"at", to_nanoseconds(status.at)}};
    return object.dump();
}

result<node_status> decode_node_status(std::string_view bytes)
{
    try {
        const json it = json::parse(bytes);
        node_status made;
        made.host = host_id(it.at("host").get<std::string>());
        made.incarnation =
            incarnation_id(it.at("incarnation").get<std::string>());
        made.in_force = generation(it.at("generation").get<std::uint64_t>());
        made.hash = configuration_hash(it.at("hash").get<std::string>());
        made.highest_seen =
            generation(it.at("highest_seen").get<std::uint64_t>());
        made.takes_work = it.at("takes_work").get<bool>();
        made.at = from_nanoseconds(it.at("at").get<std::int64_t>());
        return made;
    } catch (const json::exception&) {
        return fail(error_code::corrupt, "unreadable status");
    }
}

std::string_view status_prefix()
{
    return "status/";
}

platform::object_key status_key(const host_id& host)
{
    return platform::object_key(std::string(status_prefix()) + host.str());
}

} // namespace fennelladder::manifest
