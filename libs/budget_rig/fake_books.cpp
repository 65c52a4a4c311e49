// A flush is one write of the platform, whatever it carries. Wishes of one
// sender stay in order; a sender that can't be reached keeps its place.

#include "fennelladder/budget_rig/fake_books.hpp"

#include <algorithm>

namespace fennelladder::budget_rig {

using namespace budget;

fake_books::fake_books(int shards)
{
    const auto make = books_factory();
    for (int n = 0; n < shards; ++n)
        folds_.push_back(std::make_unique<journal::fold>(make()));
    queues_.resize(static_cast<std::size_t>(shards));
}

void fake_books::send(const incarnation_id& sender, book_wish wish)
{
    const int shard = static_cast<int>(wish.shard.value());
    writer_state& writer = writers_[{sender, shard}];
    journal::record_mark mark;
    mark.writer = sender;
    mark.sequence = ++writer.last;
    queues_[static_cast<std::size_t>(shard)].push_back({mark, std::move(wish)});
}

std::vector<fake_reply>
fake_books::flush(int shard,
                  const std::function<bool(const incarnation_id&)>& may,
                  bool lose_reply)
{
    auto& queue = queues_[static_cast<std::size_t>(shard)];
    journal::fold& fold = *folds_[static_cast<std::size_t>(shard)];
    std::vector<fake_reply> made;
    std::deque<queued> kept;
    std::size_t n = 0;
    for (queued& it : queue) {
        if (!may(it.mark.writer)) {
            kept.push_back(std::move(it));
            continue;
        }
        writer_state& writer = writers_[{it.mark.writer, shard}];
        it.mark.acknowledged = writer.acknowledged;
        journal::record sent{it.mark, record_type(it.wish.body),
                             encode_record(it.wish.body)};
        bytes_ += sent.payload.size() + 8;
        ++records_;
        ++n;
        const journal::applied_record end = fold.apply(sent);
        if (lose_reply) {
            kept.push_back(std::move(it));
            continue;
        }
        writer.acknowledged = it.mark.sequence;
        fake_reply reply{it.mark.writer, std::move(it.wish), std::nullopt};
        if (const auto read = decode_outcome(end.reply))
            reply.made = *read;
        made.push_back(std::move(reply));
    }
    writes_ += n > 0 ? 1 : 0;
    queue = std::move(kept);
    return made;
}

void fake_books::forget(const incarnation_id& sender)
{
    for (auto& queue : queues_) {
        std::erase_if(queue, [&sender](const queued& it) {
            return it.mark.writer == sender;
        });
    }
}

const budget_books& fake_books::of(int shard) const
{
    return books_of(folds_[static_cast<std::size_t>(shard)]->state());
}

} // namespace fennelladder::budget_rig
