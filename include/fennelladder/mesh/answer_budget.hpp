// Bounds the bytes a second that a node sends in answer to datagrams.
//
//     answer_budget budget(link_bits_per_second);
//     if (budget.take(bytes, now)) ... send ...
//
// Failure it guards against: all nodes of a fleet ask one small host at the
// same moment, and the answers fill the link that its callers need. An answer
// that isn't sent is asked for again, from another node.
//
// Not thread safe.

#ifndef FENNELLADDER_MESH_ANSWER_BUDGET_HPP
#define FENNELLADDER_MESH_ANSWER_BUDGET_HPP

#include "fennelladder/base/time.hpp"

#include <cstddef>
#include <optional>

namespace fennelladder::mesh {

class answer_budget
{
public:
    explicit answer_budget(double link_bits_per_second);

    /// Whether that many bytes may be sent now. Counts them if so.
    bool take(std::size_t bytes, instant now);

private:
    double bytes_per_second_;
    double left_;
    std::optional<instant> filled_; ///< When `left_` was last increased.
};

} // namespace fennelladder::mesh

#endif
