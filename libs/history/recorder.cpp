// A buffer under one mutex. When it is full, the thread that filled it sorts
// it, keeps the newer half back (a thread that was paused between reading the
// clock and recording still finds its place) and writes the older half.
// Amortized O(log buffered_lines) for each line.

#include "fennelladder/history/recorder.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace fennelladder::history {

recorder::recorder(const recorder_options& options) : options_(options)
{}

result<std::unique_ptr<recorder>>
recorder::open(const recorder_options& options)
{
    std::unique_ptr<recorder> made(new recorder(options));
    if (options.path.empty())
        return made;
    made->file_.open(options.path, std::ios::trunc | std::ios::binary);
    if (!made->file_)
        return fail(error_code::unavailable, "can't write " + options.path);
    return made;
}

recorder::~recorder()
{
    (void)close();
}

void recorder::put_in_order()
{
    std::ranges::sort(buffer_, {}, [](const entry& it) {
        return std::tuple(it.at, it.sequence);
    });
}

void recorder::record(instant at, const node_id& node, event_body body)
{
    std::string line = to_json_line({at, node, std::move(body)});
    const std::lock_guard lock(mutex_);
    const bool in_memory = options_.path.empty();
    if (closed_ || (in_memory && buffer_.size() >= options_.memory_lines)) {
        ++lost_;
        return;
    }
    buffer_.push_back({at, next_sequence_++, std::move(line)});
    if (in_memory || buffer_.size() < options_.buffered_lines)
        return;
    put_in_order();
    write_oldest(buffer_.size() / 2 + 1);
}

void recorder::write_oldest(std::size_t count)
{
    const auto end = buffer_.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto it = buffer_.begin(); it != end; ++it) {
        file_ << it->line << '\n';
        // A full disk shows as a failed stream; the line is lost, and close()
        // says so.
        if (!file_)
            ++lost_;
    }
    buffer_.erase(buffer_.begin(), end);
}

status recorder::close()
{
    const std::lock_guard lock(mutex_);
    if (!closed_ && !options_.path.empty()) {
        put_in_order();
        write_oldest(buffer_.size());
        file_.close();
        if (!file_ && lost_ == 0)
            lost_ = 1;
    }
    closed_ = true;
    if (lost_ > 0)
        return fail(error_code::exhausted,
                    std::to_string(lost_) + " lines of the history are lost");
    return {};
}

std::vector<std::string> recorder::lines()
{
    assert(options_.path.empty());
    const std::lock_guard lock(mutex_);
    put_in_order();
    std::vector<std::string> found;
    found.reserve(buffer_.size());
    for (const entry& it : buffer_)
        found.push_back(it.line);
    return found;
}

std::size_t recorder::lost() const
{
    const std::lock_guard lock(mutex_);
    return lost_;
}

} // namespace fennelladder::history
