// Applying a record costs two hash look-ups and one in the writer's kept
// verdicts, beside what the state takes. Encoding sorts writers by name, so
// that equal folds yield equal bytes.

#include "fennelladder/journal/fold.hpp"

#include "codec.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fennelladder::journal {

fold::fold(std::unique_ptr<folded_state> state) : state_(std::move(state))
{
    assert(state_ != nullptr);
}

bool fold::is_retired(const record_mark& mark) const
{
    if (retired_.contains(mark.writer))
        return true;
    return mark.opened_at < horizon_ && !writers_.contains(mark.writer);
}

std::optional<applied_record> fold::find(const record_mark& mark) const
{
    if (is_retired(mark))
        return applied_record{mark, record_outcome::retired, {}, true};
    const auto writer = writers_.find(mark.writer);
    if (writer == writers_.end())
        return std::nullopt;
    if (mark.sequence <= writer->second.floor)
        return applied_record{mark, record_outcome::repeated, {}, true};
    const auto kept = writer->second.kept.find(mark.sequence);
    if (kept == writer->second.kept.end())
        return std::nullopt;
    const auto outcome = kept->second.accepted ? record_outcome::accepted
                                               : record_outcome::refused;
    return applied_record{mark, outcome, kept->second.reply, true};
}

void fold::raise_floor(writer_marks& writer, std::uint64_t floor)
{
    if (floor <= writer.floor)
        return;
    writer.floor = floor;
    writer.kept.erase(writer.kept.begin(), writer.kept.upper_bound(floor));
}

applied_record fold::apply(const record& wish)
{
    const record_mark& mark = wish.mark;
    if (auto found = find(mark))
        return *std::move(found);
    // A sequence of 0 or one already acknowledged breaks the writer's side of
    // the contract; it can't be told from a repetition and counts as one.
    if (mark.sequence <= mark.acknowledged)
        return {mark, record_outcome::repeated, {}, true};
    verdict made = state_->apply(wish);
    writer_marks& writer = writers_[mark.writer];
    writer.opened_at = std::max(writer.opened_at, mark.opened_at);
    writer.kept[mark.sequence] = {made.accepted, made.reply};
    raise_floor(writer, mark.acknowledged);
    if (mark.sequence > mark_window)
        raise_floor(writer, mark.sequence - mark_window);
    if (made.accepted && !made.retires.empty())
        retire(made.retires);
    const auto outcome =
        made.accepted ? record_outcome::accepted : record_outcome::refused;
    return {mark, outcome, std::move(made.reply), false};
}

void fold::retire(const incarnation_id& writer)
{
    if (retired_.contains(writer))
        return;
    // A writer that never wrote here has begun at an unknown position, but
    // it can't have begun later than now unless it never sent anything yet.
    std::uint64_t opened_at = position_;
    if (const auto it = writers_.find(writer); it != writers_.end()) {
        opened_at = it->second.opened_at;
        writers_.erase(it);
    }
    remember_retired(writer, opened_at);
}

void fold::remember_retired(const incarnation_id& writer,
                            std::uint64_t opened_at)
{
    retired_.emplace(writer, opened_at);
    retired_order_.push_back(writer);
    if (retired_order_.size() <= retired_limit)
        return;
    const auto oldest = retired_.find(retired_order_.front());
    horizon_ = std::max(horizon_, oldest->second + 1);
    retired_.erase(oldest);
    retired_order_.pop_front();
}

std::string fold::encode() const
{
    wire::fold_state stored;
    stored.version = stored_version;
    stored.horizon = static_cast<std::int64_t>(horizon_);
    stored.writers.reserve(writers_.size());
    for (const auto& [name, marks] : writers_) {
        wire::writer_marks& writer = stored.writers.emplace_back();
        writer.incarnation = name.str();
        writer.opened_at = static_cast<std::int64_t>(marks.opened_at);
        writer.floor = static_cast<std::int64_t>(marks.floor);
        for (const auto& [sequence, kept] : marks.kept) {
            wire::kept_verdict& one = writer.kept.emplace_back();
            one.sequence = static_cast<std::int64_t>(sequence);
            one.accepted = kept.accepted;
            one.reply = kept.reply;
        }
    }
    std::ranges::sort(stored.writers, {}, &wire::writer_marks::incarnation);
    for (const incarnation_id& name : retired_order_) {
        wire::retired_writer& writer = stored.retired.emplace_back();
        writer.incarnation = name.str();
        writer.opened_at = static_cast<std::int64_t>(retired_.at(name));
    }
    stored.state = state_->encode();
    return pack(0, stored);
}

status fold::decode(std::string_view bytes)
{
    wire::fold_state stored;
    if (auto ok = unpack(bytes, stored); !ok)
        return ok;
    if (stored.retired.size() > retired_limit)
        return fail(error_code::corrupt, "too many retired writers");
    horizon_ = static_cast<std::uint64_t>(stored.horizon);
    for (const wire::writer_marks& it : stored.writers) {
        writer_marks& writer = writers_[incarnation_id(it.incarnation)];
        writer.opened_at = static_cast<std::uint64_t>(it.opened_at);
        writer.floor = static_cast<std::uint64_t>(it.floor);
        for (const wire::kept_verdict& kept : it.kept) {
            const auto sequence = static_cast<std::uint64_t>(kept.sequence);
            if (sequence <= writer.floor)
                return fail(error_code::corrupt, "verdict below the floor");
            writer.kept[sequence] = {kept.accepted, kept.reply};
        }
    }
    for (const wire::retired_writer& it : stored.retired) {
        const incarnation_id name(it.incarnation);
        if (writers_.contains(name) || retired_.contains(name))
            return fail(error_code::corrupt, "writer retired twice");
        remember_retired(name, static_cast<std::uint64_t>(it.opened_at));
    }
    return state_->decode(stored.state);
}

} // namespace fennelladder::journal
