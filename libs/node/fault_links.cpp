// A call that was under way when the cut began has its answer lost: a write
// is then ambiguous, as it is when a network is cut.

#include "fennelladder/node/fault_links.hpp"

namespace fennelladder::node {

namespace {

tl::unexpected<error> cut(error_code code)
{
    return fail(code, "the link is cut");
}

} // namespace

template <class Call>
auto cut_object_store::unless_cut(const Call& call) -> decltype(call())
{
    if (links_.platform_is_cut())
        return cut(error_code::unavailable);
    auto made = call();
    if (links_.platform_is_cut())
        return cut(error_code::ambiguous);
    return made;
}

result<platform::stored_object>
cut_object_store::get(const platform::object_key& key)
{
    return unless_cut([&] { return inner_.get(key); });
}

result<object_version>
cut_object_store::put(const platform::object_key& key, std::string_view value,
                      platform::write_condition condition)
{
    return unless_cut([&] { return inner_.put(key, value, condition); });
}

status cut_object_store::erase(const platform::object_key& key,
                               platform::write_condition condition)
{
    return unless_cut([&] { return inner_.erase(key, condition); });
}

result<platform::object_page>
cut_object_store::list(std::string_view prefix,
                       const platform::object_key& after, std::size_t limit)
{
    return unless_cut([&] { return inner_.list(prefix, after, limit); });
}

result<platform::change_page> cut_object_store::watch(std::string_view prefix,
                                                      std::uint64_t revision,
                                                      duration wait)
{
    return unless_cut([&] { return inner_.watch(prefix, revision, wait); });
}

result<std::string> cut_peers::send_request(const peer::peer_address& to,
                                            peer::topic what,
                                            std::string_view message,
                                            duration timeout)
{
    if (links_.peers_are_cut())
        return cut(error_code::unavailable);
    auto answer = inner_.send_request(to, what, message, timeout);
    if (links_.peers_are_cut())
        return cut(error_code::ambiguous);
    return answer;
}

} // namespace fennelladder::node
