// A target over HTTP; the protocol is described in docs/notes/
// target-protocol.md.
//
//     http::client connections;
//     http_target_client engine(connections, {.url = "http://10.0.1.5:8000"});

#ifndef FENNELLADDER_TARGET_HTTP_TARGET_CLIENT_HPP
#define FENNELLADDER_TARGET_HTTP_TARGET_CLIENT_HPP

#include "fennelladder/http/client.hpp"
#include "fennelladder/target/target_client.hpp"

#include <string>

namespace fennelladder::target {

/// Where the target is and how long it may be silent.
struct http_target_options
{
    std::string url; ///< "http://IP:PORT", no slash at the end.
    /// For streams; first_byte spans the time in the engine's queue unless
    /// the engine sends comments meanwhile.
    http::transfer_timeouts stream{.connect = milliseconds(500),
                                   .first_byte = seconds(5),
                                   .between_bytes = seconds(2),
                                   .total = duration(0)};
    /// For service calls.
    http::transfer_timeouts call{.connect = milliseconds(500),
                                 .first_byte = seconds(10),
                                 .between_bytes = seconds(2),
                                 .total = seconds(30)};
    /// For load, events, orders and the like.
    http::transfer_timeouts control{.connect = milliseconds(500),
                                    .first_byte = seconds(2),
                                    .between_bytes = seconds(2),
                                    .total = seconds(10)};
    /// For probe().
    duration probe_timeout = milliseconds(500);
};

/// Thread safe.
class http_target_client final : public target_client
{
public:
    /// Precondition: `connections` outlives this.
    http_target_client(http::client& connections, http_target_options options);

    completion_end complete(const completion& ask,
                            const chunk_receiver& on_chunk,
                            const cancel_check& canceled = {}) override;
    service_end call(const service_call& ask,
                     const cancel_check& canceled = {}) override;
    status probe() override;
    result<load_status> load() override;
    result<cache_event_page> cache_events(std::uint64_t after) override;
    status give(const order& what) override;
    result<target_state> read_back() override;
    result<std::string>
    export_kv(const std::vector<std::uint64_t>& blocks) override;
    status import_kv(std::string_view bytes) override;

private:
    result<std::string> ask_control(const http::request& what);
    http::request make_request(std::string method,
                               const std::string& path) const;

    http::client& connections_;
    http_target_options options_;
};

} // namespace fennelladder::target

#endif
