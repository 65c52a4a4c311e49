// The table decides; this file carries. A question to a peer blocks, so it
// goes through the call queue; one that finds the queue full counts as failed,
// as a lost message would.

#include "member_service.hpp"

#include "fennelladder/membership/messages.hpp"
#include "fennelladder/telemetry/log.hpp"

#include <algorithm>

namespace fennelladder::node {

namespace {

constexpr duration heartbeat_timeout = milliseconds(400);
constexpr duration first_version_unit = seconds(1);

peer_info info_of(const membership::member& row)
{
    peer_info it;
    it.host = row.host;
    it.life = row.description.life;
    it.data_center = row.description.data_center;
    it.caller_address = row.description.caller_address;
    it.address = row.description.peer_address;
    it.up = row.up() && row.described;
    it.serving = it.up && row.state == membership::member_state::serving &&
                 row.health == membership::member_health::alive;
    it.listed = row.listed;
    it.changed_at = row.changed_at;
    it.in_force = row.sample.in_force;
    return it;
}

} // namespace

member_service::member_service(const node_options& options,
                               const incarnation_id& self,
                               peer::peer_network& peers, const clock& time,
                               call_queue& calls)
    : options_(options), self_(self), peers_(peers), clock_(time),
      calls_(calls), view_(std::make_shared<const peer_view>()), planner_({})
{}

void member_service::describe(const std::string& caller_address,
                              const peer::peer_address& address)
{
    membership::member_description mine;
    mine.life = self_;
    mine.data_center = options_.data_center;
    mine.region = options_.region;
    mine.caller_address = caller_address;
    mine.peer_address = address;
    const instant now = clock_.now();
    const auto version = now.time_since_epoch() / first_version_unit;
    {
        const std::lock_guard lock(mutex_);
        table_ = std::make_unique<membership::member_table>(
            options_.host, mine, static_cast<std::uint64_t>(version),
            membership::member_options{}, random_source(options_.seed));
    }
    set_host_list({});
}

void member_service::set_host_list(
    const std::vector<platform::listed_host>& hosts)
{
    std::vector<membership::listed_host> rows;
    rows.reserve(hosts.size() + options_.seeds.size());
    for (const platform::listed_host& it : hosts)
        rows.push_back(
            {it.host, it.address, it.data_center, it.region, it.leaving});
    for (const peer::peer_address& it : options_.seeds)
        rows.push_back({.peer_address = it});
    const std::lock_guard lock(mutex_);
    table_->set_host_list(rows, clock_.now());
}

void member_service::tick()
{
    send_due();
    refresh_view();
}

void member_service::send_due()
{
    std::vector<membership::outgoing> todo;
    std::vector<membership::member_event> events;
    {
        const std::lock_guard lock(mutex_);
        todo = table_->tick(clock_.now());
        events = table_->take_events();
    }
    for (const membership::member_event& it : events)
        telemetry::log_event(it.number, {{"host", it.host.str()}});
    for (membership::outgoing& it : todo) {
        const host_id host = it.host;
        if (calls_.post([this, it = std::move(it)] { send(it); }))
            continue;
        const std::lock_guard lock(mutex_);
        table_->send_failed(host, clock_.now());
    }
}

// News that came in go on at once rather than at the next beat. One call at a
// time: a burst of messages must not fill the queue that all parts share.
void member_service::send_soon()
{
    if (sending_soon_.exchange(true))
        return;
    const bool posted = calls_.post([this] {
        sending_soon_ = false;
        send_due();
    });
    if (!posted)
        sending_soon_ = false;
}

void member_service::send(const membership::outgoing& it)
{
    const auto bytes =
        peers_.send_request(it.peer_address, peer::topic::heartbeat,
                            membership::encode(it.message), heartbeat_timeout);
    if (!bytes) {
        const std::lock_guard lock(mutex_);
        table_->send_failed(it.host, clock_.now());
        return;
    }
    const auto reply = membership::decode_heartbeat_reply(*bytes);
    if (!reply)
        return;
    bool more = false;
    {
        const std::lock_guard lock(mutex_);
        table_->receive_reply(*reply, clock_.now());
        more = table_->has_outgoing();
    }
    if (more)
        send_soon();
}

result<std::string> member_service::on_heartbeat(std::string_view bytes)
{
    const auto message = membership::decode_heartbeat(bytes);
    if (!message)
        return tl::unexpected(message.error());
    membership::heartbeat_reply answer;
    bool more = false;
    {
        const std::lock_guard lock(mutex_);
        // Other nodes may know this address from an earlier life, and ask
        // before this one has described itself.
        if (!table_)
            return fail(error_code::unavailable, "starting");
        answer = table_->receive(*message, clock_.now());
        more = table_->has_outgoing();
    }
    if (more)
        send_soon();
    return membership::encode(answer);
}

void member_service::refresh_view()
{
    auto next = std::make_shared<peer_view>();
    membership::entry_planner planner({});
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [host, row] : table_->members())
            next->push_back(info_of(row));
        planner.update(*table_, clock_.now());
    }
    const std::lock_guard lock(view_mutex_);
    view_ = std::move(next);
    planner_ = std::move(planner);
}

std::shared_ptr<const peer_view> member_service::peers() const
{
    const std::shared_lock lock(view_mutex_);
    return view_;
}

std::optional<peer_info> member_service::find(const incarnation_id& life) const
{
    const auto view = peers();
    const auto it = std::ranges::find(*view, life, &peer_info::life);
    if (it == view->end() || !it->up)
        return {};
    return *it;
}

membership::entry_answer
member_service::entry(const membership::entry_request& request) const
{
    const std::shared_lock lock(view_mutex_);
    return planner_.answer(request);
}

std::size_t member_service::rank(std::string_view duty, bool everywhere) const
{
    const std::lock_guard lock(mutex_);
    return table_->rank(duty, everywhere);
}

void member_service::set_state(membership::member_state state)
{
    const std::lock_guard lock(mutex_);
    table_->set_state(state, clock_.now());
}

void member_service::set_load(std::uint32_t thousandths)
{
    const std::lock_guard lock(mutex_);
    table_->set_load(thousandths, clock_.now());
}

void member_service::set_generations(generation highest, generation in_force)
{
    const std::lock_guard lock(mutex_);
    table_->set_generations(highest, in_force, clock_.now());
}

} // namespace fennelladder::node
