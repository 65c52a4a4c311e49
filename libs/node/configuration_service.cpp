// The holder decides what to ask of whom; calls go through the call queue.
// A call that the queue has no room for is answered as unavailable, so that
// the holder tries another way.

#include "configuration_service.hpp"

#include "fennelladder/manifest/node_status.hpp"
#include "fennelladder/telemetry/log.hpp"

namespace fennelladder::node {

namespace {

constexpr duration peer_timeout = seconds(2);
constexpr duration watch_wait = seconds(3);
constexpr duration idle_watch = milliseconds(500);
constexpr std::size_t listing_page = 32;
constexpr std::size_t watchers_per_data_center = 2;

result<std::string> value_of(const result<platform::stored_object>& got)
{
    if (!got)
        return tl::unexpected(got.error());
    return got->value;
}

} // namespace

configuration_service::configuration_service(
    const node_options& options, const incarnation_id& self,
    platform::object_store& store, peer::peer_network& peers,
    member_service& members, const clock& time, call_queue& calls,
    std::function<void(const manifest_pointer&)> on_change)
    : options_(options), self_(self), store_(store), peers_(peers),
      members_(members), clock_(time), calls_(calls),
      on_change_(std::move(on_change)),
      holder_({}, random_source(options.seed + 1), time.now())
{}

void configuration_service::announce_peers()
{
    const auto view = members_.peers();
    std::size_t up = 1;
    const std::lock_guard lock(mutex_);
    for (const peer_info& it : *view) {
        if (!it.up) {
            holder_.on_peer_gone(it.life);
            continue;
        }
        ++up;
        holder_.on_announcement(it.life, {it.in_force, {}});
    }
    holder_.set_fleet_size(up);
}

void configuration_service::tick()
{
    announce_peers();
    std::vector<manifest::fetch> todo;
    {
        const std::lock_guard lock(mutex_);
        todo = holder_.step(clock_.now());
    }
    for (const manifest::fetch& it : todo) {
        if (!calls_.post([this, it] { make(it); }))
            finish(it, fail(error_code::unavailable, "call queue is full"));
    }
    after_event();
}

void configuration_service::make(const manifest::fetch& what)
{
    using manifest::fetch_kind;
    if (what.what == fetch_kind::parts) {
        const auto page =
            store_.list(manifest::part_prefix(), what.after, listing_page);
        {
            const std::lock_guard lock(mutex_);
            holder_.on_page(what.call, page, clock_.now());
        }
        return after_event();
    }
    if (what.from_platform()) {
        const auto key = what.what == fetch_kind::root
                             ? manifest::root_key()
                             : manifest::part_key(what.part);
        return finish(what, value_of(store_.get(key)));
    }
    const auto peer = members_.find(what.peer);
    if (!peer)
        return finish(what, fail(error_code::unavailable, "peer is gone"));
    finish(what, peers_.send_request(peer->address, peer::topic::configuration,
                                     what.part.str(), peer_timeout));
}

void configuration_service::finish(const manifest::fetch& what,
                                   const result<std::string>& bytes)
{
    {
        const std::lock_guard lock(mutex_);
        holder_.on_answer(what.call, bytes, clock_.now());
    }
    after_event();
}

void configuration_service::after_event()
{
    const std::lock_guard one_by_one(change_mutex_);
    manifest_pointer current;
    std::vector<manifest::holder_note> notes;
    generation highest;
    {
        const std::lock_guard lock(mutex_);
        current = holder_.in_force();
        notes = holder_.take_notes();
        highest = holder_.highest_seen();
    }
    for (const manifest::holder_note& it : notes)
        telemetry::log_event(
            it.event, {{"host", options_.host.str()}, {"message", it.message}});
    const auto before = slot_.load();
    if (current && (!before || before->number() < current->number())) {
        slot_.store(current);
        history::record(
            options_.history, clock_.now(), history::node_id(self_.str()),
            history::config_in_force{current->number(), current->hash().str()});
        on_change_(current);
    }
    members_.set_generations(highest,
                             current ? current->number() : generation());
}

void configuration_service::watch()
{
    if (members_.rank("configuration", false) >= watchers_per_data_center) {
        std::this_thread::sleep_for(idle_watch);
        return;
    }
    std::uint64_t from = 0;
    {
        const std::lock_guard lock(mutex_);
        from = watched_;
    }
    const auto key = manifest::root_key();
    if (from == 0) {
        const auto page = store_.list(key.str(), platform::object_key(), 1);
        if (!page) {
            std::this_thread::sleep_for(idle_watch);
            return;
        }
        const std::lock_guard lock(mutex_);
        watched_ = page->revision;
        if (!page->objects.empty())
            holder_.on_watch(page->objects.front().value, clock_.now());
        return;
    }
    const auto page = store_.watch(key.str(), from, watch_wait);
    {
        const std::lock_guard lock(mutex_);
        watched_ = page && !page->reset ? page->revision : 0;
        if (page && !page->changes.empty())
            holder_.on_watch(page->changes.back().object.value, clock_.now());
    }
    if (!page)
        std::this_thread::sleep_for(idle_watch);
    after_event();
}

void configuration_service::write_status(bool takes_work)
{
    const instant now = clock_.now();
    const auto current = slot_.load();
    manifest::node_status mine;
    mine.host = options_.host;
    mine.incarnation = self_;
    mine.highest_seen = highest_seen();
    mine.takes_work = takes_work;
    mine.at = now;
    if (current) {
        mine.in_force = current->number();
        mine.hash = current->hash();
    }
    const bool news =
        mine.in_force != status_generation_ || takes_work != status_takes_work_;
    if (!news && now - status_at_ < manifest::status_interval)
        return;
    const auto made =
        store_.put(manifest::status_key(options_.host), manifest::encode(mine),
                   platform::write_condition::always());
    if (!made)
        return;
    status_generation_ = mine.in_force;
    status_takes_work_ = takes_work;
    status_at_ = now;
}

result<std::string> configuration_service::answer(std::string_view part) const
{
    const auto current = slot_.load();
    if (!current)
        return fail(error_code::not_found, "no configuration yet");
    if (part.empty())
        return manifest::encode(current->accepted());
    const auto it =
        current->parts().find(manifest::part_hash(std::string(part)));
    if (it == current->parts().end())
        return fail(error_code::not_found, "no part " + std::string(part));
    return *it->second;
}

generation configuration_service::highest_seen() const
{
    const std::lock_guard lock(mutex_);
    return holder_.highest_seen();
}

bool configuration_service::may_take_work() const
{
    const std::lock_guard lock(mutex_);
    return holder_.may_take_work(clock_.now());
}

} // namespace fennelladder::node
