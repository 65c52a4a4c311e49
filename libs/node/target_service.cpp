// Looks at targets go through the call queue, so a target that hangs holds up
// one of its threads for a control timeout and no request.

#include "target_service.hpp"

#include <set>

namespace fennelladder::node {

namespace {

constexpr int failed_looks_to_avoid = 2;

routing::target_info info_of(const manifest::target& it)
{
    routing::target_info info;
    info.id = it.id;
    info.data_center = it.data_center;
    info.speed.slots = static_cast<std::uint32_t>(it.concurrency);
    for (const manifest::model_placement& place : it.models) {
        info.loaded.push_back({.model = place.model, .version = place.version});
        for (const adapter_id& adapter : place.adapters)
            info.loaded.push_back({.model = place.model,
                                   .version = place.version,
                                   .adapter = adapter});
    }
    for (const service_id& service : it.services)
        info.loaded.push_back({.service = service});
    return info;
}

routing::cache_event to_routing(const target::cache_event& from)
{
    routing::cache_event to;
    to.sequence = from.sequence;
    to.blocks = from.blocks;
    switch (from.what) {
    case target::cache_event::kind::stored:
        to.what = routing::cache_event::kind::stored;
        break;
    case target::cache_event::kind::evicted:
        to.what = routing::cache_event::kind::evicted;
        break;
    case target::cache_event::kind::cleared:
        to.what = routing::cache_event::kind::cleared;
        break;
    }
    return to;
}

// A stream that is silent for a second is given up and resumed: engines make a
// token in milliseconds, and of 113,319 gaps between chunks that were measured
// the longest was 24 ms (docs/notes/silent-connections.md).
target::http_target_options target_options(const manifest::target& it)
{
    target::http_target_options options;
    options.url = "http://" + it.address.str();
    options.stream.first_byte = seconds(3);
    options.stream.between_bytes = seconds(1);
    return options;
}

} // namespace

target_service::target_service(http::client& connections,
                               routing::router& routes,
                               request::suspect_list& suspects,
                               const clock& time, call_queue& calls)
    : connections_(connections), routes_(routes), suspects_(suspects),
      clock_(time), calls_(calls)
{}

void target_service::apply(const manifest_pointer& config)
{
    std::set<target_id> wanted;
    std::vector<target_id> gone;
    {
        const std::lock_guard lock(mutex_);
        for (const manifest::target* it : config->targets()) {
            wanted.insert(it->id);
            target_pointer& known = targets_[it->id];
            if (known && known->config == *it)
                continue;
            known = std::make_shared<known_target>();
            known->config = *it;
            known->client = std::make_unique<target::http_target_client>(
                connections_, target_options(*it));
        }
        for (const auto& [id, known] : targets_) {
            if (!wanted.contains(id))
                gone.push_back(id);
        }
        for (const target_id& it : gone)
            targets_.erase(it);
    }
    for (const manifest::target* it : config->targets())
        routes_.upsert_target(info_of(*it));
    for (const target_id& it : gone)
        routes_.remove_target(it);
}

target_pointer target_service::find(const target_id& id) const
{
    const std::lock_guard lock(mutex_);
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : it->second;
}

void target_service::tick()
{
    std::vector<target_pointer> all;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [id, known] : targets_)
            all.push_back(known);
    }
    for (const target_pointer& it : all)
        calls_.post([this, it] { look(it); });
}

void target_service::look(const target_pointer& it)
{
    if (it->config.kind == manifest::target_kind::engine)
        return look_at_load(it);
    note_look(*it, it->client->probe().has_value(), false);
}

void target_service::look_at_load(const target_pointer& it)
{
    const auto load = it->client->load();
    note_look(*it, load.has_value(), load && load->leaving);
    if (!load)
        return;
    const instant now = clock_.now();
    routes_.load_reported(
        it->config.id, {.taken_at = now - load->age,
                        .running = load->running,
                        .waiting = load->waiting,
                        .waiting_prefill_tokens = load->waiting_prefill_tokens,
                        .memory_used = load->memory_used});
    look_at_cache(it);
}

// Guards callers against a target that is down: without it each of them would
// find out by an attempt of its own. The first look that succeeds brings the
// target back.
void target_service::note_look(known_target& it, bool reached, bool leaving)
{
    bool was = false;
    bool is = false;
    {
        const std::lock_guard lock(it.mutex);
        it.failed_looks = reached ? 0 : it.failed_looks + 1;
        was = it.leaving;
        is = leaving || it.failed_looks >= failed_looks_to_avoid;
        it.leaving = is;
    }
    if (is && !was)
        routes_.target_leaving(it.config.id);
    if (was && !is)
        routes_.target_staying(it.config.id);
}

void target_service::look_at_cache(const target_pointer& it)
{
    std::uint64_t after = 0;
    {
        const std::lock_guard lock(it->mutex);
        after = it->events_after;
    }
    auto page = it->client->cache_events(after);
    if (!page)
        return;
    bool restarted = false;
    {
        const std::lock_guard lock(it->mutex);
        const request::target_life life(page->life);
        restarted = it->life != life && it->life.value() != 0;
        it->life = life;
        it->events_after = restarted ? 0 : page->next;
    }
    suspects_.target_alive(it->config.id, request::target_life(page->life),
                           clock_.now());
    if (restarted) {
        routes_.cache_changed(it->config.id,
                              {.what = routing::cache_event::kind::cleared});
        return;
    }
    for (const target::cache_event& event : page->events)
        routes_.cache_changed(it->config.id, to_routing(event));
}

bool target_service::probe(known_target& it)
{
    const bool alive = it.client->probe().has_value();
    request::target_life life;
    {
        const std::lock_guard lock(it.mutex);
        life = it.life;
    }
    if (!alive)
        suspects_.target_died(it.config.id, life, clock_.now());
    // A service reports no life, so nothing later would settle the doubt.
    else if (life == request::target_life())
        suspects_.target_alive(it.config.id, life, clock_.now());
    return alive;
}

bool target_service::enter(known_target& it, bool alone, duration limit)
{
    std::unique_lock lock(it.mutex);
    const bool free = it.changed.wait_for(
        lock, limit, [&] { return !it.alone && (!alone || it.running == 0); });
    if (!free)
        return false;
    ++it.running;
    it.alone = alone;
    return true;
}

void target_service::leave(known_target& it, bool alone)
{
    {
        const std::lock_guard lock(it.mutex);
        --it.running;
        if (alone)
            it.alone = false;
    }
    it.changed.notify_all();
}

void target_service::set_leaving(const std::vector<target_id>& targets)
{
    for (const target_id& it : targets)
        routes_.target_leaving(it);
}

} // namespace fennelladder::node
