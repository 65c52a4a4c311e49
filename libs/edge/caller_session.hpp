// One connection of a caller: reads its requests one after the other, and
// passes each to the request driver.
//
// All that a request holds counts in the server's buffer budget, from its first
// byte until its response has been written. The budget may take that from the
// connection, which then answers and ends.
//
// Not thread safe.

#ifndef FENNELLADDER_EDGE_CALLER_SESSION_HPP
#define FENNELLADDER_EDGE_CALLER_SESSION_HPP

#include "fennelladder/edge/caller_server.hpp"
#include "fennelladder/edge/request_intake.hpp"
#include "fennelladder/edge/socket_deadline.hpp"

#include <cstddef>
#include <memory>
#include <optional>

namespace fennelladder::edge {

class caller_session : public std::enable_shared_from_this<caller_session>,
                       private response_account
{
public:
    caller_session(caller_server& server, tcp::socket socket);

    /// May run after the server was destroyed: when the node ends, remaining
    /// sessions are destroyed with the io_context that holds their coroutines.
    ~caller_session() override;

    /// Serves the connection and keeps the session alive until it ends.
    static awaitable<void> run(std::shared_ptr<caller_session> session);

    /// Whether no request is being read or served.
    bool is_idle() const { return awaiting_request_ && buf_.size() == 0; }

    /// Whether it is idle and open, and nothing has arrived on it; or whether
    /// its last answer was written, and what still arrives is discarded.
    bool may_be_closed() const;

    /// Closes the connection, while the node shuts down, unless a request has
    /// arrived.
    void close_if_unused();

    /// Ends the present request at `at`, with an answer if none was begun.
    void stop_by(instant at);

    /// Since when it may be closed; of no meaning if it may not.
    instant idle_since() const { return idle_since_; }

    /// Closes the connection if it may be closed. Returns whether it did.
    bool close_if_idle();

    /// Ends the present request, whose memory or place others need: answers it
    /// if it is still being read, and resets the connection of one whose
    /// response isn't read. Frees its memory at once where it can.
    void give_way(dispatch::displacement why, bool place_is_needed);

private:
    using parser = request_intake::parser;

    awaitable<void> serve_requests();
    awaitable<bool> wait_for_request();
    awaitable<bool> read_request(caller_request& out);
    awaitable<bool> read_until(bool (request_intake::*reached)() const);
    awaitable<void> end_reading(const char* part, net_error ec);
    bool take_head(caller_request& out);
    void decide_on_head(const caller_request& head);
    bool is_refused() const { return reason_ != nullptr || decided_.refused; }
    awaitable<void> refuse_unread(const caller_request& head);
    awaitable<void> refuse(const char* reason);
    awaitable<void> refuse_for_memory(dispatch::displacement why);
    awaitable<void> discard_input();
    void set_read_deadline(duration length);
    void stop_reading();
    catalog::caller_limits present_limits() const;
    awaitable<void> reject(unsigned status, const char* reason);
    void log_incomplete_request(const char* part, const net_error& ec) const;
    awaitable<void> serve(caller_request request);
    void watch_caller(const request_cancellation_ptr& cancellation);
    net_error read_ahead();
    void on_readable(const request_cancellation_ptr& cancellation);
    void log_undelivered(const caller_request& request,
                         const request_cancellation& cancellation) const;
    void close();
    void reset_connection();

    const char* reason_not_to_serve();
    void begin_exchange();
    void end_exchange();
    bool claim(std::size_t bytes);

    void set_unread(bool waits) override;
    void note_progress(std::size_t bytes) override;
    bool may_hold(std::size_t bytes) override;

    caller_server& server_;
    std::shared_ptr<caller_server::session_set> sessions_;
    std::shared_ptr<caller_server::exchange_table> exchanges_;
    node_tables& tables_;
    tcp::socket socket_;
    std::optional<socket_deadline>
        read_deadline_; ///< For the read in progress.
    response_writer reply_;
    beast::flat_buffer buf_;
    std::optional<request_intake> intake_; ///< While a request is read.
    std::optional<dispatch::exchange_id> exchange_;
    std::size_t claimed_ = 0;        ///< Bytes of the present exchange.
    std::size_t request_bytes_ = 0;  ///< Of a request that is served.
    std::size_t response_bytes_ = 0; ///< Of its response.
    std::weak_ptr<request_cancellation> cancellation_; ///< Of the request.
    bool reads_ahead_ = true; ///< There is memory for the next requests.
    /// Why the last claim wasn't granted; of no meaning if it was.
    dispatch::displacement refused_ = dispatch::displacement::full;
    std::optional<dispatch::displacement> gave_way_;
    bool place_is_needed_ = false;
    std::string present_id_;        ///< Of the request, once its head was read.
    bool awaiting_request_ = false; ///< Before its first byte.
    instant idle_since_;
    bool serving_ = false;
    bool first_request_ = true;
    head_decision decided_; ///< Of the present request.
    /// Why the node refuses the present request, whatever it is.
    const char* reason_ = nullptr;
    bool discards_input_ = false; ///< More may arrive that isn't read.
    bool is_discarding_ = false;
};

} // namespace fennelladder::edge

#endif
