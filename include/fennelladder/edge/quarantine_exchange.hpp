// Shares what nodes know of requests and parts of prompts that crash targets,
// and gets leave to run those under suspicion.
//
//     run_permit permit = co_await exchange.acquire(marks, place, service,
//                                                   until);
//     if (permit.allowed) {
//         ... send the request ...
//         exchange.release(permit, hold);
//     }
//
// A death is told to all nodes at once, by the node that saw it, for the marks
// that it makes suspected, and with its next heartbeats for all. Heartbeats
// also carry all condemned marks, so that a node that starts, or comes back
// from a partition, learns them.
//
// Leave is given by one node for each service (dispatch/run_leases.hpp): the
// first in the order on which nodes agree. Its answer carries what it knows of
// the marks. If it doesn't answer, a node gives itself leave for suspected
// marks, and none for condemned ones.
//
// What follows from what is known: dispatch/quarantine.hpp. Not thread safe.

#ifndef FENNELLADDER_EDGE_QUARANTINE_EXCHANGE_HPP
#define FENNELLADDER_EDGE_QUARANTINE_EXCHANGE_HPP

#include "fennelladder/dispatch/run_leases.hpp"
#include "fennelladder/edge/node_tables.hpp"
#include "fennelladder/mesh/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace fennelladder::edge {

/// For logs: targets that died, each with the time since, in milliseconds.
std::string targets_text(const dispatch::crash_record& record);

/// For logs: the time since the last answer in milliseconds, or "none".
std::string last_answer_text(const dispatch::crash_record& record);

/// Leave to send a request to a target.
struct run_permit
{
    bool allowed = false;
    /// The request is the only one that runs with its suspected marks. Then
    /// release() has to be called after the run.
    bool leased = false;
    duration retry_after{0}; ///< If it isn't allowed.
    /// The worst mark of the request; unset if all are clear.
    std::optional<dispatch::quarantine::worst_mark> worst;
    service_id service;
    std::uint64_t number = 0;  ///< Of the lease.
    host_id giver;             ///< That decided; empty if no node was asked.
    std::string giver_address; ///< Empty for this node.
};

class quarantine_exchange
{
public:
    /// Sends one datagram, which may be lost.
    using sender = std::function<void(const std::string& address,
                                      const mesh::datagram& message)>;

    quarantine_exchange(node_tables& tables, sender send);

    /// Gets leave to run a request with these marks at a place. Completes at
    /// once if all are clear, or if one is condemned and no trial is due.
    awaitable<run_permit> acquire(std::vector<dispatch::crash_mark> marks,
                                  dispatch::run_place place, service_id service,
                                  instant until);

    /// Ends the permit's lease. Its marks are free for others after `hold`.
    void release(const run_permit& permit, duration hold);

    /// Records that a process died while requests with these marks ran there,
    /// and tells all nodes.
    void note_death(std::span<const dispatch::crash_mark> marks,
                    const dispatch::crash_death<instant>& death);

    /// Records a whole answer to a request with these marks. With `urgent`,
    /// tells all nodes of marks that this cleared.
    void note_answer(std::span<const dispatch::crash_mark> marks,
                     dispatch::run_place place, bool urgent);

    /// Records that an operator takes the mark for harmless, and tells all
    /// nodes. Returns whether it was known.
    bool forgive(const dispatch::crash_mark& mark);

    /// `listener` is called with each process that a peer saw die lately.
    using death_listener = std::function<void(const catalog::target_process&)>;
    void set_death_listener(death_listener listener);

    /// Handle messages of other nodes. `from` is the sender's address.
    void on_records(const std::vector<dispatch::crash_record>& records);
    void on_question(const mesh::run_question& question,
                     const std::string& from);
    void on_answer(const mesh::run_answer& answer);
    void on_end(const mesh::run_end& end);

private:
    struct open_question
    {
        explicit open_question(asio::io_context& io) : timer(io) {}

        asio::steady_timer timer; ///< Cancelled at the answer.
        std::optional<mesh::run_answer> answer;
    };

    awaitable<std::optional<mesh::run_answer>>
    ask(const mesh::run_question& question, const std::string& address,
        instant until);
    void end_lease(const run_permit& permit, duration hold);
    void tell_all(std::span<const dispatch::crash_record> records);
    void log_changes(std::span<const dispatch::crash_mark> marks,
                     const std::string& by);

    node_tables& tables_;
    sender send_;
    dispatch::run_leases leases_;
    std::map<std::uint64_t, std::shared_ptr<open_question>> questions_;
    /// Marks that were logged as condemned, until they are cleared.
    std::set<dispatch::crash_mark> condemned_;
    std::uint64_t last_number_ = 0;
    death_listener on_death_ = [](const auto&) {};
};

} // namespace fennelladder::edge

#endif
