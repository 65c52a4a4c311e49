// Who seems to be there: the host list as the base, heartbeats on top.
//
//     member_table table(self, description, version, options, random);
//     table.set_host_list(hosts, now);
//     for (outgoing& it : table.tick(now))       // every 100 ms or so
//         send(it);                              // answers come back as:
//     table.receive_reply(reply, now);           //   it answered
//     table.send_failed(host, now);              //   it refused, or silence
//     heartbeat_reply answer = table.receive(message, now);
//
// Cost. A node starts one probe a period, whatever the size of the fleet,
// plus at most `urgent_rate` messages a second while there is news.
//
// Caveats. The table is a hint and lags by seconds. It may call a live member
// dead (silence looks the same) and a dead one alive. Two nodes may disagree
// for as long as a partition lasts. Nothing that must never happen may be
// prevented by it.
//
// A member is suspected when neither the node nor `helpers` others get an
// answer. The suspicion travels at once, also to the member, who objects by
// raising its version; each node declares it dead by itself when no objection
// came in `suspicion`. A node that can't reach anybody suspects nobody, and
// one that was paused forgets what it was waiting for.

#ifndef FENNELLADDER_MEMBERSHIP_MEMBER_TABLE_HPP
#define FENNELLADDER_MEMBERSHIP_MEMBER_TABLE_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/membership/member.hpp"
#include "fennelladder/membership/messages.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace fennelladder::membership {

/// How a table behaves. The defaults are those measured in
/// docs/notes/membership.md.
struct member_options
{
    duration probe_period = milliseconds(750);
    duration probe_timeout = milliseconds(400);    ///< Then helpers are asked.
    duration indirect_timeout = milliseconds(600); ///< Then it's suspected.
    duration suspicion = seconds(3);               ///< Time to object.
    duration pause_limit = seconds(3);   ///< A longer gap was our pause.
    duration forget_after = minutes(10); ///< Dead and unlisted rows go.
    duration flap_memory = minutes(1);   ///< One flap is forgotten in this.
    std::size_t helpers = 3;
    std::size_t max_updates = 6; ///< Per message; thrice that in a backlog.
    std::size_t max_samples = 4; ///< Per message.
    std::size_t page_limit = 48; ///< Members in one reply.
    std::size_t urgent_fanout = 5;
    double urgent_rate = 10;          ///< Urgent messages a second.
    std::size_t extension_limit = 64; ///< Bytes; longer is not sent.
    std::size_t max_members = 4096;   ///< Further hosts are ignored.
};

/// A heartbeat to send.
struct outgoing
{
    host_id host;             ///< Empty when only an address is known.
    std::string peer_address; ///< Where to.
    heartbeat message;
};

/// Counts since the start, for metrics.
struct member_counters
{
    std::uint64_t probes = 0;
    std::uint64_t probe_failures = 0; ///< Neither directly nor by helpers.
    std::uint64_t urgent_messages = 0;
    std::uint64_t suspicions = 0; ///< Raised here.
    std::uint64_t deaths = 0;     ///< Concluded here.
    std::uint64_t objections = 0; ///< Own version raised against a rumour.
    std::uint64_t pauses = 0;     ///< Times this node was held up.
    std::uint64_t namesakes = 0;  ///< Another life under this host's name.
};

/// Something to be logged.
struct member_event
{
    int number = 0; ///< docs/EVENTS.md, 1700 and up.
    host_id host;
};

/// Not thread safe; calls take microseconds and don't block.
class member_table
{
public:
    using member_map = std::map<host_id, member>;

    /// `version` must be above that of the host's earlier lives in the usual
    /// case (seconds of wall time at start will do); if it isn't, the first
    /// answers make the table raise it.
    member_table(host_id self, member_description description,
                 std::uint64_t version, const member_options& options,
                 random_source random);

    /// The host list as last read; it replaces the one before. A host that
    /// is missing is not thereby dead, and one that is listed not alive.
    /// Entries without a host name are seeds: addresses to try while nobody
    /// is known.
    void set_host_list(const std::vector<listed_host>& hosts, instant now);

    /// What this node says of itself. A changed state is news for everyone.
    void set_state(member_state state, instant now);
    void set_load(std::uint32_t thousandths, instant now);
    void set_generations(generation highest, generation in_force, instant now);
    void set_extension(std::string bytes);

    /// Moves time on and returns what to send. Call about every 100 ms, and
    /// after receive() or receive_reply() when has_outgoing().
    std::vector<outgoing> tick(instant now);

    bool has_outgoing() const { return !queue_.empty() || news_; }

    /// Takes in a message of another node and answers it.
    heartbeat_reply receive(const heartbeat& message, instant now);

    /// Takes in the answer to a message of tick().
    void receive_reply(const heartbeat_reply& reply, instant now);

    /// A message to `host` was refused, or its connection broke. Sooner than
    /// waiting for the timeout, and no proof of death.
    void send_failed(const host_id& host, instant now);

    /// All rows but that of this node.
    const member_map& members() const { return members_; }

    /// This node as others see it.
    const member& self() const { return self_; }

    /// Grows with every change that may alter entry answers.
    std::uint64_t revision() const { return revision_; }

    /// The highest configuration generation anyone spoke of, and whom to ask
    /// for it first: the last who works by it, else who told us (empty: from
    /// set_generations).
    generation highest_generation() const { return highest_; }
    const host_id& generation_source() const { return generation_source_; }

    /// Members believed up that work by `wanted` or a later generation, those
    /// of this data center first, at most `limit`: whom to ask for it.
    std::vector<host_id> holders(generation wanted, std::size_t limit) const;

    /// How many members of this data center (or of the fleet, if `everywhere`)
    /// that are up come before this node in the order that `salt` gives:
    /// "the first two of each data center watch the platform" is rank < 2.
    std::size_t rank(std::string_view salt, bool everywhere) const;

    const member_counters& counters() const { return counters_; }

    /// Events since the last call; at most 64 are kept.
    std::vector<member_event> take_events();

private:
    struct rumor
    {
        host_id host;
        std::uint32_t sent = 0;
        bool describe = false; ///< Others won't know its description.
    };

    struct probe
    {
        host_id host;
        std::uint64_t version = 0; ///< Of the member when it was sent.
        instant sent;
        bool indirect = false;
        instant asked_helpers;
    };

    struct relay
    {
        host_id target;
        host_id asker;
        instant since;
    };

    enum class source : std::uint8_t
    {
        rumor,
        page,
        itself
    };

    // Merging.
    void merge(const member_update& update, source from, instant now);
    void merge_other(const member_update& update, source from, instant now);
    void adopt(member& row, const member_update& update, instant now);
    void merge_sample(const member_sample& sample, instant now);
    void object_to(const member_update& update, instant now);
    void take_gossip(const gossip& from, instant now);
    void take_page(const heartbeat_reply& reply, instant now);
    void note_generation(generation seen, const host_id& from);
    void note_digest(std::uint64_t digest, instant now);

    // Health.
    void suspect(member& row, instant now);
    void expire(instant now);
    void forget_own_pause(instant now);
    void expire_row(member& row, instant now);
    void check_probes(instant now);
    void ask_helpers(probe& it, instant now);
    void give_up(const probe& it, instant now);
    void answered(const host_id& host, instant now);

    // Sending.
    void start_probe(instant now);
    host_id next_probe_target();
    void rebuild_fingers();
    void send(const host_id& to, heartbeat message, instant now);
    void send_to_seed(instant now);
    void join(instant now);
    void note_start(instant now);
    bool spend_allowance(double messages);
    const std::string& address_of(const member& row) const;
    std::vector<host_id> some_members(std::size_t limit, const host_id& except);
    std::optional<host_id> some_lost_host();
    void fill_page(const heartbeat& asked, heartbeat_reply& out) const;
    void note_absent(const heartbeat_reply& reply);
    member* find(const host_id& host);
    void report(int number, const host_id& host);
    void send_news(instant now);
    void spread(const host_id& host, bool describe);
    void question(const host_id& host);
    gossip make_gossip(const host_id& to, bool describe, instant now);
    member_update update_of(const member& row, bool describe) const;
    void add_updates(gossip& out, const host_id& to);
    void add_recent(gossip& out) const;
    void add_samples(gossip& out, const host_id& to, instant now);
    void changed(member& row, instant now);
    std::uint64_t digest();
    std::uint32_t transmissions() const;

    // Invariants: members_ holds no row of self_.host and at most
    // max_members rows; rumors_ has one entry a host at most; probes_,
    // relays_ and questions_ are bounded by the constants in the source.
    member_options options_;
    random_source random_;
    member self_;
    std::optional<instant> started_; ///< First tick() or receive().
    member_map members_;
    std::vector<std::string> seeds_;
    std::vector<rumor> rumors_;
    std::vector<probe> probes_;
    std::vector<relay> relays_;
    std::deque<host_id> questions_;
    std::vector<outgoing> queue_;
    std::vector<host_id> fingers_;
    host_id successor_; ///< One of the fingers, probed most often.
    std::size_t finger_ = 0;
    bool fingers_stale_ = true;
    host_id sample_cursor_;
    std::uint64_t probe_count_ = 0;
    instant next_probe_;
    instant last_tick_;
    instant last_answer_;
    instant raised_at_;
    instant refilled_at_;
    double urgent_allowance_ = 0;
    bool news_ = false;
    bool ticked_ = false;
    bool synced_ = false;
    std::optional<host_id> page_cursor_;
    int mismatches_ = 0; ///< Messages in a row with another digest.
    int agreements_ = 0; ///< Messages in a row with our digest.
    generation highest_;
    host_id generation_source_;
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;
    bool digest_stale_ = true;
    member_counters counters_;
    std::vector<member_event> events_;
};

} // namespace fennelladder::membership

#endif
