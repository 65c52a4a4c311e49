// Quarantine of requests that were running at several targets when these died;
// such a request is sent to no target any more.
//
//     if (list.is_poison(fingerprint, now))
//         ... refuse ...
//     list.note_death(fingerprint, target, now);  // it ran as the target died
//     for (const poison_record& it : list.recent(span, limit, now))
//         ... send to the other nodes ...
//     list.merge(record, now);                    // from another node
//
// A request is identified by what its caller would send again (method, path,
// team and body), since each try carries a new id. Only first-hand evidence
// counts: the connection broke while the request ran, and the target could
// not be reached afterwards. Every request that ran there is recorded; a
// harmless one is refused only if as many targets die under it, one after
// the other, as the threshold for a poisonous one.
//
// A target may restart under its id. Deaths are counted by process, so that
// the deaths of two incarnations of one id count as two.
//
// Merging records is commutative and idempotent: lost, repeated or reordered
// messages only delay what a node knows.

#ifndef FENNELLADDER_DISPATCH_POISON_LIST_HPP
#define FENNELLADDER_DISPATCH_POISON_LIST_HPP

#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"
#include "fennelladder/catalog/target_entry.hpp"
#include "fennelladder/dispatch/request_fingerprint.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fennelladder::dispatch {

/// Processes of targets that died while the request ran there.
struct poison_record
{
    request_fingerprint mark;
    std::vector<catalog::target_process> deaths; ///< Each once, in order.
};

struct poison_list_options
{
    /// Deaths after which a request is refused. More than one, because each
    /// request that ran beside a poisonous one is recorded with a death too.
    std::size_t deaths = 2;
    /// A record expires this long after its last death.
    duration retention = minutes(10);
    std::size_t max_records = 4096;
};

/// Not thread safe.
class poison_list
{
public:
    explicit poison_list(poison_list_options options);

    bool is_poison(request_fingerprint fingerprint, instant now) const;

    /// The process died while the request ran there. Returns whether the death
    /// is new. A death without a start time (reported by nodes of earlier
    /// releases) matches any known death of the id.
    bool note_death(request_fingerprint fingerprint,
                    const catalog::target_process& target, instant now);

    /// Merges another node's record. Returns whether it holds a new death.
    bool merge(const poison_record& record, instant now);

    /// Records changed in the last `span`, newest first, at most `limit`.
    std::vector<poison_record> recent(duration span, std::size_t limit,
                                      instant now) const;

private:
    struct entry
    {
        std::vector<catalog::target_process> deaths;
        instant last;
    };

    void evict(instant now);

    poison_list_options options_;
    std::unordered_map<request_fingerprint, entry> entries_;
};

} // namespace fennelladder::dispatch

#endif
