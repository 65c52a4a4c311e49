// Finding a row in the bytes of a bucket without parsing the others.

#ifndef FENNELLADDER_LIBS_MANIFEST_ROW_SEARCH_HPP
#define FENNELLADDER_LIBS_MANIFEST_ROW_SEARCH_HPP

#include <string_view>

namespace fennelladder::manifest {

/// The line of `bytes` that starts with ["ID", or an empty view. Lines have to
/// be in order of their ids. O(log(size) * length of a line).
std::string_view find_row(std::string_view bytes, std::string_view id);

} // namespace fennelladder::manifest

#endif
