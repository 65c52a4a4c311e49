#include "fennelladder/prepaid/record_keeper.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fennelladder::prepaid {

record_keeper::record_keeper(host_id self, std::string mark_prefix)
    : self_(std::move(self)), mark_prefix_(std::move(mark_prefix))
{}

void record_keeper::enter_era(const catalog::store_era& era, instant now)
{
    if (era <= era_)
        return;
    // A store without eras keeps no ledger: it loses nothing.
    if (era_ == catalog::store_era() && record_)
        ledger_.raise_total(record_->allotted, now);
    era_ = era;
    state_ = state::unread;
    in_doubt_.reset();
}

/// Whether nobody can have drawn from another record since this one.
bool record_keeper::is_current(const shown_record& read) const
{
    return read.record.epoch.era == era_ &&
           read.record.epoch.sequence >= ledger_.latest().sequence;
}

void record_keeper::learn_from(const shown_record& read, instant now)
{
    if (era_ == catalog::store_era())
        return;
    if (read.record.epoch == allotment_epoch())
        ledger_.raise_total(read.record.allotted, now);
    else
        ledger_.merge(ledger_of(read.record, now), now);
}

status record_keeper::accept(const shown_record& read, instant now)
{
    if (read.at.value() == 0)
        return fail(error_code::corrupt, "allotment record has no revision");
    if (read.at.era() < era_)
        return fail(error_code::conflict,
                    "allotment record is of an earlier era of the store");
    enter_era(read.at.era(), now);
    const bool was_read = record_ && record_era_ == era_;
    // A record of another epoch was begun by a node that knew other draws.
    const bool follows_on =
        was_read && (read.record.epoch == record_->epoch ||
                     read.record.epoch == allotment_epoch());
    if (follows_on && !may_follow(*record_, read.record))
        return fail(error_code::corrupt,
                    "allotment record shows less allotted than before");
    learn_from(read, now);
    at_ = read.at;
    if (!is_current(read)) {
        state_ = state::to_repair;
        return {};
    }
    const bool may_lack_draws = behind_ || state_ != state::usable ||
                                read.record.epoch != record_->epoch;
    state_ = state::usable;
    record_ = read.record;
    record_era_ = era_;
    behind_ = may_lack_draws && era_ != catalog::store_era() &&
              ledger_.exceeds(ledger_of(read.record, now));
    return {};
}

status record_keeper::accept_missing(const catalog::store_era& era, instant now)
{
    if (era < era_)
        return fail(error_code::conflict,
                    "answer of an earlier era of the store");
    enter_era(era, now);
    if (record_ && record_era_ == era_)
        return fail(error_code::not_found, "the record is gone");
    at_ = catalog::revision(0, era_);
    state_ = state::to_repair;
    return {};
}

bool record_keeper::learn(const std::vector<known_draw>& draws, instant now)
{
    bool news = false;
    for (const known_draw& it : draws)
        news |= ledger_.raise(it, now);
    behind_ |= news;
    return news;
}

record_write record_keeper::draft_repair(std::uint64_t nonce) const
{
    assert(needs_repair());
    record_write out;
    out.expected = at_;
    if (era_ != catalog::store_era())
        out.record =
            record_of(ledger_, {ledger_.latest().sequence + 1, nonce, era_});
    return out;
}

std::optional<record_write>
record_keeper::draft_withdrawal(const token_amounts& prepaid,
                                const token_amounts& requested)
{
    assert(is_usable());
    allotment_record base = *record_;
    if (behind_) {
        base = record_of(ledger_, record_->epoch);
        base.last_write = record_->last_write;
    }
    record_write out;
    out.mark = mark_prefix_ + std::to_string(writes_ + 1);
    out.expected = at_;
    auto draft = draft_allotment(base, prepaid, requested, self_, out.mark);
    if (draft.granted.empty() && !behind_)
        return std::nullopt;
    ++writes_;
    out.record = std::move(draft.record);
    out.granted = std::move(draft.granted);
    return out;
}

void record_keeper::note_in_doubt(const record_write& write)
{
    if (write.expected.era() == era_)
        in_doubt_ = write;
}

void record_keeper::add_claim(const record_write& write)
{
    const allotment_epoch& epoch = write.record.epoch;
    token_claim* last = nullptr;
    for (const auto& [team, amount] : write.granted) {
        if (last == nullptr || last->draws.size() == max_claim_draws) {
            last = &claims_.emplace_back();
            last->era = write.expected.era();
        }
        last->granted[team] = amount;
        last->draws.push_back(
            {epoch, team, drawn_in(write.record, epoch, team)});
    }
}

bool record_keeper::end_write(const record_write& write,
                              const std::optional<shown_record>& shown,
                              instant now)
{
    if (!shown || !accept(*shown, now)) {
        note_in_doubt(write);
        return false;
    }
    in_doubt_.reset();
    const bool took_effect = shown->at.era() == write.expected.era() &&
                             contains_write(shown->record, self_, write.mark);
    if (took_effect)
        add_claim(write);
    return took_effect;
}

bool record_keeper::resolve_in_doubt()
{
    assert(in_doubt_);
    if (is_usable() && contains_write(*record_, self_, in_doubt_->mark)) {
        const record_write done = *std::exchange(in_doubt_, std::nullopt);
        add_claim(done);
        return true;
    }
    // Once the revision has moved on in the same era, the write's condition can
    // no longer hold.
    if (at_ == in_doubt_->expected)
        return false;
    in_doubt_.reset();
    return true;
}

/// Whether all that is known to be drawn is within the prepaid tokens.
bool record_keeper::is_within(const token_claim& claim,
                              const token_amounts& prepaid) const
{
    return std::ranges::all_of(claim.draws, [&](const known_draw& it) {
        const auto most = prepaid.find(it.team);
        return most != prepaid.end() && ledger_.total(it.team) <= most->second;
    });
}

std::optional<token_claim>
record_keeper::take_claim(const token_amounts& prepaid)
{
    const auto it = std::ranges::find_if(claims_, [&](const token_claim& one) {
        return one.era == era_ && is_within(one, prepaid);
    });
    if (it == claims_.end())
        return std::nullopt;
    token_claim out = std::move(*it);
    claims_.erase(it);
    return out;
}

void record_keeper::return_claim(token_claim claim)
{
    claims_.push_back(std::move(claim));
}

/// Whether the record counts all of the claim's draws.
bool record_keeper::covers(const token_claim& claim) const
{
    return std::ranges::all_of(claim.draws, [&](const known_draw& it) {
        return drawn_in(*record_, it.epoch, it.team) >= it.amount;
    });
}

token_amounts record_keeper::take_covered_claims(const token_amounts& prepaid)
{
    token_amounts out;
    if (!is_usable() || is_behind() || claims_.empty())
        return out;
    std::erase_if(claims_, [&](const token_claim& it) {
        if (it.era == era_ || !covers(it) || !is_within(it, prepaid))
            return false;
        for (const auto& [team, amount] : it.granted)
            out[team] += amount;
        return true;
    });
    return out;
}

} // namespace fennelladder::prepaid
