#include "fennelladder/mesh/configuration_download.hpp"

#include "fennelladder/mesh/peer_view.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace fennelladder::mesh {

namespace {

/// Peers in the same region answer in a few milliseconds, but a host with an
/// eighth of a core may not be scheduled for some 100 ms.
constexpr duration min_interval = milliseconds(100);
constexpr duration max_interval = milliseconds(200);

/// After so many times without an answer, most likely no node that is asked
/// sends configurations by datagrams. With half of them lost, one of two
/// questions for one part gets no answer so often once in 10,000 times.
constexpr int max_quick_questions = 16;
constexpr int slow_factor = 10;

} // namespace

std::vector<configuration_download::addressed_question>
configuration_download::next_questions(const std::vector<part_source>& sources,
                                       instant now, random_source& random)
{
    // A source of an older version can't continue the present assembly.
    std::vector<part_source> able;
    std::ranges::copy_if(sources, std::back_inserter(able),
                         [&](const part_source& it) {
                             return it.version >= assembly_.version();
                         });
    if (able.empty() || assembly_.is_stalled(now))
        able = sources;
    std::erase_if(unanswered_, [&](const auto& it) {
        return std::ranges::find(sources, it.first, &part_source::address) ==
               sources.end();
    });
    const std::size_t wanted = unanswered_in_row_ > 0 ? 2 : 1;
    ++unanswered_in_row_;
    std::vector<addressed_question> out;
    while (out.size() < std::min(wanted, able.size()))
        out.push_back(question_to(choose(able, random)));
    return out;
}

const part_source&
configuration_download::choose(const std::vector<part_source>& sources,
                               random_source& random) const
{
    const double largest =
        std::ranges::max(sources, {}, &part_source::capacity).capacity;
    const auto order = [&](const part_source& it) {
        const auto asked = unanswered_.find(it.address);
        const int unanswered = asked == unanswered_.end() ? 0 : asked->second;
        return std::tuple(unanswered, ~it.version.value(),
                          !is_large(it.capacity, largest),
                          it.address == last_address_, random.bits());
    };
    const part_source* chosen = &sources.front();
    auto least = order(*chosen);
    for (const part_source& it : sources) {
        const auto key = order(it);
        if (key < least) {
            least = key;
            chosen = &it;
        }
    }
    return *chosen;
}

configuration_download::addressed_question
configuration_download::question_to(const part_source& source)
{
    ++questions_;
    ++unanswered_[source.address];
    last_address_ = source.address;
    configuration_question out{own_, ++last_number_, source.version,
                               part_set().set(), 0};
    if (assembly_.version() == source.version) {
        out.missing = assembly_.missing();
        out.text_hash = assembly_.text_hash();
    }
    parts_left_ = std::min(out.missing.count(), max_parts_per_answer);
    return {source.address, out};
}

duration configuration_download::interval(random_source& random) const
{
    const duration wait =
        min_interval +
        from_seconds(random.unit() * to_seconds(max_interval - min_interval));
    return unanswered_in_row_ > max_quick_questions ? wait * slow_factor : wait;
}

part_effect configuration_download::on_part(const configuration_part& part,
                                            const std::string& from,
                                            instant now)
{
    if (part.incarnation != own_ || !assembly_.add(part, now))
        return part_effect::none;
    unanswered_in_row_ = 0;
    unanswered_.erase(from);
    if (assembly_.is_complete())
        return part_effect::complete;
    if (parts_left_ > 0 && --parts_left_ == 0)
        return part_effect::answered;
    return part_effect::added;
}

void configuration_download::clear()
{
    assembly_.clear();
    unanswered_.clear();
    unanswered_in_row_ = 0;
    questions_ = 0;
}

} // namespace fennelladder::mesh
