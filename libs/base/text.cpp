#include "fennelladder/base/text.hpp"

#include <algorithm>

namespace fennelladder {

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> out;
    std::size_t from = 0;
    while (from < text.size()) {
        const auto to = std::min(text.find(',', from), text.size());
        if (to > from)
            out.emplace_back(text.substr(from, to - from));
        from = to + 1;
    }
    return out;
}

bool has_control_byte(std::string_view text)
{
    return std::ranges::any_of(text, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7f;
    });
}

} // namespace fennelladder
