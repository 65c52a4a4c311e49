// What a shard's records add up to; the user of the journal implements it.
//
//     class counter final : public folded_state { ... };
//     state_factory make = [] { return std::make_unique<counter>(); };

#ifndef FENNELLADDER_JOURNAL_FOLDED_STATE_HPP
#define FENNELLADDER_JOURNAL_FOLDED_STATE_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/journal/record.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fennelladder::journal {

/// A deterministic state: equal states given equal records stay equal, on
/// every machine and in every process. So neither time, nor random numbers,
/// nor the order of a hash table may show in verdict, reply or encoding.
/// Not thread safe; the journal calls it from one thread at a time.
class folded_state
{
public:
    virtual ~folded_state() = default;

    /// Applies a record that was not applied before. A payload that can't be
    /// read is refused, never an error: it is in the log for good.
    virtual verdict apply(const record& wish) = 0;

    /// All of the state; equal states yield equal bytes. May be many
    /// megabytes: the journal cuts it up.
    virtual std::string encode() const = 0;

    /// Takes over what encode() gave. Called on a new state only. Fails with
    /// `corrupt`.
    virtual status decode(std::string_view bytes) = 0;
};

/// Makes an empty state. Thread safe.
using state_factory = std::function<std::unique_ptr<folded_state>()>;

} // namespace fennelladder::journal

#endif
