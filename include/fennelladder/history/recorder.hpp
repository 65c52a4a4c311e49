// Writes the history of a run, from any number of threads.
//
//     auto made = recorder::open({.path = "run.jsonl"});
//     recorder& history = **made;
//     history.record(now, node_id("n1"), not_run{request});
//     status done = history.close(); // says so when a line was lost
//
// Whoever records is given a recorder*, which may be null: record(pointer,
// ...) then does nothing.
//
// Lines come in order of time, then of recording. An event that is recorded
// late by more than half the buffer comes out of order; the checker copes.
// A recorder never blocks on a full buffer for longer than it takes to write
// half of it, and never grows beyond its limit: lines lost to the limit or to
// a failing disk are counted, and close() fails, so that a gap in a history
// can't pass for a proof.

#ifndef FENNELLADDER_HISTORY_RECORDER_HPP
#define FENNELLADDER_HISTORY_RECORDER_HPP

#include "fennelladder/history/event.hpp"

#include <cstddef>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fennelladder::history {

struct recorder_options
{
    /// File to write, truncated if there is one; empty keeps the lines in
    /// memory.
    std::string path;

    /// Lines held back to be put in order before they are written.
    std::size_t buffered_lines = 65'536;

    /// Most lines kept in memory when there is no path.
    std::size_t memory_lines = 4'000'000;
};

/// Thread safe.
class recorder
{
public:
    /// Fails with `unavailable` when the file can't be made.
    static result<std::unique_ptr<recorder>>
    open(const recorder_options& options);

    /// Closes, and forgets what close() would have said.
    ~recorder();

    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    /// Adds an event. Costs a formatting outside of any lock, and a short
    /// time under one; every buffered_lines / 2 calls one of them writes.
    /// After close() events are counted as lost.
    void record(instant at, const node_id& node, event_body body);

    /// Writes what is left. Fails with `exhausted` when lines were lost, and
    /// then says how many. Calling it again changes nothing.
    status close();

    /// Lines in order. Precondition: no path. May be called at any time.
    std::vector<std::string> lines();

    /// Lines that could not be kept or written.
    std::size_t lost() const;

private:
    struct entry
    {
        instant at;
        std::size_t sequence;
        std::string line;
    };

    explicit recorder(const recorder_options& options);
    void write_oldest(std::size_t count);
    void put_in_order();

    const recorder_options options_;

    // Every field below is guarded by mutex_.
    mutable std::mutex mutex_;
    std::vector<entry> buffer_;
    std::ofstream file_;
    std::size_t next_sequence_ = 0;
    std::size_t lost_ = 0;
    bool closed_ = false;
};

/// Records unless `to` is null.
inline void record(recorder* to, instant at, const node_id& node,
                   event_body body)
{
    if (to != nullptr)
        to->record(at, node, std::move(body));
}

} // namespace fennelladder::history

#endif
