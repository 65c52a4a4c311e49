// The request is written while its answer is read, since a target may answer
// before it has read a long body. If it does, the rest of the body is still
// due on that connection, which is therefore closed and not used again.

#include "fennelladder/edge/attempt.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <limits>

namespace fennelladder::edge {

namespace {

using dispatch::attempt_end;
using dispatch::target_evidence;

/// A connection within the fleet's networks is made in milliseconds; one that
/// takes longer lost a packet or goes nowhere, and another target is sooner. On
/// a link that is full it takes as long as bytes wait there, at any target.
constexpr duration connect_limit = milliseconds(350);

/// Answers up to this size are held until complete.
constexpr std::size_t most_held = 524'288;

/// Answers to other requests that are skipped before the right one.
constexpr int most_skipped = 4;

/// A body up to this size has come with its head.
constexpr std::size_t sure_to_be_read = 4096;

constexpr std::size_t piece_size = 16'384;

/// What is being written; outlives the attempt, since the write may.
struct outgoing_request
{
    std::string head;
    std::string body;
    connection_ptr connection;
    bool done = false;
};

using answer_parser = http::response_parser<http::buffer_body>;

class attempt
{
public:
    explicit attempt(attempt_input& in) : in_(in) {}

    awaitable<attempt_outcome> run();

private:
    awaitable<bool> connect();
    void note_signals(const answer_parser& parser,
                      const adapter::response_header_values& facts);
    bool is_wanted();
    bool caller_has_ended() const;
    bool answer_counts() const;
    bool is_head_request() const;
    void send();
    awaitable<void> read_answers();
    awaitable<bool> read_head(std::optional<answer_parser>& parser);
    awaitable<bool> read_piece(answer_parser& parser, std::string& out);
    awaitable<bool> skip(answer_parser& parser);
    awaitable<void> take_answer(answer_parser& parser,
                                const adapter::response_header_values& facts);
    awaitable<void> pass_stream(answer_parser& parser);
    awaitable<void> pass_whole(answer_parser& parser);
    awaitable<void> pass_large(answer_parser& parser, std::string begun);
    awaitable<void> hold_failure(answer_parser& parser);
    awaitable<bool> pass_events(const answer_parser& parser);
    answer_head head_of(const answer_parser& parser) const;
    void end(attempt_end how, target_evidence evidence, std::string detail);
    void end_by_error(const char* where);
    void moved_on(std::optional<duration> limit);
    void give_back(const answer_parser& parser);
    void note_first_byte();

    attempt_input& in_;
    attempt_outcome out_;
    connection_ptr connection_;
    std::shared_ptr<outgoing_request> outgoing_;
    net_error ec_;
};

void attempt::end(attempt_end how, target_evidence evidence, std::string detail)
{
    // What a target does once it was told to stop says nothing against it.
    const bool target_was_told = caller_has_ended();
    const bool answered = evidence == target_evidence::answered;
    out_.ended = target_was_told && how == attempt_end::garbled
                     ? attempt_end::caller_left
                     : how;
    out_.evidence =
        target_was_told && !answered ? target_evidence::nothing : evidence;
    out_.detail = std::move(detail);
}

/// The connection failed, or was closed from outside.
void attempt::end_by_error(const char* where)
{
    switch (in_.course.stopped()) {
    case stop_reason::caller_left:
        return end(attempt_end::caller_left, target_evidence::nothing, where);
    case stop_reason::out_of_time:
        return end(attempt_end::out_of_time,
                   out_.first_byte ? target_evidence::nothing
                                   : target_evidence::silent,
                   where);
    case stop_reason::silent:
        return end(attempt_end::silent, target_evidence::silent, where);
    case stop_reason::none:
        break;
    }
    // A kept connection that ended before any answer most likely ended before
    // the request came: that says nothing of the target.
    out_.idle_race = out_.kept_connection && !out_.first_byte;
    end(attempt_end::broken,
        out_.idle_race ? target_evidence::nothing : target_evidence::broke,
        std::string(where) + ": " + ec_.message());
}

/// The caller's end was seen after the request went out, and the target was
/// told. Failure it guards against: a caller that only ended its sending side,
/// which looks the same, waits for an answer that is thrown away when it comes.
/// What comes whole before the exchange cuts the target off is passed on; a
/// caller that left doesn't take it.
bool attempt::caller_has_ended() const
{
    return in_.course.stopped() == stop_reason::caller_left;
}

/// Whether what was read counts.
bool attempt::answer_counts() const
{
    return in_.course.stopped() == stop_reason::none || caller_has_ended();
}

bool attempt::is_head_request() const
{
    return in_.request.method == "HEAD";
}

void attempt::moved_on(std::optional<duration> limit)
{
    if (limit)
        in_.course.set_silence_limit(in_.tables.now() + *limit);
    else
        in_.course.set_silence_limit(std::nullopt);
}

awaitable<bool> attempt::connect()
{
    if (in_.course.stopped() != stop_reason::none) {
        end_by_error("before connecting");
        co_return false;
    }
    const target_endpoint to{in_.target.process(), in_.target.address};
    connection_ =
        in_.tables.pool.take_idle(to, in_.longest_rest, in_.tables.now());
    if (connection_) {
        out_.kept_connection = true;
        in_.course.hold(connection_);
        co_return true;
    }
    connection_ = in_.tables.pool.make(to);
    in_.course.hold(connection_);
    // What the target answers waits like everything else on a full link.
    const duration limit = connect_limit + 2 * in_.tables.queueing();
    const status made = co_await in_.tables.pool.open(connection_, limit);
    if (made && in_.course.stopped() == stop_reason::none)
        co_return true;
    if (in_.course.stopped() == stop_reason::none)
        end(attempt_end::not_connected, target_evidence::unreachable,
            made.error().message);
    else
        end_by_error("connect");
    co_return false;
}

/// On a node that is behind with its work a caller may have left unnoticed;
/// what is sent on then only burdens a target. While it connected, or the node
/// was busy, the target may have said that it leaves or rests, or this node's
/// news may have become too old to know.
bool attempt::is_wanted()
{
    in_.course.look_for_caller();
    if (in_.course.stopped() != stop_reason::none) {
        end_by_error("before sending");
        return false;
    }
    const bool late = in_.tables.news_are_late();
    if (!late && in_.tables.book.may_use(in_.target.target, in_.tables.now()))
        return true;
    // Nothing was sent: the request goes elsewhere as if no connection could
    // be made, and the target isn't to blame.
    end(attempt_end::not_connected, target_evidence::nothing,
        late ? "news are late" : "it takes no more");
    return false;
}

void attempt::send()
{
    const caller_request& request = in_.request;
    outgoing_ = std::make_shared<outgoing_request>();
    std::optional<std::size_t> body_size;
    if (request.has_body)
        body_size = request.body.size();
    outgoing_->head = adapter::encode_request_head(
        request.method, request.path, request.fields, in_.order, body_size);
    outgoing_->body = request.body;
    outgoing_->connection = connection_;
    connection_->unanswered = true;
    out_.sent_at = in_.tables.now();
    const std::array<asio::const_buffer, 2> bytes{
        asio::buffer(outgoing_->head), asio::buffer(outgoing_->body)};
    asio::async_write(connection_->socket, bytes,
                      [sent = outgoing_](net_error ec, std::size_t) {
                          sent->done = !ec;
                          // A failure shows to the reader as well.
                      });
}

awaitable<bool> attempt::read_head(std::optional<answer_parser>& parser)
{
    for (;;) {
        parser.emplace();
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        // No body follows, whatever length its head states: waiting for one
        // would last until the deadline.
        parser->skip(is_head_request());
        co_await http::async_read_header(connection_->socket, connection_->buf,
                                         *parser, into(ec_));
        connection_->unanswered = false;
        if (ec_ || !answer_counts()) {
            out_.nothing_made =
                ec_ == http::error::end_of_stream && outgoing_->done &&
                in_.course.stopped() == stop_reason::caller_left;
            end_by_error("answer's head");
            co_return false;
        }
        // Interim answers announce the real one.
        if (parser->get().result_int() >= 200)
            co_return true;
    }
}

/// Appends what comes next of the body. False on failure, which is noted.
awaitable<bool> attempt::read_piece(answer_parser& parser, std::string& out)
{
    const std::size_t before = out.size();
    out.resize(before + piece_size);
    parser.get().body().data = out.data() + before;
    parser.get().body().size = piece_size;
    co_await http::async_read_some(connection_->socket, connection_->buf,
                                   parser, into(ec_));
    if (ec_ == http::error::need_buffer)
        ec_ = {};
    out.resize(before + piece_size - parser.get().body().size);
    if (!ec_ && answer_counts())
        co_return true;
    end_by_error("answer's body");
    co_return false;
}

awaitable<bool> attempt::skip(answer_parser& parser)
{
    if (parser.need_eof()) {
        end(attempt_end::garbled, target_evidence::broke,
            "another request's answer without an end");
        co_return false;
    }
    std::string thrown_away;
    while (!parser.is_done()) {
        const bool more = co_await read_piece(parser, thrown_away);
        if (!more)
            co_return false;
        thrown_away.clear();
    }
    co_return true;
}

answer_head attempt::head_of(const answer_parser& parser) const
{
    answer_head out;
    out.status = parser.get().result_int();
    const auto reason = parser.get().reason();
    out.reason = std::string(reason.data(), reason.size());
    out.headers = adapter::encode_response_headers(parser.get().base());
    const auto length = parser.get()[http::field::content_length];
    out.stated_length = std::string(length.data(), length.size());
    return out;
}

void attempt::give_back(const answer_parser& parser)
{
    const auto facts = adapter::parse_response_headers(parser.get().base());
    // A target that rejects a request may do so before it has read a long
    // body, and end the connection over it.
    const bool unread =
        facts.not_run && outgoing_->body.size() > sure_to_be_read;
    // Where the sending side was ended, no other request can follow.
    const bool clean = !caller_has_ended() && !unread && parser.is_done() &&
                       !parser.need_eof() && parser.keep_alive() &&
                       !facts.closes_connection && outgoing_->done &&
                       connection_->buf.size() == 0;
    in_.course.release();
    if (!clean)
        return;
    in_.tables.pool.give_back(connection_, facts.keep_alive, in_.tables.now());
    connection_.reset();
}

void attempt::note_first_byte()
{
    if (out_.first_byte)
        return;
    out_.first_byte = true;
    const instant now = in_.tables.now();
    in_.tables.book.first_byte(in_.target, now - *out_.sent_at, now);
}

/// Passes on the whole events that are there, behind the answer's head. False
/// if the caller is gone. A caller that takes them slowly is no silence of the
/// target; the request's deadline bounds it.
awaitable<bool> attempt::pass_events(const answer_parser& parser)
{
    moved_on(std::nullopt);
    bool sent = true;
    if (!in_.reply.begun()) {
        const answer_head head = head_of(parser);
        sent = co_await in_.reply.begin(head);
    }
    const std::string whole = in_.events.take();
    if (sent)
        sent = co_await in_.reply.send_piece(whole);
    if (!sent)
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
    co_return sent;
}

awaitable<void> attempt::pass_stream(answer_parser& parser)
{
    in_.events.restart();
    std::string piece;
    std::uint64_t passed = in_.events.events();
    while (!parser.is_done()) {
        piece.clear();
        const bool more = co_await read_piece(parser, piece);
        if (!more)
            co_return;
        in_.tables.book.heard(in_.target.process(), in_.tables.now());
        if (!in_.events.feed(piece)) {
            end(attempt_end::garbled, target_evidence::broke, "events");
            co_return;
        }
        if (in_.events.events() == passed)
            continue;
        passed = in_.events.events();
        note_first_byte();
        moved_on(in_.gap_limit);
        // The target is about to be cut off: a part would be of no use.
        if (caller_has_ended())
            continue;
        const bool passed_on = co_await pass_events(parser);
        if (!passed_on)
            co_return;
        moved_on(in_.gap_limit);
    }
    give_back(parser);
    const bool passed_on = co_await pass_events(parser);
    if (!passed_on)
        co_return;
    // Bytes behind the last event belong to the target's whole answer.
    const std::string rest = in_.events.rest();
    (void)co_await in_.reply.send_piece(rest);
    const bool finished = co_await in_.reply.finish();
    if (finished)
        end(attempt_end::answered, target_evidence::answered, "");
    else
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
}

/// What can't be resumed isn't given up for a silence, and nothing may follow
/// the part that the caller has: two answers in one would look whole.
awaitable<void> attempt::pass_large(answer_parser& parser, std::string piece)
{
    moved_on(std::nullopt);
    out_.part_stands_alone = true;
    const answer_head head = head_of(parser);
    bool taken = co_await in_.reply.begin(head);
    while (taken) {
        taken = co_await in_.reply.send_piece(piece);
        if (!taken || parser.is_done())
            break;
        piece.clear();
        const bool more = co_await read_piece(parser, piece);
        if (!more)
            co_return;
    }
    if (taken) {
        give_back(parser);
        taken = co_await in_.reply.finish();
    }
    if (taken)
        end(attempt_end::answered, target_evidence::answered, "");
    else
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
}

awaitable<void> attempt::pass_whole(answer_parser& parser)
{
    std::string body;
    while (!parser.is_done()) {
        const bool more = co_await read_piece(parser, body);
        if (!more)
            co_return;
        moved_on(in_.gap_limit);
        if (body.size() > most_held) {
            co_await pass_large(parser, std::move(body));
            co_return;
        }
    }
    moved_on(std::nullopt);
    give_back(parser);
    const answer_head head = head_of(parser);
    const bool sent = co_await in_.reply.send_whole(head, body);
    if (sent)
        end(attempt_end::answered, target_evidence::answered, "");
    else
        end(attempt_end::caller_left, target_evidence::nothing, "caller");
}

awaitable<void> attempt::hold_failure(answer_parser& parser)
{
    out_.head = head_of(parser);
    while (!parser.is_done() && out_.body.size() <= most_held) {
        const bool more = co_await read_piece(parser, out_.body);
        if (!more)
            co_return;
    }
    give_back(parser);
    end(attempt_end::failed_there, target_evidence::failed,
        "status " + std::to_string(out_.head.status));
}

/// Each answer says what the target takes, also a failure, a rejection, or a
/// late one to another request; only what the target signed for this request is
/// known to be its latest word.
void attempt::note_signals(const answer_parser& parser,
                           const adapter::response_header_values& facts)
{
    auto said = adapter::parse_target_signals(parser.get().result_int(),
                                              parser.get().base());
    if (!said)
        return;
    said->is_latest =
        facts.signed_by_target && facts.request == in_.request.facts.id;
    const dispatch::signal_news news = in_.tables.book.note_signals(
        in_.target.process(), *said, in_.tables.now());
    log_signals(in_.target.target, *said, news, "answer");
}

awaitable<void>
attempt::take_answer(answer_parser& parser,
                     const adapter::response_header_values& facts)
{
    const unsigned status = parser.get().result_int();
    if (facts.not_run || status == adapter::status_misdirected_request) {
        (void)co_await skip(parser);
        give_back(parser);
        const bool moved = status == adapter::status_misdirected_request;
        end(moved ? attempt_end::other_life : attempt_end::rejected,
            moved ? target_evidence::other_life : target_evidence::full,
            "status " + std::to_string(status));
        co_return;
    }
    if (!facts.signed_by_target || facts.request != in_.request.facts.id) {
        end(attempt_end::garbled, target_evidence::broke,
            "status " + std::to_string(status) + " without a signature");
        co_return;
    }
    if (status < 200 || status >= 300) {
        co_await hold_failure(parser);
        co_return;
    }
    const auto type = parser.get()[http::field::content_type];
    if (in_.way.streams && !is_head_request() &&
        type.starts_with("text/event-stream")) {
        co_await pass_stream(parser);
        co_return;
    }
    if (in_.reply.begun()) {
        end(attempt_end::garbled, target_evidence::broke,
            "no stream where one was to go on");
        co_return;
    }
    note_first_byte();
    co_await pass_whole(parser);
}

awaitable<void> attempt::read_answers()
{
    std::optional<answer_parser> parser;
    for (int skipped = 0; skipped <= most_skipped; ++skipped) {
        const bool read = co_await read_head(parser);
        if (!read)
            co_return;
        const auto facts =
            adapter::parse_response_headers(parser->get().base());
        note_signals(*parser, facts);
        if (facts.request.empty() || facts.request == in_.request.facts.id) {
            co_await take_answer(*parser, facts);
            co_return;
        }
        const bool skipped_it = co_await skip(*parser);
        if (!skipped_it)
            co_return;
    }
    end(attempt_end::garbled, target_evidence::broke,
        "only other requests' answers");
}

awaitable<attempt_outcome> attempt::run()
{
    const bool connected = co_await connect();
    if (connected && is_wanted()) {
        moved_on(in_.first_byte_limit);
        send();
        co_await read_answers();
    }
    in_.course.clear_silence();
    in_.course.release();
    // A connection that didn't go back to the pool ends here: its target has
    // to hear that nobody waits any more.
    if (connection_) {
        net_error ec;
        connection_->socket.close(ec);
    }
    co_return std::move(out_);
}

} // namespace

awaitable<attempt_outcome> run_attempt(attempt_input& in)
{
    attempt it(in);
    attempt_outcome out = co_await it.run();
    co_return out;
}

} // namespace fennelladder::edge
