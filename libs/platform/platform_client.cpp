// Each call is one HTTP request. What a failure means for a read differs from
// what it means for a write: a read has no effect, so it is `unavailable`
// whatever happened; a write keeps the HTTP client's distinction.

#include "fennelladder/platform/platform_client.hpp"

#include "fennelladder/platform/object_protocol.hpp"

namespace fennelladder::platform {

namespace {

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_too_large = 413;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

std::string object_path(const object_key& key)
{
    return "/v1/objects/" + http::encode_path(key.str());
}

std::string prefix_path(std::string_view prefix)
{
    return "/v1/objects?prefix=" + http::encode_query(prefix);
}

void add_condition(http::request& what, write_condition condition)
{
    switch (condition.which()) {
    case write_condition::kind::always:
        return;
    case write_condition::kind::absent:
        what.headers.push_back({"If-None-Match", "*"});
        return;
    case write_condition::kind::version:
        what.headers.push_back({"If-Match", encode_etag(condition.version())});
        return;
    }
}

// The meaning of a status that isn't a success. `doubt` is what an unknown
// status says of the call's effect.
error to_error(const http::response& answer, error_code doubt)
{
    const std::string text =
        "status " + std::to_string(answer.status) + ": " + answer.body;
    switch (answer.status) {
    case status_bad_request:
        return {error_code::invalid, text};
    case status_not_found:
        return {error_code::not_found, text};
    case status_precondition_failed:
        return {error_code::conflict, text};
    case status_too_large:
        return {error_code::too_large, text};
    case status_too_many_requests:
    case status_unavailable:
        return {error_code::unavailable, text};
    default:
        return {doubt, text};
    }
}

bool succeeded(const http::response& answer)
{
    return answer.status == status_ok || answer.status == status_no_content;
}

} // namespace

platform_client::platform_client(http::client& connections,
                                 platform_client_options options)
    : connections_(connections), options_(std::move(options))
{}

http::request platform_client::make_request(std::string method,
                                            const std::string& path) const
{
    return {.method = std::move(method), .url = options_.url + path};
}

result<http::response> platform_client::read(const std::string& path,
                                             duration wait)
{
    const duration limit = options_.call_timeout + wait;
    const http::transfer_timeouts limits{.connect = options_.connect_timeout,
                                         .first_byte = limit,
                                         .between_bytes = options_.call_timeout,
                                         .total =
                                             limit + options_.call_timeout};
    auto got = connections_.fetch(make_request("GET", path), limits);
    if (!got && got.error().code == error_code::ambiguous)
        return fail(error_code::unavailable, got.error().message);
    if (got && !succeeded(*got))
        return tl::unexpected(to_error(*got, error_code::unavailable));
    return got;
}

result<http::response> platform_client::write(const http::request& what)
{
    const http::transfer_timeouts limits{.connect = options_.connect_timeout,
                                         .first_byte = options_.call_timeout,
                                         .between_bytes = options_.call_timeout,
                                         .total = options_.call_timeout * 2};
    auto got = connections_.fetch(what, limits);
    if (got && !succeeded(*got))
        return tl::unexpected(to_error(*got, error_code::ambiguous));
    return got;
}

result<stored_object> platform_client::get(const object_key& key)
{
    auto got = read(object_path(key), duration(0));
    if (!got)
        return tl::unexpected(got.error());
    const auto version = decode_etag(got->field("ETag"));
    if (!version)
        return tl::unexpected(version.error());
    return stored_object{key, std::move(got->body), *version};
}

result<object_version> platform_client::put(const object_key& key,
                                            std::string_view value,
                                            write_condition condition)
{
    if (value.size() > max_value_bytes)
        return fail(error_code::too_large, "value of " + key.str());
    auto what = make_request("PUT", object_path(key));
    what.body = value;
    add_condition(what, condition);
    const auto got = write(what);
    if (!got)
        return tl::unexpected(got.error());
    const auto version = decode_etag(got->field("ETag"));
    // The write was acknowledged, but its version is lost: read back.
    if (!version)
        return fail(error_code::ambiguous, version.error().message);
    return *version;
}

status platform_client::erase(const object_key& key, write_condition condition)
{
    auto what = make_request("DELETE", object_path(key));
    add_condition(what, condition);
    const auto got = write(what);
    if (!got)
        return tl::unexpected(got.error());
    return {};
}

result<object_page> platform_client::list(std::string_view prefix,
                                          const object_key& after,
                                          std::size_t limit)
{
    const auto got =
        read(prefix_path(prefix) + "&after=" + http::encode_query(after.str()) +
                 "&limit=" + std::to_string(limit),
             duration(0));
    if (!got)
        return tl::unexpected(got.error());
    return decode_object_page(got->body);
}

result<change_page> platform_client::watch(std::string_view prefix,
                                           std::uint64_t revision,
                                           duration wait)
{
    const auto ms = std::chrono::ceil<milliseconds>(wait).count();
    const auto got =
        read(prefix_path(prefix) + "&watch=" + std::to_string(revision) +
                 "&wait_ms=" + std::to_string(ms),
             wait);
    if (!got)
        return tl::unexpected(got.error());
    return decode_change_page(got->body);
}

result<host_page> platform_client::hosts()
{
    const auto got = read("/v1/hosts", duration(0));
    if (!got)
        return tl::unexpected(got.error());
    return decode_host_page(got->body);
}

} // namespace fennelladder::platform
