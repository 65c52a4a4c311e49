#include "fennelladder/edge/long_fields.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fennelladder::edge {

namespace {

/// Fields that decide how a message is framed, routed or answered.
constexpr std::array<std::string_view, 8> read_by_parser = {
    "Connection",       "Content-Length",    "Expect", "Host", "Keep-Alive",
    "Proxy-Connection", "Transfer-Encoding", "Upgrade"};

/// RFC 9110, section 5.6.2.
bool is_token_char(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || marks.find(c) != std::string_view::npos;
}

/// Section 5.5: no control bytes but tabs.
bool is_value_char(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

bool is_blank(char c)
{
    return c == ' ' || c == '\t';
}

} // namespace

bool parse_long_field(std::string_view line, adapter::long_field& out)
{
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos)
        return false;
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && is_blank(value.front()))
        value.remove_prefix(1);
    while (!value.empty() && is_blank(value.back()))
        value.remove_suffix(1);
    const bool is_reserved =
        std::ranges::any_of(read_by_parser, [name](std::string_view it) {
            return beast::iequals({name.data(), name.size()},
                                  {it.data(), it.size()});
        });
    if (is_reserved || name.size() > max_parsed_line ||
        !std::ranges::all_of(name, is_token_char) ||
        !std::ranges::all_of(value, is_value_char))
        return false;
    out = {std::string(name), std::string(value)};
    return true;
}

bool long_field_reader::take_from(beast::flat_buffer& buf,
                                  std::size_t first_line)
{
    auto* const bytes = static_cast<char*>(buf.data().data());
    const std::string_view all(bytes, buf.size());
    looked_at_ = std::max(looked_at_, first_line);
    while (all.size() > looked_at_ + max_parsed_line) {
        const auto end = all.find('\n', looked_at_);
        // Whether the line is continued shows in the byte after it.
        if (end == std::string_view::npos || end + 1 == all.size())
            return true;
        std::string_view line = all.substr(looked_at_, end - looked_at_);
        if (line.empty() || line == "\r")
            return true;
        if (line.size() > max_parsed_line) {
            adapter::long_field found;
            if (!line.ends_with('\r') || is_blank(all[end + 1]))
                return false;
            line.remove_suffix(1);
            if (!parse_long_field(line, found))
                return false;
            const std::size_t value_at = looked_at_ + found.name.size() + 1;
            std::fill(bytes + value_at, bytes + end - 1, ' ');
            bytes_ += found.value.size();
            fields_.push_back(std::move(found));
        }
        looked_at_ = end + 1;
    }
    return true;
}

std::vector<adapter::long_field> long_field_reader::take()
{
    return std::exchange(fields_, {});
}

} // namespace fennelladder::edge
