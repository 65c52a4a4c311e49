// Helpers for text that people and other programs write.
//
// Thread safe.

#ifndef FENNELLADDER_BASE_TEXT_HPP
#define FENNELLADDER_BASE_TEXT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace fennelladder {

/// Splits `text` at commas; empty parts are left out.
std::vector<std::string> split_list(std::string_view text);

/// Whether the text has a control byte (of ASCII).
bool has_control_byte(std::string_view text);

} // namespace fennelladder

#endif
