// Small helpers for text that people and settings files write.
//
// Thread safe.

#ifndef FENNELLADDER_BASE_TEXT_HPP
#define FENNELLADDER_BASE_TEXT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace fennelladder {

/// The parts between commas; empty ones are left out.
std::vector<std::string> split_list(std::string_view text);

} // namespace fennelladder

#endif
