// The answer of one running request, shared by every caller that asks for it
// under the same key: the worker that runs it appends, each caller reads from
// the start at its own pace.
//
//     stream->append(text);                  // the worker
//     stream->finish(reply);
//
//     answer_part part = stream->read(offset, milliseconds(100));  // a caller
//
// Memory is bounded: an answer longer than the limit is no longer kept, and
// callers that had not read its dropped start see `overflowed`.

#ifndef FENNELLADDER_REQUEST_ANSWER_STREAM_HPP
#define FENNELLADDER_REQUEST_ANSWER_STREAM_HPP

#include "fennelladder/request/outcome.hpp"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace fennelladder::request {

struct answer_part
{
    std::string text;                   ///< From the offset asked for on.
    std::optional<outcome_reply> reply; ///< Set once all text was read.
    bool overflowed = false;            ///< The text asked for isn't kept.
};

/// Thread safe; its lock is a leaf: no other is taken under it.
class answer_stream
{
public:
    /// Keeps at most `limit` bytes. The caller that starts the run counts as
    /// the first listener.
    explicit answer_stream(std::size_t limit) : limit_(limit) {}

    /// Precondition: not finished. One writer.
    void append(std::string_view text);

    /// Says how it ended, and wakes all readers. Precondition: not finished.
    void finish(const outcome_reply& reply);

    /// Text from `offset` on; waits up to `wait` of wall time if there is
    /// none yet. An empty part without a reply means: nothing came in time.
    answer_part read(std::size_t offset, duration wait) const;

    /// One more caller listens; false if the run is being given up, so that
    /// its end must be awaited and the request admitted anew.
    bool join();

    /// One caller went away.
    void leave();

    /// If nobody listens, lets nobody join from now on and returns true: the
    /// worker may stop the run.
    bool close_if_abandoned();

    /// The whole text and true, if all of it was kept and it has ended.
    std::optional<std::string> whole_text() const;

private:
    bool readable(std::size_t offset) const;

    const std::size_t limit_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    // All below are guarded by mutex_. text_ holds all bytes appended, unless
    // overflowed_, when it is empty for good.
    std::string text_;
    std::optional<outcome_reply> reply_;
    int listeners_ = 1;
    bool closed_ = false;
    bool overflowed_ = false;
};

} // namespace fennelladder::request

#endif
