// Keeps a node's configuration, list of targets and evacuations as new as the
// platform's.
//
//     platform_feed feed(tables, client, mesh);
//     feed.start();
//
// Two nodes of the fleet watch the platform and tell the others, which fetch
// the change from them (see mesh_node). Who watches follows from the roster:
// the first in an order all nodes agree on, those that reach the platform
// before those that don't. So the calls don't grow with the fleet. A node
// whose knowledge nobody has confirmed for too long asks by itself, whoever
// ought to watch (see mesh/watch_duty.hpp, which decides).
//
// A watch may fall silent without an error. Each is therefore short, and a
// full listing is made now and then. A watch that fails, because its history
// is gone or its connection broke, is followed by a listing at once; where
// watches fail soon after each listing, by pauses that grow to a second.
//
// Objects may have been written by something else. A target's entry that can't
// be read counts as gone, and is back with the next one that can; of the
// configuration the last good one stays in force. Either way what was read
// counts as news of the platform, so that what one writer spoils doesn't make
// all nodes ask.
//
// A platform that doesn't answer is tried with pauses that grow, and for
// targets before the configuration, which may take a small link seconds. An
// answer to any call of the node, also to one for tokens, ends the pause.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_PLATFORM_FEED_HPP
#define FENNELLADDER_EDGE_PLATFORM_FEED_HPP

#include "fennelladder/edge/mesh_node.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/edge/platform_client.hpp"
#include "fennelladder/mesh/watch_duty.hpp"
#include "platform/object_codec.hpp"

#include <optional>
#include <string>

namespace fennelladder::edge {

class platform_feed
{
public:
    platform_feed(node_tables& tables, platform_client& client,
                  mesh_node& mesh);

    void start();

private:
    /// One of the kinds of news that are followed.
    struct news_kind
    {
        news_kind(const char* name, node_tables& tables,
                  mesh::news_limits limits);

        const char* what; ///< Salt of the rank, and name in the log.
        duration stale_after;
        mesh::watch_duty duty;
        mesh::watch_reason reason = mesh::watch_reason::none;
        bool stale = false;  ///< As logged.
        bool listed = false; ///< So that it can be watched from there.
        instant listed_at;
        instant tried_at; ///< When the latest call began.
        int failures = 0; ///< In a row.
        /// Watches in a row that failed soon after a listing.
        int lost_watches = 0;
        instant next_try;
        /// When the latest answer came, of what was known till then.
        std::optional<duration> age_before;
        asio::steady_timer pause;
    };

    enum class call_kind : std::uint8_t
    {
        listing,
        watch
    };

    /// What the platform said, and when that began to come: a large answer
    /// over a small link is as old as that.
    template <class Answer>
    struct dated
    {
        Answer value;
        instant begun;
    };

    using call_function = awaitable<bool> (platform_feed::*)();
    using view_function = mesh::news_view (platform_feed::*)();

    std::size_t rank(const news_kind& kind, bool reached) const;
    awaitable<void> follow(news_kind& kind, view_function look,
                           call_function list, call_function watch);
    awaitable<bool> ask(news_kind& kind, call_function list,
                        call_function watch);
    bool note_watch_end(news_kind& kind, bool watched);
    awaitable<void> rest(news_kind& kind);
    awaitable<void> probe();
    bool waits_for_targets(const news_kind& kind) const;
    bool held_back(const news_kind& kind) const;
    void hold_back(news_kind& kind, mesh::watch_reason reason);
    void settle(news_kind& kind, duration elapsed);
    void on_answer();
    void note_reason(news_kind& kind, mesh::watch_reason reason,
                     const mesh::news_view& view);

    mesh::news_view view_of(const news_kind& kind) const;
    mesh::news_view view_configuration();
    mesh::news_view view_targets();
    mesh::news_view view_evacuations();
    void confirm_configuration(instant at);
    void confirm_targets(instant at);
    void confirm_evacuations(instant at);
    void take_evacuations(catalog::evacuation_state state, instant begun);

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

    awaitable<void> pause_after_failure(int& failures);

    bool is_in_force(const adapter::stored_object& object) const;
    bool take_configuration(const adapter::stored_object& object);
    void note(const platform_reply& reply, call_name name, call_kind kind);

    /// Reads from the platform; no value if that failed, which is logged.
    template <class Answer>
    awaitable<std::optional<dated<Answer>>>
    fetch(call_name name, call_kind kind, std::string target,
          result<Answer> (*decode)(const std::string&));

    void note_unreadable(unreadable_kind kind,
                         const adapter::stored_object& object,
                         const error& cause);

    /// The target that an object describes; unset, and noted, if that can't
    /// be read.
    std::optional<catalog::target_change>
    target_of(const adapter::stored_object& object);
    std::vector<catalog::target_change>
    changes_of(const adapter::watch_response& news);
    std::optional<std::string> address_of(const adapter::stored_object& object);
    void list_soon(news_kind& kind);

    node_tables& tables_;
    platform_client& client_;
    mesh_node& mesh_;
    mesh::news_limits limits_;
    news_kind configuration_;
    news_kind targets_;
    news_kind evacuations_;
    catalog::revision configuration_as_of_;
    bool cut_off_ = true; ///< Pauses are due to that.
};

} // namespace fennelladder::edge

#endif
