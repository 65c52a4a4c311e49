// Gets a configuration by datagrams from the nodes that have it: whom to ask,
// for which parts and when.
//
//     configuration_download download(own_incarnation);
//     while (there are sources) {
//         for (const auto& next :
//              download.next_questions(sources, now, random))
//             ... send next.question to next.address ...
//         ... wait for download.interval(random), or until on_part() says that
//             the question is answered ...
//     }
//
//     switch (download.on_part(part, from, now)) ...
//     if (auto packed = download.take()) ...
//
// Large hosts are asked first. A node that didn't answer the last question is
// asked again after all others: it may be dead, of an earlier release, or at
// its limit of answers. Two nodes are asked at a time while none answers: with
// half of the datagrams lost, an answer to one question arrives too rarely.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_CONFIGURATION_DOWNLOAD_HPP
#define FENNELLADDER_MESH_CONFIGURATION_DOWNLOAD_HPP

#include "fennelladder/base/random.hpp"
#include "fennelladder/mesh/configuration_parts.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fennelladder::mesh {

/// A node that has a configuration which this one lacks.
struct part_source
{
    std::string address;
    catalog::configuration_version version;
    double capacity = 0; ///< From its heartbeat.
};

/// What a part brought.
enum class part_effect : std::uint8_t
{
    none,     ///< Nothing new.
    added,    ///< More of the parts asked for are to come.
    answered, ///< All parts have come that one answer can have.
    complete  ///< The whole configuration has come.
};

class configuration_download
{
public:
    struct addressed_question
    {
        std::string address;
        configuration_question question;
    };

    explicit configuration_download(node_incarnation own) : own_(own) {}

    /// The next questions, at most two. Precondition: `sources` isn't empty.
    std::vector<addressed_question>
    next_questions(const std::vector<part_source>& sources, instant now,
                   random_source& random);

    /// How long to wait for the answer: 100 to 200 ms, or ten times as long
    /// after many questions in a row without an answer.
    duration interval(random_source& random) const;

    /// Stores a part that came from an address. Parts for another node are
    /// ignored.
    part_effect on_part(const configuration_part& part, const std::string& from,
                        instant now);

    /// Returns the whole compressed text. Unset if it isn't the one that its
    /// hash is of; it is then asked for anew. Precondition: on_part() returned
    /// `complete`.
    std::optional<std::string> take() { return assembly_.take(); }

    /// Drops what has come, for the next configuration.
    void clear();

    /// Questions since the last clear().
    std::uint64_t questions() const { return questions_; }

private:
    const part_source& choose(const std::vector<part_source>& sources,
                              random_source& random) const;
    addressed_question question_to(const part_source& source);

    node_incarnation own_;
    configuration_assembly assembly_;
    std::uint64_t last_number_ = 0;
    std::string last_address_;   ///< The one asked last.
    std::size_t parts_left_ = 0; ///< To come in answer to the last question.
    std::uint64_t questions_ = 0;
    int unanswered_in_row_ = 0; ///< Times of asking without a new part.
    /// Questions since the last answer, by address.
    std::map<std::string, int> unanswered_;
};

} // namespace fennelladder::mesh

#endif
