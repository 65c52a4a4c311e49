// xxHash's streaming state keeps at most one block of bytes and can be
// digested at any point without being ended, which is what a running digest
// needs.

#include "fennelladder/base/hash.hpp"
#include "fennelladder/history/event.hpp"

#include <new>
#include <xxhash.h>

namespace fennelladder::history {

struct answer_digest::state
{
    state() : hash(XXH3_createState())
    {
        if (hash == nullptr)
            throw std::bad_alloc();
        XXH3_64bits_reset(hash);
    }

    ~state() { XXH3_freeState(hash); }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    XXH3_state_t* hash;
};

answer_digest::answer_digest() : state_(std::make_unique<state>())
{}
answer_digest::~answer_digest() = default;
answer_digest::answer_digest(answer_digest&&) noexcept = default;
answer_digest& answer_digest::operator=(answer_digest&&) noexcept = default;

void answer_digest::add(std::string_view bytes)
{
    XXH3_64bits_update(state_->hash, bytes.data(), bytes.size());
    size_ += bytes.size();
}

std::string answer_digest::text() const
{
    return "run:" + to_hex(XXH3_64bits_digest(state_->hash));
}

} // namespace fennelladder::history
