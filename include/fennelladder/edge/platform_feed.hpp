// Keeps a node's configuration, target list and evacuations up to date with the
// platform.
//
//     platform_feed feed(tables, client, mesh);
//     feed.start();
//
// Two nodes of the fleet watch the platform and tell the others, which fetch
// the change from them (see mesh_node). The watchers are determined by the
// membership view: the first nodes in an order that all nodes agree on, with
// those that reach the platform before those that don't. So the number of calls
// doesn't grow with the fleet. A node whose state hasn't been confirmed for too
// long asks the platform itself, whoever should watch (mesh/watch_policy.hpp
// decides).
//
// A watch may stop delivering without an error. Each watch is therefore short,
// and a full listing is made from time to time. A watch that fails, because the
// history is gone or the connection broke, is followed by a listing at once; if
// watches fail soon after each listing, with a backoff of up to a second.
//
// When the store was restored from an older copy (see catalog/revision.hpp),
// feeds that ask the platform list again, and this node registers again. The
// others learn the new state from them, or ask when theirs is too old.
//
// Objects may have been written by other programs. A target whose entry can't
// be parsed counts as removed until a valid entry replaces it; for the
// configuration, the last valid one stays in force. In both cases the response
// still counts as confirmation by the platform, so that one invalid object
// doesn't make all nodes ask.
//
// If the platform doesn't answer, calls are retried with a growing backoff.
// Targets are retried before the configuration, which may take a small link
// seconds. Any answer to this node, also to a call for tokens, ends the
// backoff.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_PLATFORM_FEED_HPP
#define FENNELLADDER_EDGE_PLATFORM_FEED_HPP

#include "fennelladder/edge/mesh_node.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/platform_client.hpp"
#include "fennelladder/mesh/watch_policy.hpp"
#include "platform/object_codec.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace fennelladder::edge {

class platform_feed
{
public:
    platform_feed(node_tables& tables, platform_client& client,
                  mesh_node& mesh);

    /// Starts the background tasks.
    void start();

private:
    /// State of one feed: configuration, targets or evacuations.
    struct feed_state
    {
        feed_state(const char* name, node_tables& tables,
                   mesh::staleness_limits limits);

        const char* what; ///< Name in the log, and salt of the rank.
        duration stale_after;
        mesh::watch_policy duty;
        mesh::watch_reason reason = mesh::watch_reason::none;
        bool stale = false;  ///< As last logged.
        bool listed = false; ///< A watch can continue from the last listing.
        instant listed_at;
        instant last_attempt; ///< Start of the latest call.
        int failures = 0;     ///< Consecutive ones.
        /// Consecutive watches that failed soon after a listing.
        int early_watch_failures = 0;
        instant next_attempt;
        /// Age of the state when the latest answer arrived.
        std::optional<duration> previous_age;
        asio::steady_timer pause;
    };

    enum class call_kind : std::uint8_t
    {
        listing,
        watch
    };

    /// A response of the platform and when its first bytes arrived. A large
    /// response over a small link is at least that old.
    template <class Answer>
    struct timed
    {
        Answer value;
        instant first_byte_at;
    };

    using version_map = dispatch::version_history::version_map;
    using call_function = awaitable<bool> (platform_feed::*)();
    using view_function = mesh::watch_inputs (platform_feed::*)();

    std::size_t rank(const feed_state& feed, bool reached) const;
    awaitable<void> follow(feed_state& feed, view_function make_view,
                           call_function list, call_function watch);
    awaitable<bool> list_or_watch(feed_state& feed, call_function list,
                                  call_function watch);
    bool record_watch_result(feed_state& feed, bool watched);
    awaitable<void> wait_for_next_check(feed_state& feed);
    awaitable<void> probe_platform();
    bool must_wait_for_targets(const feed_state& feed) const;
    bool is_backing_off(const feed_state& feed) const;
    void back_off(feed_state& feed, mesh::watch_reason reason);
    void record_success(feed_state& feed, duration elapsed);
    void reset_backoff();
    void on_store_era();
    awaitable<bool> write_registration();
    nlohmann::json registration() const;
    awaitable<bool> replace_registration();
    awaitable<void> record_versions();
    version_map versions_to_record();
    bool is_recorder(const service_id& service);
    bool read_recorded_versions();
    awaitable<void> read_versions();
    void record_reason(feed_state& feed, mesh::watch_reason reason,
                       const mesh::watch_inputs& view);

    mesh::watch_inputs view_of(const feed_state& feed) const;
    mesh::watch_inputs view_configuration();
    mesh::watch_inputs view_targets();
    mesh::watch_inputs view_evacuations();
    void confirm_configuration(instant at);
    void confirm_targets(instant at, bool follows_all);
    void confirm_evacuations(instant at);
    void apply_evacuations(catalog::evacuation_state state,
                           instant first_byte_at);

    awaitable<void> follow_configuration();
    awaitable<void> follow_targets();
    awaitable<void> follow_evacuations();
    awaitable<void> register_node();

    awaitable<bool> list_configuration();
    awaitable<bool> list_targets();
    awaitable<bool> list_evacuations();
    awaitable<bool> list_nodes();
    awaitable<bool> watch_configuration();
    awaitable<bool> watch_targets();
    awaitable<bool> watch_evacuations();

    awaitable<void> back_off_after_failure(int& failures);

    bool is_in_force(const adapter::stored_object& object) const;
    bool apply_configuration(const adapter::stored_object& object);
    void record_contact(const platform_reply& reply, platform_call name,
                        call_kind kind);

    /// Reads from the platform. Returns no value on failure, which is logged.
    template <class Answer>
    awaitable<std::optional<timed<Answer>>>
    fetch(platform_call name, call_kind kind, std::string target,
          result<Answer> (*decode)(catalog::store_era, const std::string&));

    /// Lists all objects of a kind, page by page. Unset if a call failed, or
    /// the store was restored in between.
    awaitable<std::optional<timed<adapter::object_page>>>
    list_all(platform_call name, adapter::object_kind kind);

    void note_unreadable(unreadable_kind kind,
                         const adapter::stored_object& object,
                         const error& cause);

    /// The target that an object describes. If it can't be parsed, records that
    /// and returns no value.
    std::optional<catalog::target_change>
    parse_target(const adapter::stored_object& object);
    std::vector<catalog::target_change>
    parse_changes(const adapter::watch_response& answer);
    std::optional<std::string>
    parse_address(const adapter::stored_object& object);
    void schedule_listing(feed_state& feed);

    node_tables& tables_;
    platform_client& client_;
    mesh_node& mesh_;
    mesh::staleness_limits limits_;
    feed_state configuration_;
    feed_state targets_;
    feed_state evacuations_;
    catalog::revision configuration_as_of_;
    asio::steady_timer registration_; ///< Cancelled to register again.
    version_map recorded_;  ///< What the platform has under this node's name.
    version_map inherited_; ///< The same when this process started.
    std::set<service_id> recorder_of_;
    bool is_registered_ = false;
    bool is_reading_versions_ = false;
    instant next_versions_read_;
    bool is_cut_off_ = true; ///< Backing off since the platform is unreachable.
};

} // namespace fennelladder::edge

#endif
