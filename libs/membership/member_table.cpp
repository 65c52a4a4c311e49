// Merging and health; member_sending.cpp has the probes and messages.
//
// The order of versions makes merging commutative and idempotent, so messages
// may be lost, doubled and reordered. Two rules differ from plain SWIM:
//
// - Nobody takes over a death from others. A death heard of is a suspicion,
//   and the member has `suspicion` to object to each node. Two halves of a
//   fleet that meet again after an hour have called each other dead; with the
//   death taken over at its word, the old news would empty both halves.
// - Disagreement is settled by asking the member itself (question()): when
//   another node's table has a member alive that ours calls dead, or lacks one
//   that ours has.
//
// Tables are compared by a digest on every message. When it keeps differing
// the table is read page by page from whoever is probed next.

#include "fennelladder/membership/member_table.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace fennelladder::membership {

namespace {

namespace event = telemetry::event;

constexpr std::size_t max_events = 64;
constexpr std::size_t max_questions = 16;
constexpr duration relay_memory = seconds(2);
constexpr duration raise_pause = milliseconds(500);
constexpr duration namesake_pause = seconds(10);
constexpr std::uint64_t tolerated_namesakes = 3;
constexpr std::uint32_t max_flaps = 16;
// Messages with another digest before the table is read anew: more than news
// needs to reach everyone.
constexpr int tolerated_mismatches = 8;
// Messages in a row with our own digest before news is no longer passed on.
constexpr int enough_agreements = 4;

std::uint64_t contribution(const member& row)
{
    const std::uint64_t seed =
        2 * row.version + (row.health == member_health::suspect ? 1 : 0);
    return row.up() && row.described ? hash64(row.host.str(), seed) : 0;
}

} // namespace

member_table::member_table(host_id self, member_description description,
                           std::uint64_t version, const member_options& options,
                           random_source random)
    : options_(options), random_(random)
{
    assert(!self.empty() && version > 0);
    self_.host = std::move(self);
    self_.version = version;
    self_.health = member_health::alive;
    self_.life_tag = life_tag(description.life);
    self_.description = std::move(description);
    self_.described = true;
    self_.sample.host = self_.host;
}

void member_table::report(int number, const host_id& host)
{
    if (events_.size() < max_events)
        events_.push_back({number, host});
}

std::vector<member_event> member_table::take_events()
{
    return std::exchange(events_, {});
}

member* member_table::find(const host_id& host)
{
    const auto it = members_.find(host);
    return it == members_.end() ? nullptr : &it->second;
}

void member_table::set_host_list(const std::vector<listed_host>& hosts,
                                 instant now)
{
    seeds_.clear();
    for (auto& [host, row] : members_) {
        row.listed = false;
        row.leaving = false;
    }
    self_.listed = false;
    self_.leaving = false;
    for (const listed_host& it : hosts) {
        if (it.host.empty()) {
            seeds_.push_back(it.peer_address);
            continue;
        }
        member* row = &self_;
        if (it.host != self_.host) {
            row = find(it.host);
            if (row == nullptr && members_.size() >= options_.max_members)
                continue;
            if (row == nullptr) {
                row = &members_[it.host];
                row->host = it.host;
                row->description.data_center = it.data_center;
                row->description.region = it.region;
                row->changed_at = now;
            }
        }
        row->listed = true;
        row->leaving = it.leaving;
        row->listed_address = it.peer_address;
    }
    ++revision_;
}

void member_table::set_state(member_state state, instant now)
{
    if (state == self_.state || self_.state == member_state::gone)
        return;
    self_.state = state;
    ++self_.version;
    changed(self_, now);
    news_ = true;
}

void member_table::set_load(std::uint32_t thousandths, instant now)
{
    self_.sample.load = thousandths;
    self_.sampled_at = now;
}

void member_table::set_generations(generation highest, generation in_force,
                                   instant /*now*/)
{
    // Whoever has just got the parts says so: others can now fetch them here.
    news_ = news_ || in_force > self_.sample.in_force;
    self_.sample.in_force = in_force;
    note_generation(highest, host_id());
}

void member_table::set_extension(std::string bytes)
{
    self_.extension = std::move(bytes);
    if (self_.extension.size() > options_.extension_limit)
        self_.extension.clear();
}

void member_table::note_generation(generation seen, const host_id& from)
{
    if (seen <= highest_)
        return;
    highest_ = seen;
    generation_source_ = from;
    news_ = true;
}

void member_table::changed(member& row, instant now)
{
    row.changed_at = now;
    ++revision_;
    digest_stale_ = true;
    fingers_stale_ = true;
}

std::uint64_t member_table::digest()
{
    if (!digest_stale_)
        return digest_;
    digest_ = contribution(self_);
    for (const auto& [host, row] : members_)
        digest_ ^= contribution(row);
    digest_stale_ = false;
    return digest_;
}

// Receiving.

heartbeat_reply member_table::receive(const heartbeat& message, instant now)
{
    note_start(now);
    take_gossip(message.gossip, now);
    const host_id& from = message.gossip.sender.host;
    for (const host_id& it : message.heard)
        std::erase_if(probes_, [&](const probe& p) { return p.host == it; });
    if (message.relay_target && relays_.size() < max_questions &&
        find(*message.relay_target) != nullptr) {
        relays_.push_back({*message.relay_target, from, now});
        send(*message.relay_target, {}, now);
    }
    heartbeat_reply out;
    member* row = find(from);
    out.gossip = make_gossip(from, message.describe, now);
    if (message.gossip.digest != digest())
        add_recent(out.gossip);
    out.describe = row != nullptr && !row->described;
    if (row != nullptr && message.describe)
        row->knows_us = true;
    if (message.page_after)
        fill_page(message, out);
    return out;
}

void member_table::receive_reply(const heartbeat_reply& reply, instant now)
{
    const host_id& from = reply.gossip.sender.host;
    take_gossip(reply.gossip, now);
    answered(from, now);
    member* row = find(from);
    if (reply.describe && row != nullptr && spend_allowance(1)) {
        row->knows_us = false;
        send(from, {}, now);
    }
    if (reply.page_after)
        take_page(reply, now);
}

void member_table::take_gossip(const gossip& from, instant now)
{
    const host_id& sender = from.sender.host;
    if (sender == self_.host) {
        merge(from.sender, source::rumor, now);
        return;
    }
    merge(from.sender, source::itself, now);
    if (member* row = find(sender)) {
        row->heard_at = now;
        row->reachable = true;
        if (from.extension.size() <= options_.extension_limit)
            row->extension = from.extension;
    }
    merge_sample(from.sample, now);
    for (const member_update& it : from.updates)
        merge(it, source::rumor, now);
    for (const member_sample& it : from.samples)
        merge_sample(it, now);
    note_generation(from.highest_generation, sender);
    if (from.sample.in_force >= highest_)
        generation_source_ = sender;
    note_digest(from.digest, now);
}

void member_table::note_digest(std::uint64_t other, instant /*now*/)
{
    if (other == digest()) {
        // The other one knows all that we do. After a few of them everyone
        // does, nearly; those who don't will find their digest differs.
        ++agreements_;
        if (agreements_ >= enough_agreements) {
            rumors_.clear();
            questions_.clear();
        }
        mismatches_ = 0;
        synced_ = true;
        page_cursor_.reset();
        return;
    }
    agreements_ = 0;
    ++mismatches_;
    if (mismatches_ >= tolerated_mismatches && !page_cursor_)
        page_cursor_ = host_id();
}

void member_table::merge_sample(const member_sample& sample, instant now)
{
    member* row = find(sample.host);
    if (row == nullptr || sample.sequence <= row->sample.sequence)
        return;
    row->sample = sample;
    row->sampled_at = now;
}

// Merging.

void member_table::merge(const member_update& update, source from, instant now)
{
    if (update.host == self_.host)
        object_to(update, now);
    else
        merge_other(update, from, now);
}

// Guards against being called dead while alive (lost messages, a pause, a
// partition) and against a version of an earlier life that is above ours (the
// host was replaced by one whose clock is behind): in both cases the others
// would pass over what we say until our version is above the rumour's.
void member_table::object_to(const member_update& update, instant now)
{
    const bool namesake = update.life_tag != self_.life_tag;
    const bool rumor_holds =
        update.version > self_.version ||
        (update.version == self_.version &&
         (namesake || update.health != member_health::alive));
    if (!rumor_holds || self_.state == member_state::gone)
        return;
    // Two live processes under one host name outbid each other for ever;
    // after some tries they do so slowly.
    const bool endless = counters_.namesakes > tolerated_namesakes;
    const duration pause = endless ? namesake_pause : raise_pause;
    if (counters_.objections > 0 && now - raised_at_ < pause)
        return;
    if (namesake) {
        ++counters_.namesakes;
        report(event::host_name_doubled, self_.host);
    }
    ++counters_.objections;
    raised_at_ = now;
    self_.version = update.version + 1;
    changed(self_, now);
    news_ = true;
}

void member_table::merge_other(const member_update& update, source from,
                               instant now)
{
    member* row = find(update.host);
    const bool down = update.health == member_health::dead ||
                      update.state == member_state::gone;
    const bool unknown = row == nullptr || row->version == 0;
    if (unknown && down)
        return;
    if (row == nullptr) {
        if (members_.size() >= options_.max_members)
            return;
        row = &members_[update.host];
        row->host = update.host;
    }
    if (update.version < row->version)
        return;
    if (update.version > row->version || update.life_tag > row->life_tag) {
        adopt(*row, update, now);
        if (from != source::page)
            spread(update.host, unknown || update.description.has_value());
        return;
    }
    if (update.life_tag < row->life_tag)
        return;
    if (!row->described && update.description) {
        row->description = *update.description;
        row->described = true;
        ++revision_;
        digest_stale_ = true;
        fingers_stale_ = true;
    }
    if (update.health > row->health && row->health == member_health::alive) {
        suspect(*row, now);
        spread(update.host, false);
    }
    const bool disagrees = row->health == member_health::dead &&
                           update.health == member_health::alive;
    if (disagrees && from != source::itself)
        question(update.host);
}

void member_table::adopt(member& row, const member_update& update, instant now)
{
    const bool new_life = row.life_tag != update.life_tag;
    const bool returned = row.version > 0 && !new_life &&
                          row.health != member_health::alive &&
                          update.health == member_health::alive;
    row.version = update.version;
    row.state = update.state;
    row.life_tag = update.life_tag;
    if (new_life) {
        row.described = false;
        row.knows_us = false;
        row.sample = {row.host, 0, 0, {}};
    }
    if (update.description &&
        life_tag(update.description->life) == update.life_tag) {
        row.description = *update.description;
        row.described = true;
    }
    if (!row.described)
        question(row.host);
    if (returned) {
        report(event::member_returned, row.host);
        row.flaps = std::min(row.flaps + 1, max_flaps);
        row.flapped_at = now;
    }
    row.reachable = true;
    row.health = member_health::alive;
    changed(row, now);
    if (update.health != member_health::alive)
        suspect(row, now);
}

// Pages.

void member_table::fill_page(const heartbeat& asked, heartbeat_reply& out) const
{
    const std::size_t limit =
        std::min<std::size_t>(asked.page_limit, options_.page_limit);
    out.page_after = asked.page_after;
    bool self_pending = self_.host > *asked.page_after;
    for (auto it = members_.upper_bound(*asked.page_after);; ++it) {
        const bool end = it == members_.end();
        if (self_pending && (end || self_.host < it->first)) {
            self_pending = false;
            if (out.page.size() >= limit)
                return;
            out.page.push_back(update_of(self_, true));
        }
        if (end)
            break;
        if (!it->second.up())
            continue;
        if (out.page.size() >= limit)
            return;
        out.page.push_back(update_of(it->second, true));
    }
    out.page_last = true;
}

void member_table::take_page(const heartbeat_reply& reply, instant now)
{
    if (reply.page_after != page_cursor_)
        return;
    for (const member_update& it : reply.page)
        merge(it, source::page, now);
    note_absent(reply);
    if (reply.page_last || reply.page.empty()) {
        synced_ = true;
        page_cursor_.reset();
        mismatches_ = 0;
        return;
    }
    page_cursor_ = reply.page.back().host;
    if (synced_)
        return;
    heartbeat next;
    next.page_after = page_cursor_;
    next.page_limit = static_cast<std::uint32_t>(options_.page_limit);
    send(reply.gossip.sender.host, std::move(next), now);
}

// A member that we think up and the other doesn't may have died without the
// news reaching us, and we may be probing it too seldom to notice.
void member_table::note_absent(const heartbeat_reply& reply)
{
    auto it = members_.upper_bound(*reply.page_after);
    for (; it != members_.end(); ++it) {
        if (!reply.page_last &&
            (reply.page.empty() || it->first > reply.page.back().host))
            return;
        const bool there =
            std::ranges::any_of(reply.page, [&](const member_update& u) {
                return u.host == it->first;
            });
        if (it->second.up() && !there)
            question(it->first);
    }
}

void member_table::question(const host_id& host)
{
    const bool asked = std::ranges::find(questions_, host) != questions_.end();
    if (!asked && questions_.size() < max_questions)
        questions_.push_back(host);
}

// Health.

void member_table::suspect(member& row, instant now)
{
    report(event::member_suspected, row.host);
    row.health = member_health::suspect;
    row.suspected_until = now + options_.suspicion;
    changed(row, now);
}

// Guards against blaming others for our own absence: after a pause (stopped
// process, stalled machine) every probe looks unanswered and every suspicion
// looks unrefuted, though the answers may lie unread.
void member_table::forget_own_pause(instant now)
{
    const bool paused = now - last_tick_ > options_.pause_limit;
    last_tick_ = now;
    if (!paused)
        return;
    ++counters_.pauses;
    report(event::node_was_paused, self_.host);
    probes_.clear();
    relays_.clear();
    for (auto& [host, row] : members_) {
        if (row.health == member_health::suspect)
            row.suspected_until = now + options_.suspicion;
    }
}

void member_table::expire(instant now)
{
    std::erase_if(relays_, [&](const relay& it) {
        return now - it.since > relay_memory;
    });
    for (auto it = members_.begin(); it != members_.end();) {
        member& row = it->second;
        expire_row(row, now);
        const bool forget = !row.up() && !row.listed &&
                            now - row.changed_at > options_.forget_after;
        it = forget ? members_.erase(it) : std::next(it);
    }
}

void member_table::expire_row(member& row, instant now)
{
    if (row.health == member_health::suspect && now >= row.suspected_until) {
        row.health = member_health::dead;
        ++counters_.deaths;
        report(event::member_died, row.host);
        changed(row, now);
    }
    if (row.flaps > 0 && now - row.flapped_at > options_.flap_memory) {
        --row.flaps;
        row.flapped_at = now;
    }
}

void member_table::answered(const host_id& host, instant now)
{
    last_answer_ = now;
    std::erase_if(probes_, [&](const probe& it) { return it.host == host; });
    std::vector<host_id> askers;
    for (const relay& it : relays_) {
        if (it.target == host)
            askers.push_back(it.asker);
    }
    std::erase_if(relays_, [&](const relay& it) { return it.target == host; });
    for (const host_id& it : askers) {
        heartbeat message;
        message.heard.push_back(host);
        send(it, std::move(message), now);
    }
}

// Questions.

std::vector<host_id> member_table::holders(generation wanted,
                                           std::size_t limit) const
{
    std::vector<const member*> found;
    for (const auto& [host, row] : members_) {
        if (row.up() && row.sample.in_force >= wanted)
            found.push_back(&row);
    }
    const auto order = [&](const member* row) {
        return std::make_tuple(
            row->health, !row->reachable,
            row->description.data_center != self_.description.data_center,
            hash64(row->host.str(), hash64(self_.host.str())));
    };
    std::ranges::sort(found, {}, order);
    std::vector<host_id> out;
    for (const member* it : found) {
        if (out.size() == limit)
            break;
        out.push_back(it->host);
    }
    return out;
}

std::size_t member_table::rank(std::string_view salt, bool everywhere) const
{
    const std::uint64_t seed = hash64(salt);
    const std::uint64_t own = hash64(self_.host.str(), seed);
    const auto before = [&](const auto& entry) {
        const member& row = entry.second;
        const bool counts = row.up() && row.health == member_health::alive &&
                            row.state != member_state::joining;
        const bool near = everywhere || row.description.data_center ==
                                            self_.description.data_center;
        return counts && near && hash64(entry.first.str(), seed) < own;
    };
    return static_cast<std::size_t>(std::ranges::count_if(members_, before));
}

} // namespace fennelladder::membership
