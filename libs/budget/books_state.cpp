// A thin layer: reads the payload, folds it, and writes the outcome as reply.

#include "fennelladder/budget/books_state.hpp"

#include <memory>

namespace fennelladder::budget {

journal::verdict books_state::apply(const journal::record& wish)
{
    journal::verdict made;
    const auto body = decode_record(wish.payload);
    if (!body) {
        made.reply = encode_outcome({});
        return made;
    }
    const outcome folded = books_.apply(wish.mark.writer, *body);
    made.accepted =
        folded.what != verdict::refused && folded.what != verdict::invalid;
    made.reply = encode_outcome(folded);
    made.retires = folded.gone;
    return made;
}

journal::state_factory books_factory(const books_options& options)
{
    return [options] { return std::make_unique<books_state>(options); };
}

int record_type(const record_body& body)
{
    return static_cast<int>(body.index()) + 1;
}

const budget_books& books_of(const journal::folded_state& state)
{
    return dynamic_cast<const books_state&>(state).books();
}

} // namespace fennelladder::budget
