// One string under one mutex. A reader copies what it lacks; appending costs
// the bytes appended.

#include "fennelladder/request/answer_stream.hpp"

#include <cassert>

namespace fennelladder::request {

void answer_stream::append(std::string_view text)
{
    {
        const std::lock_guard lock(mutex_);
        assert(!reply_);
        if (overflowed_)
            return;
        if (text_.size() + text.size() > limit_) {
            overflowed_ = true;
            text_ = std::string();
        } else {
            text_ += text;
        }
    }
    changed_.notify_all();
}

void answer_stream::finish(const outcome_reply& reply)
{
    {
        const std::lock_guard lock(mutex_);
        assert(!reply_);
        reply_ = reply;
        closed_ = true;
    }
    changed_.notify_all();
}

bool answer_stream::readable(std::size_t offset) const
{
    return reply_ || overflowed_ || text_.size() > offset;
}

answer_part answer_stream::read(std::size_t offset, duration wait) const
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return readable(offset); });
    answer_part part;
    part.overflowed = overflowed_;
    if (text_.size() > offset)
        part.text = text_.substr(offset);
    part.reply = reply_;
    return part;
}

bool answer_stream::join()
{
    const std::lock_guard lock(mutex_);
    if (closed_)
        return false;
    ++listeners_;
    return true;
}

void answer_stream::leave()
{
    const std::lock_guard lock(mutex_);
    assert(listeners_ > 0);
    --listeners_;
}

bool answer_stream::close_if_abandoned()
{
    const std::lock_guard lock(mutex_);
    if (listeners_ == 0)
        closed_ = true;
    return closed_;
}

std::optional<std::string> answer_stream::whole_text() const
{
    const std::lock_guard lock(mutex_);
    if (!reply_ || overflowed_)
        return std::nullopt;
    return text_;
}

} // namespace fennelladder::request
