// Takes tokens out of the platform's record of allotments.
//
//     allotment_writer writer(tables, client, [&](const token_amounts& got) {
//         ... credit the purse ...
//     });
//     if (co_await writer.refresh(most_age))
//         co_await writer.withdraw(wishes);
//
// A write whose reply was lost is in doubt: nothing else is written until it
// is known whether it took effect. refresh() finds out (see
// prepaid/allotment_record.hpp).
//
// A record that can't be read is left as it is: nothing is taken out of it or
// written over it, the last good one stays known, and the purse lives on what
// it has. It is read again by each refresh() that follows.
//
// Not thread safe; one call at a time.

#ifndef FENNELLADDER_EDGE_ALLOTMENT_WRITER_HPP
#define FENNELLADDER_EDGE_ALLOTMENT_WRITER_HPP

#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/platform_client.hpp"
#include "fennelladder/prepaid/allotment_record.hpp"
#include "platform/object_codec.hpp"

#include <functional>
#include <optional>

namespace fennelladder::edge {

class allotment_writer
{
public:
    /// Gets what was taken out, once for each write that took effect.
    using receiver = std::function<void(const prepaid::token_amounts&)>;

    allotment_writer(node_tables& tables, platform_client& client,
                     receiver credit);

    /// Settles what is in doubt; reads the record if it isn't known or was
    /// read longer than `most_age` ago. False when a call failed, or when
    /// something is still in doubt.
    awaitable<bool> refresh(duration most_age);

    /// Takes out as much of `wishes` as is left. False when it isn't known
    /// to have taken effect. Precondition: refresh() was true.
    awaitable<bool> withdraw(const prepaid::token_amounts& wishes);

    /// The record as last read or written; unset until then.
    const std::optional<prepaid::allotment_record>& record() const
    {
        return record_;
    }

    bool in_doubt() const { return doubt_.has_value(); }

    /// What each team has prepaid by the configuration in force.
    /// Precondition: there is one.
    prepaid::token_amounts prepaid_totals() const;

private:
    /// A write without a reply: either its mark turns up in the record, or
    /// another revision without it does.
    struct doubtful_write
    {
        prepaid::allotment_draft draft;
        prepaid::write_mark mark;
        catalog::revision expected;
    };

    awaitable<bool> read_record();
    awaitable<bool> create_record();
    awaitable<bool> write(const doubtful_write& wanted);
    awaitable<bool> resolve_doubt();
    prepaid::token_amounts
    left_after(const prepaid::token_amounts& granted) const;
    awaitable<void> pause_after_conflict(int conflicts);
    void credit(const prepaid::token_amounts& granted);
    bool adopt(const adapter::stored_object& object);
    void note_unreadable(catalog::revision changed, const error& cause);

    node_tables& tables_;
    platform_client& client_;
    receiver credit_;
    std::optional<prepaid::allotment_record> record_;
    catalog::revision record_revision_;
    instant record_read_;
    std::optional<doubtful_write> doubt_;
    std::uint64_t writes_ = 0;
};

} // namespace fennelladder::edge

#endif
