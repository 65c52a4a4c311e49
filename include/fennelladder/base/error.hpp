// Failures as values.
//
// A function that can fail returns result<T>. The code is stable and is what
// callers of the product and tests look at; the message is for people.
//
//     result<stored_object> got = store.get(key);
//     if (!got && got.error().code == error_code::not_found)
//         return create();
//
// `ambiguous` is the code to be careful with: the effect may or may not have
// taken place, and the one who asked has to read back before anything else.

#ifndef FENNELLADDER_BASE_ERROR_HPP
#define FENNELLADDER_BASE_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace fennelladder {

/// Why an operation failed.
enum class error_code : std::uint8_t
{
    invalid,     ///< The input is wrong; asking again won't help.
    not_found,   ///< There is no such thing.
    conflict,    ///< A condition did not hold; read again, then decide.
    unavailable, ///< Nothing happened; a later try may work.
    ambiguous,   ///< It may or may not have happened.
    timeout,     ///< Nothing was asked of anyone before time ran out.
    exhausted,   ///< A budget, limit or queue is full.
    refused,     ///< The other side said no, before it did anything.
    canceled,    ///< The one who asked went away.
    too_large,   ///< The value does not fit.
    corrupt      ///< Stored or received bytes can't be read.
};

/// The stable name of a code, such as "not_found".
std::string_view to_string(error_code code);

/// A failure: its stable code, and a message for people.
struct error
{
    error_code code = error_code::invalid;
    std::string message;
};

template <class T>
using result = tl::expected<T, error>;

/// Result of an operation that yields nothing.
using status = tl::expected<void, error>;

/// Shorthand: return fail(error_code::invalid, "no team").
inline tl::unexpected<error> fail(error_code code, std::string message)
{
    return tl::unexpected<error>(error{code, std::move(message)});
}

} // namespace fennelladder

#endif
