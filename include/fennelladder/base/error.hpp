// Error codes, and results that hold either a value or an error.
//
// A function that can fail returns result<T>. The code is stable: API clients
// and tests rely on it. The message is for people.
//
//     result<stored_object> got = store.get(key);
//     if (!got && got.error().code == error_code::not_found)
//         return create();
//
// `ambiguous` needs special care: the operation may or may not have taken
// effect, so the caller has to read the state back before it does anything
// else.

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
    invalid,     ///< The input is wrong; a retry won't help.
    not_found,   ///< The object does not exist.
    conflict,    ///< A precondition failed; read again, then decide.
    unavailable, ///< No effect took place; a retry may succeed.
    ambiguous,   ///< The effect may or may not have taken place.
    timeout,     ///< The deadline passed before anything was sent.
    exhausted,   ///< A budget, limit or queue is full.
    refused,     ///< The peer declined, without any effect.
    canceled,    ///< The requester went away.
    too_large,   ///< The value does not fit.
    corrupt      ///< Stored or received bytes can't be decoded.
};

/// The stable name of a code, such as "not_found".
std::string_view to_string(error_code code);

/// An error: a stable code, and a message for people.
struct error
{
    error_code code = error_code::invalid;
    std::string message;
};

template <class T>
using result = tl::expected<T, error>;

/// Result of an operation without a return value.
using status = tl::expected<void, error>;

/// Shorthand: return fail(error_code::invalid, "no team").
inline tl::unexpected<error> fail(error_code code, std::string message)
{
    return tl::unexpected<error>(error{code, std::move(message)});
}

} // namespace fennelladder

#endif
