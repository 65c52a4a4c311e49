// Every answer is judged by its bytes alone, never by who sent it or when, so
// late, doubled and crossed answers need no case of their own. A root counts
// when its checksum holds and its generation is the highest; a part when its
// hash is one that the candidate still misses.
//
// step() is O(missing parts + peers) when something is missing and O(peers)
// otherwise; a node hears of a bounded number of peers per second.

#include "fennelladder/manifest/configuration_holder.hpp"

#include "fennelladder/base/hash.hpp"
#include "fennelladder/telemetry/event_catalog.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fennelladder::manifest {

namespace event = telemetry::event;

namespace {

std::string name_of(const incarnation_id& source)
{
    return source.empty() ? "the platform" : "peer " + source.str();
}

std::string text_of(generation number)
{
    return "generation " + std::to_string(number.value());
}

} // namespace

configuration_holder::configuration_holder(holder_options options,
                                           random_source random, instant now)
    : options_(options), random_(random), next_poll_(now), last_step_(now)
{
    // So that no call from before a pause is answered after it.
    assert(options_.pause_length > options_.call_timeout);
}

void configuration_holder::note(int event, std::string message)
{
    notes_.push_back({event, std::move(message)});
}

std::vector<holder_note> configuration_holder::take_notes()
{
    return std::exchange(notes_, {});
}

announcement configuration_holder::announce() const
{
    if (!in_force_)
        return {};
    return {in_force_->number(), in_force_->hash()};
}

bool configuration_holder::may_take_work(instant now) const
{
    const bool waiting = unconfirmed_until_ && now < *unconfirmed_until_;
    // A request may come in after a pause before step() notices it.
    const bool just_woke = now - last_step_ > options_.pause_length;
    return in_force_ != nullptr && !waiting && !just_woke;
}

void configuration_holder::on_watch(std::string_view root_bytes, instant now)
{
    accept_root(root_bytes, {}, now);
}

void configuration_holder::on_announcement(const incarnation_id& peer,
                                           const announcement& what)
{
    source_state& it = peers_[peer];
    // Heartbeats may overtake each other; a peer's generation never falls.
    if (what.number >= it.said.number)
        it.said = what;
}

void configuration_holder::on_peer_gone(const incarnation_id& peer)
{
    peers_.erase(peer);
}

void configuration_holder::accept_root(std::string_view bytes,
                                       const incarnation_id& from, instant now)
{
    const auto accepted = decode_root(bytes);
    if (!accepted) {
        note(event::configuration_corrupt,
             "root from " + name_of(from) + ": " + accepted.error().message);
        return failed(from, now);
    }
    const generation number = accepted->change.number;
    if (number < highest_) {
        // A stale watch or peer, or a platform restored from an old copy.
        note(event::configuration_older_refused,
             text_of(number) + " from " + name_of(from) + ", but " +
                 text_of(highest_) + " was seen");
        return failed(from, now);
    }
    if (number == highest_ && accepted->hash() != highest_hash_) {
        note(event::configuration_contradiction,
             text_of(number) + " from " + name_of(from) + " has hash " +
                 accepted->hash().str() + ", not " + highest_hash_.str());
        return failed(from, now);
    }
    consider(*accepted, now);
}

void configuration_holder::consider(const root& accepted, instant now)
{
    const generation number = accepted.change.number;
    const bool held = in_force_ && in_force_->number() == number;
    if (held || (candidate_ && candidate_->accepted.change.number == number))
        return;
    highest_ = number;
    highest_hash_ = accepted.hash();
    candidate_ = candidate{};
    candidate_->accepted = accepted;
    candidate_->from_platform = now;
    // All nodes learn of a change in the same instant. Those of a large fleet
    // take their turn at the platform, and most find a peer before it comes.
    if (in_force_) {
        constexpr double reads_per_change = 2;
        const double spread = reads_per_change * double(fleet_size_) /
                              options_.fleet_reads_per_second;
        candidate_->from_platform += from_seconds(random_.unit() * spread);
    }
    candidate_->missing.insert(accepted.directory);
    load_names();
    try_activate();
}

part_bytes configuration_holder::find_part(const part_hash& name) const
{
    const auto it = collected_.find(name);
    if (it != collected_.end())
        return it->second;
    if (!in_force_)
        return nullptr;
    const auto held = in_force_->parts().find(name);
    return held != in_force_->parts().end() ? held->second : nullptr;
}

// Once the directory is there, says what is still missing, and drops parts
// that an abandoned candidate had collected.
void configuration_holder::load_names()
{
    if (candidate_->names)
        return;
    const part_bytes bytes = find_part(candidate_->accepted.directory);
    if (!bytes)
        return;
    candidate_->missing.clear();
    const auto names = decode_directory(*bytes);
    if (!names) {
        note(event::configuration_corrupt, names.error().message);
        return;
    }
    candidate_->names = *names;
    part_map wanted;
    wanted.emplace(candidate_->accepted.directory, bytes);
    for (const part_hash& it : names->all()) {
        part_bytes part = find_part(it);
        if (part)
            wanted.emplace(it, std::move(part));
        else
            candidate_->missing.insert(it);
    }
    collected_ = std::move(wanted);
}

void configuration_holder::accept_part(const std::string& bytes)
{
    const part_hash name(digest128(bytes));
    if (!candidate_ || candidate_->missing.erase(name) == 0)
        return; // Late: another source was quicker, or a newer root came.
    collected_[name] = std::make_shared<const std::string>(bytes);
    load_names();
}

void configuration_holder::try_activate()
{
    if (!candidate_ || !candidate_->names || !candidate_->missing.empty())
        return;
    auto made = active_manifest::assemble(candidate_->accepted, collected_,
                                          in_force_.get());
    candidate_.reset();
    if (!made) {
        // Kept parts make the next look at the same root cheap; a newer one
        // replaces it.
        note(event::configuration_corrupt, made.error().message);
        return;
    }
    assert(!in_force_ || in_force_->number() < (*made)->number());
    in_force_ = std::move(*made);
    collected_.clear();
    unconfirmed_until_.reset();
    note(event::configuration_in_force,
         text_of(highest_) + ", hash " + highest_hash_.str());
}

// Calls from before a pause have expired by now, so this is an answer to a
// question asked since. A newer root confirms nothing: work waits until it is
// in force.
void configuration_holder::confirm(const root& accepted)
{
    if (in_force_ && in_force_->hash() == accepted.hash())
        unconfirmed_until_.reset();
}

void configuration_holder::on_answer(call_number call,
                                     const result<std::string>& bytes,
                                     instant now)
{
    const auto it = calls_.find(call);
    if (it == calls_.end()) {
        // Timed out or answered twice; a part is as good as ever.
        if (bytes && candidate_) {
            accept_part(*bytes);
            try_activate();
        }
        return;
    }
    const open_call what = it->second;
    calls_.erase(it);
    if (!bytes) {
        // A part that the platform doesn't have was dropped after a newer
        // root was accepted: look at that.
        if (what.what.from_platform() &&
            bytes.error().code == error_code::not_found &&
            what.what.what == fetch_kind::part)
            next_poll_ = std::min(next_poll_, now);
        // Before the first apply there is no root: nothing is wrong.
        if (what.what.what == fetch_kind::root && what.what.from_platform() &&
            bytes.error().code == error_code::not_found)
            return succeeded({});
        return failed(what.what.peer, now);
    }
    succeeded(what.what.peer);
    if (what.what.what == fetch_kind::root) {
        accept_root(*bytes, what.what.peer, now);
        const auto accepted = decode_root(*bytes);
        if (accepted)
            confirm(*accepted);
        return;
    }
    if (!matches(what.what.part, *bytes)) {
        note(event::configuration_corrupt,
             "part " + what.what.part.str() + " from " +
                 name_of(what.what.peer) + " has another hash");
        return failed(what.what.peer, now);
    }
    accept_part(*bytes);
    try_activate();
}

void configuration_holder::on_page(call_number call,
                                   const result<platform::object_page>& page,
                                   instant now)
{
    // A page that timed out brings parts all the same, but the listing goes on
    // from where the last page in time ended.
    const bool in_time = calls_.erase(call) > 0;
    if (in_time && !page)
        failed({}, now);
    if (!page || !candidate_)
        return;
    for (const platform::stored_object& one : page->objects)
        accept_part(one.value);
    if (in_time) {
        succeeded({});
        candidate_->listed = !page->more || page->objects.empty();
        if (!page->objects.empty())
            candidate_->listed_to = page->objects.back().key;
    }
    try_activate();
}

configuration_holder::source_state*
configuration_holder::find_source(const incarnation_id& source)
{
    if (source.empty())
        return &platform_;
    const auto it = peers_.find(source);
    return it == peers_.end() ? nullptr : &it->second;
}

void configuration_holder::failed(const incarnation_id& source, instant now)
{
    source_state* it = find_source(source);
    if (it == nullptr)
        return;
    it->rested = now + backoff(random_, it->failures, options_.first_backoff,
                               options_.longest_backoff);
    ++it->failures;
}

void configuration_holder::succeeded(const incarnation_id& source)
{
    source_state* it = find_source(source);
    if (it != nullptr)
        it->failures = 0;
}

void configuration_holder::expire_calls(instant now)
{
    for (auto it = calls_.begin(); it != calls_.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        failed(it->second.what.peer, now);
        it = calls_.erase(it);
    }
}

// A node that was paused (its virtual machine moved, say) wakes with what it
// had in force, while the fleet may be generations ahead. Before it takes new
// work it asks; when nobody answers in time it goes on with what it has,
// since an outage must not stop it.
void configuration_holder::notice_pause(instant now)
{
    if (now - last_step_ > options_.pause_length) {
        ask_any_peer_ = true;
        unconfirmed_until_ = now + options_.confirm_wait;
        next_poll_ = now;
        note(event::configuration_after_pause,
             "paused for " + std::to_string(to_seconds(now - last_step_)) +
                 " s with " + text_of(announce().number) + " in force");
    }
    last_step_ = now;
    if (unconfirmed_until_ && now >= *unconfirmed_until_)
        unconfirmed_until_.reset();
}

bool configuration_holder::under_way(fetch_kind what,
                                     const incarnation_id& peer) const
{
    return std::ranges::any_of(calls_, [&](const auto& it) {
        return it.second.what.what == what && it.second.what.peer == peer;
    });
}

bool configuration_holder::part_under_way(const part_hash& name) const
{
    return std::ranges::any_of(calls_, [&](const auto& it) {
        return it.second.what.what == fetch_kind::part &&
               it.second.what.part == name;
    });
}

bool configuration_holder::start(fetch what, instant now,
                                 std::vector<fetch>& out)
{
    if (calls_.size() >= options_.max_calls)
        return false;
    what.call = last_call_ = last_call_.next();
    ++(what.from_platform() ? counts_.platform_calls : counts_.peer_calls);
    calls_[what.call] = {what, now + options_.call_timeout};
    out.push_back(std::move(what));
    return true;
}

void configuration_holder::fetch_roots(instant now, std::vector<fetch>& out)
{
    if (now >= next_poll_ && !under_way(fetch_kind::root, {}) &&
        start({.what = fetch_kind::root}, now, out))
        next_poll_ = now + jitter(random_, options_.poll_every);

    // The peer that is furthest ahead; after a pause any peer, to confirm.
    const incarnation_id* best = nullptr;
    generation ahead = highest_;
    for (const auto& [peer, it] : peers_) {
        const bool newer = it.said.number > ahead;
        const bool first =
            ask_any_peer_ && best == nullptr && it.said.number >= highest_;
        if (it.rested > now || (!newer && !first))
            continue;
        best = &peer;
        ahead = std::max(ahead, it.said.number);
    }
    ask_any_peer_ = false;
    if (best != nullptr && !under_way(fetch_kind::root, *best))
        start({.what = fetch_kind::root, .peer = *best}, now, out);
}

// A random one of the peers that have the candidate, or a later generation,
// in force and did not just fail.
std::optional<incarnation_id> configuration_holder::pick_peer(instant now)
{
    std::optional<incarnation_id> picked;
    std::uint64_t seen = 0;
    for (const auto& [peer, it] : peers_) {
        if (it.said.number < highest_ || it.rested > now)
            continue;
        ++seen;
        if (random_.below(seen) == 0)
            picked = peer;
    }
    return picked;
}

bool configuration_holder::fetch_listing(instant now, std::vector<fetch>& out)
{
    const bool many = candidate_->missing.size() >= options_.list_from;
    if (!many || candidate_->listed || platform_.rested > now)
        return false;
    if (!under_way(fetch_kind::parts, {}))
        start({.what = fetch_kind::parts, .after = candidate_->listed_to}, now,
              out);
    return true;
}

void configuration_holder::fetch_part(const part_hash& name, instant now,
                                      std::vector<fetch>& out)
{
    const auto peer = pick_peer(now);
    const bool platform_ready =
        now >= candidate_->from_platform && now >= platform_.rested;
    if (peer)
        start({.what = fetch_kind::part, .peer = *peer, .part = name}, now,
              out);
    else if (platform_ready)
        start({.what = fetch_kind::part, .part = name}, now, out);
}

void configuration_holder::fetch_parts(instant now, std::vector<fetch>& out)
{
    if (!candidate_)
        return;
    const bool by_peer = pick_peer(now).has_value();
    if (!by_peer && now >= candidate_->from_platform && fetch_listing(now, out))
        return;
    for (const part_hash& it : candidate_->missing) {
        if (calls_.size() >= options_.max_calls)
            return;
        if (!part_under_way(it))
            fetch_part(it, now, out);
    }
}

std::vector<fetch> configuration_holder::step(instant now)
{
    std::vector<fetch> out;
    expire_calls(now);
    notice_pause(now);
    fetch_roots(now, out);
    fetch_parts(now, out);
    return out;
}

instant configuration_holder::next_step() const
{
    // Often enough that a pause is told from quiet, and calls expire.
    instant next =
        last_step_ + std::min(options_.call_timeout, options_.pause_length / 4);
    next = std::min(next, std::max(next_poll_, last_step_));
    for (const auto& [call, it] : calls_)
        next = std::min(next, it.deadline);
    if (candidate_ && candidate_->from_platform > last_step_)
        next = std::min(next, candidate_->from_platform);
    if (candidate_ || !in_force_) {
        next = std::min(
            next, std::max(platform_.rested, last_step_ + milliseconds(50)));
        for (const auto& [peer, it] : peers_) {
            if (it.said.number >= highest_)
                next = std::min(
                    next, std::max(it.rested, last_step_ + milliseconds(50)));
        }
    }
    return next;
}

} // namespace fennelladder::manifest
