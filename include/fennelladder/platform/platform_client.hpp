// Object API and host list over HTTP.
//
//     http::client connections;
//     platform_client platform(connections, {.url = "http://10.0.0.1:7000"});
//     auto got = platform.get(object_key("config/root"));
//
// A write that was sent and got no answer fails with `ambiguous`. One that was
// never sent, or that the platform turned away (429, 503), fails with
// `unavailable`. A watch that goes silent ends with `unavailable` after its
// wait and a grace, on a connection that isn't used again.

#ifndef FENNELLADDER_PLATFORM_PLATFORM_CLIENT_HPP
#define FENNELLADDER_PLATFORM_PLATFORM_CLIENT_HPP

#include "fennelladder/http/client.hpp"
#include "fennelladder/platform/host_list.hpp"
#include "fennelladder/platform/object_store.hpp"

#include <string>

namespace fennelladder::platform {

/// Where the platform is and how long to wait for it.
struct platform_client_options
{
    std::string url; ///< "http://IP:PORT", no slash at the end.
    duration connect_timeout = milliseconds(500);
    /// From request to answer; a watch has its wait in addition.
    duration call_timeout = seconds(2);
};

/// Thread safe.
class platform_client final : public object_store, public host_list
{
public:
    /// Precondition: `connections` outlives this.
    platform_client(http::client& connections, platform_client_options options);

    result<stored_object> get(const object_key& key) override;
    result<object_version> put(const object_key& key, std::string_view value,
                               write_condition condition) override;
    status erase(const object_key& key, write_condition condition) override;
    result<object_page> list(std::string_view prefix, const object_key& after,
                             std::size_t limit) override;
    result<change_page> watch(std::string_view prefix, std::uint64_t revision,
                              duration wait) override;
    result<host_page> hosts() override;

private:
    http::request make_request(std::string method,
                               const std::string& path) const;
    result<http::response> read(const std::string& path, duration wait);
    result<http::response> write(const http::request& what);

    http::client& connections_;
    platform_client_options options_;
};

} // namespace fennelladder::platform

#endif
