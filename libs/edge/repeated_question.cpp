#include "repeated_question.hpp"

#include <algorithm>

namespace fennelladder::edge {

namespace {

/// After this time without an answer the question is sent again. Peers in the
/// same region answer in a few milliseconds.
constexpr duration repeat_interval = milliseconds(20);

} // namespace

awaitable<void> ask_until_answered(const node_tables& tables,
                                   asio::steady_timer& timer,
                                   const repeated_question& question,
                                   instant until)
{
    instant repeat = tables.now();
    while (!question.is_answered()) {
        const instant now = tables.now();
        if (now >= until)
            break;
        if (now >= repeat) {
            question.send();
            repeat = now + repeat_interval;
        }
        co_await sleep_on(timer, std::min(repeat, until) - now);
    }
}

} // namespace fennelladder::edge
