// Asks other nodes by datagrams, which may be lost.
//
//     const repeated_question question{
//         [&] { send(address, message); },
//         [&] { return answer.has_value(); }};
//     co_await ask_until_answered(tables, timer, question, until);
//
// The handler of answers stores what came and cancels the timer. It may do so
// for a part of the answers: the question is sent again in its time, and the
// loop goes on until `is_answered` holds.
//
// Precondition: tables, timer and question live until the loop has ended. Not
// thread safe.

#ifndef FENNELLADDER_EDGE_REPEATED_QUESTION_HPP
#define FENNELLADDER_EDGE_REPEATED_QUESTION_HPP

#include "fennelladder/edge/io.hpp"
#include "fennelladder/edge/node_tables.hpp"

#include <functional>

namespace fennelladder::edge {

struct repeated_question
{
    std::function<void()> send; ///< To all that haven't answered yet.
    std::function<bool()> is_answered;
};

/// Sends the question at once and then every few milliseconds, until it is
/// answered or `until` has come. Cancelling the timer makes it look for
/// answers.
awaitable<void> ask_until_answered(const node_tables& tables,
                                   asio::steady_timer& timer,
                                   const repeated_question& question,
                                   instant until);

} // namespace fennelladder::edge

#endif
