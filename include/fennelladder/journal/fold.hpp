// The fold of a shard: a state behind the layer that passes over repetitions.
//
//     fold books(make());
//     applied_record first = books.apply(wish);
//     applied_record again = books.apply(wish); // same outcome, found set
//
// How marks stay bounded. Per writer the fold keeps a floor and the verdicts
// of records above it; all at or below the floor count as repetitions. The
// floor rises with what the writer acknowledged, and it is never more than
// mark_window behind the writer's latest record. A writer that retires
// (returned all on shutdown, or reclaimed on proof) leaves its name only, and
// of names the latest retired_limit are kept. When one more is dropped, the
// horizon rises above the position at which that writer had begun: a writer
// the fold doesn't know counts as retired when it began before the horizon.
// So an old record can't come back to life, however late it arrives, and no
// clock is asked. With 57 restarts a day a name is kept for 71 days; a node
// that first writes to a shard later than that after opening it is told
// `retired` and opens it anew under a new incarnation.

#ifndef FENNELLADDER_JOURNAL_FOLD_HPP
#define FENNELLADDER_JOURNAL_FOLD_HPP

#include "fennelladder/journal/folded_state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace fennelladder::journal {

/// Not thread safe.
class fold
{
public:
    /// Precondition: `state` is not null.
    explicit fold(std::unique_ptr<folded_state> state);

    /// Applies one record, or passes over it and says what became of it.
    applied_record apply(const record& wish);

    /// What became of a record if it counted, or can't count any more;
    /// nothing when apply() would give it to the state.
    std::optional<applied_record> find(const record_mark& mark) const;

    const folded_state& state() const { return *state_; }

    /// Position of the log up to which records were applied; grows.
    std::uint64_t position() const { return position_; }
    void set_position(std::uint64_t position) { position_ = position; }

    /// Writers whose marks are kept, and retired names.
    std::size_t writers() const { return writers_.size(); }
    std::size_t retired_writers() const { return retired_.size(); }

    /// Bytes from which decode() makes an equal fold (but for the position).
    std::string encode() const;

    /// Call on a new fold only. Fails with `corrupt`.
    status decode(std::string_view bytes);

private:
    struct kept_verdict
    {
        bool accepted = false;
        std::string reply;
    };

    // Invariant: every key of `kept` is above `floor`.
    struct writer_marks
    {
        std::uint64_t opened_at = 0;
        std::uint64_t floor = 0;
        std::map<std::uint64_t, kept_verdict> kept;
    };

    void raise_floor(writer_marks& writer, std::uint64_t floor);
    void retire(const incarnation_id& writer);
    void remember_retired(const incarnation_id& writer,
                          std::uint64_t opened_at);
    bool is_retired(const record_mark& mark) const;

    std::unique_ptr<folded_state> state_;
    std::uint64_t position_ = 0;
    std::unordered_map<incarnation_id, writer_marks> writers_;

    // Invariant: retired_ and retired_order_ name the same writers, none of
    // which is in writers_.
    std::unordered_map<incarnation_id, std::uint64_t> retired_;
    std::deque<incarnation_id> retired_order_;
    std::uint64_t horizon_ = 0;
};

} // namespace fennelladder::journal

#endif
