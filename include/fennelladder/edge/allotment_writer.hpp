// Withdraws tokens from the allotment record that the platform stores.
//
//     allotment_writer writer(tables, client, [&](const token_amounts& got) {
//         ... credit the token balance ...
//     });
//     if (co_await writer.refresh(max_age))
//         co_await writer.withdraw(requested);
//
// A write whose reply was lost is in doubt. No other write is sent until
// refresh() has found out whether it took effect (see
// prepaid/allotment_record.hpp).
//
// A record that cannot be decoded is neither withdrawn from nor overwritten.
// The last valid record stays cached, the node spends its current balance, and
// each later refresh() reads the record again.
//
// Not thread safe; only one call may be in progress at a time.

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
    /// Receives the granted amounts, once for each write that took effect.
    using receiver = std::function<void(const prepaid::token_amounts&)>;

    allotment_writer(node_tables& tables, platform_client& client,
                     receiver credit);

    /// Resolves a write that is in doubt; otherwise reads the record if it is
    /// unknown or was read more than `max_age` ago. Returns false if a call
    /// failed or a write is still in doubt.
    awaitable<bool> refresh(duration max_age);

    /// Withdraws as much of `requested` as remains. Returns false if the write
    /// is not known to have taken effect. Precondition: refresh() returned
    /// true.
    awaitable<bool> withdraw(const prepaid::token_amounts& requested);

    /// The record as last read or written; unset before the first success.
    const std::optional<prepaid::allotment_record>& record() const
    {
        return record_;
    }

    /// Whether the outcome of a write is unknown.
    bool in_doubt() const { return in_doubt_.has_value(); }

    /// Prepaid tokens of each team in the active configuration.
    /// Precondition: a configuration is active.
    prepaid::token_amounts prepaid_totals() const;

private:
    /// A write without a reply. It took effect if its mark appears in the
    /// record, and never will once another revision without the mark is read.
    struct in_doubt_write
    {
        prepaid::allotment_draft draft;
        prepaid::write_id mark;
        catalog::revision expected;
    };

    awaitable<bool> read_record();
    awaitable<bool> create_record();
    awaitable<bool> write(const in_doubt_write& pending);
    awaitable<bool> resolve_in_doubt();
    prepaid::token_amounts
    remaining_after(const prepaid::token_amounts& granted) const;
    awaitable<void> back_off_after_conflict(int conflicts);
    void credit(const prepaid::token_amounts& granted);
    bool accept_record(const adapter::stored_object& object);
    void report_unreadable(catalog::revision changed, const error& cause);

    node_tables& tables_;
    platform_client& client_;
    receiver credit_;
    std::optional<prepaid::allotment_record> record_;
    catalog::revision record_revision_;
    instant record_read_at_;
    std::optional<in_doubt_write> in_doubt_;
    std::uint64_t writes_ = 0;
};

} // namespace fennelladder::edge

#endif
