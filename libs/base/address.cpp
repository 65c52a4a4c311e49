#include "fennelladder/base/address.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace fennelladder {

namespace {

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, port);
    return read.ec == std::errc() && read.ptr == end && port != 0;
}

bool is_ip(const std::string& text)
{
    // inet_pton() stops at a NUL byte and would ignore the rest.
    if (text.find('\0') != std::string::npos)
        return false;
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return ::inet_pton(AF_INET, text.c_str(), buf.data()) == 1 ||
           ::inet_pton(AF_INET6, text.c_str(), buf.data()) == 1;
}

} // namespace

bool is_ip_and_port(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    return is_port(text.substr(colon + 1)) &&
           is_ip(std::string(text.substr(0, colon)));
}

} // namespace fennelladder
