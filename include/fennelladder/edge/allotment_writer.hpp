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
// prepaid/allotment_record.hpp). What a write withdrew is credited once other
// nodes know of it (edge/draw_exchange.hpp).
//
// After the store was restored from an older copy, refresh() repairs the record
// before anybody withdraws (see prepaid/record_keeper.hpp).
//
// A record that cannot be decoded is neither withdrawn from nor overwritten.
// The last valid record stays cached, the node spends its current balance, and
// each later refresh() reads the record again.
//
// Not thread safe; only one call may be in progress at a time.

#ifndef FENNELLADDER_EDGE_ALLOTMENT_WRITER_HPP
#define FENNELLADDER_EDGE_ALLOTMENT_WRITER_HPP

#include "fennelladder/edge/draw_exchange.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/platform_client.hpp"
#include "fennelladder/prepaid/record_keeper.hpp"
#include "platform/object_codec.hpp"

#include <functional>
#include <optional>

namespace fennelladder::edge {

class allotment_writer
{
public:
    /// Receives the granted amounts, once for each write that took effect.
    using receiver = std::function<void(const prepaid::token_amounts&)>;

    /// `draws` reaches the other nodes; null if there are none.
    allotment_writer(node_tables& tables, platform_client& client,
                     receiver credit, draw_exchange* draws = nullptr);

    /// Resolves a write that is in doubt; otherwise reads the record if it is
    /// unknown or was read more than `max_age` ago, and repairs it if it is of
    /// an earlier era. Returns false if a call failed, a write is still in
    /// doubt, or other nodes have to be heard before the repair.
    awaitable<bool> refresh(duration max_age);

    /// Credits what was withdrawn before and other nodes know of by now.
    awaitable<void> credit_claims();

    /// Whether the last refresh() failed only because other nodes have to be
    /// heard.
    bool waits_for_nodes() const { return waits_for_nodes_; }

    /// Whether the record lacks draws that this node knows of.
    bool is_behind() const { return keeper_.is_behind(); }

    /// Withdraws as much of `requested` as remains. Returns false if the write
    /// is not known to have taken effect. Precondition: refresh() returned
    /// true.
    awaitable<bool> withdraw(const prepaid::token_amounts& requested);

    /// The record as last read or written; unset before the first success.
    const std::optional<prepaid::allotment_record>& record() const
    {
        return keeper_.record();
    }

    /// Whether the outcome of a write is unknown.
    bool in_doubt() const { return keeper_.in_doubt().has_value(); }

    /// Prepaid tokens of each team in the active configuration.
    /// Precondition: a configuration is active.
    prepaid::token_amounts prepaid_totals() const;

private:
    awaitable<bool> read_record();
    awaitable<bool> write(const prepaid::record_write& pending);
    awaitable<bool> resolve_in_doubt();
    awaitable<bool> repair();
    prepaid::token_amounts
    remaining_after(const prepaid::token_amounts& granted) const;
    awaitable<void> back_off_after_conflict(int conflicts);
    void credit(const prepaid::token_amounts& granted);
    result<prepaid::shown_record> decode(const platform_reply& reply) const;
    bool accept(const result<prepaid::shown_record>& read);
    void log_outdated();
    void report_unreadable(catalog::revision changed, const error& cause);

    node_tables& tables_;
    platform_client& client_;
    receiver credit_;
    draw_exchange* draws_;
    prepaid::record_keeper keeper_;
    instant record_read_at_;
    bool waits_for_nodes_ = false;
    catalog::store_era logged_outdated_;
};

} // namespace fennelladder::edge

#endif
