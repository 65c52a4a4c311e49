// Each call draws its fate first, under the lock, and then meets it.

#include "fennelladder/platform/fault_object_store.hpp"

#include <thread>

namespace fennelladder::platform {

namespace {

tl::unexpected<error> refusal()
{
    return fail(error_code::unavailable, "the platform is out");
}

tl::unexpected<error> doubt()
{
    return fail(error_code::ambiguous, "no reply from the platform");
}

void sleep_now(duration length)
{
    std::this_thread::sleep_for(length);
}

} // namespace

fault_object_store::fault_object_store(object_store& inner, std::uint64_t seed,
                                       sleeper sleep)
    : inner_(inner), sleep_(sleep ? std::move(sleep) : sleeper(sleep_now)),
      random_(seed)
{}

void fault_object_store::set(store_faults faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

store_faults fault_object_store::faults() const
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

store_fault_counts fault_object_store::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

fault_object_store::fate fault_object_store::draw(bool writes)
{
    const std::lock_guard lock(mutex_);
    ++counts_.calls;
    if (faults_.outage || random_.chance(faults_.refused)) {
        ++counts_.refused;
        return fate::refused;
    }
    if (writes && random_.chance(faults_.lost_reply)) {
        ++counts_.lost_replies;
        return fate::reply_lost;
    }
    if (writes && random_.chance(faults_.lost_request)) {
        ++counts_.lost_requests;
        return fate::request_lost;
    }
    return fate::well;
}

fault_object_store::fate fault_object_store::begin(bool writes)
{
    const duration delay = faults().delay;
    if (delay > duration(0))
        sleep_(delay);
    return draw(writes);
}

template <class T, class F>
T fault_object_store::write(F call)
{
    switch (begin(true)) {
    case fate::refused:
        return refusal();
    case fate::request_lost:
        return doubt();
    case fate::reply_lost:
        static_cast<void>(call());
        return doubt();
    case fate::well:
        break;
    }
    return call();
}

result<stored_object> fault_object_store::get(const object_key& key)
{
    if (begin(false) != fate::well)
        return refusal();
    return inner_.get(key);
}

result<object_version> fault_object_store::put(const object_key& key,
                                               std::string_view value,
                                               write_condition condition)
{
    return write<result<object_version>>(
        [&] { return inner_.put(key, value, condition); });
}

status fault_object_store::erase(const object_key& key,
                                 write_condition condition)
{
    return write<status>([&] { return inner_.erase(key, condition); });
}

result<object_page> fault_object_store::list(std::string_view prefix,
                                             const object_key& after,
                                             std::size_t limit)
{
    if (begin(false) != fate::well)
        return refusal();
    return inner_.list(prefix, after, limit);
}

result<change_page> fault_object_store::watch(std::string_view prefix,
                                              std::uint64_t revision,
                                              duration wait)
{
    if (begin(false) != fate::well)
        return refusal();
    if (!faults().silent_watches)
        return inner_.watch(prefix, revision, wait);
    sleep_(wait);
    const std::lock_guard lock(mutex_);
    ++counts_.silent_watches;
    return change_page{{}, revision, false};
}

} // namespace fennelladder::platform
