// A target as a node sees it: a model engine or a plain service.
//
//     completion ask{.id = id, .key = key, .model = model, .prompt = text,
//                    .max_tokens = 200};
//     completion_end end = target.complete(ask, [&](const chunk& it) {
//         return relay(it.text);           // false: the caller left
//     });
//     if (end.outcome == dispatch_outcome::interrupted)
//         ask.resume_offset = end.next_offset; // go on, here or elsewhere
//
// What the outcome proves. `never_dispatched`: not one byte of the request
// left this process. `rejected_before_run`: the target itself said that it
// didn't run it. Only these two allow "not run" towards a caller. `ran`: the
// answer came whole. `interrupted`: anything else; it may have run, to the
// end or in part.
//
// Chunks are checked before they are passed on: they carry the request's id
// and the offset of their first token, so that a late or crossed answer never
// reaches the receiver; it ends the attempt as interrupted.
//
// Silence. Each connection has its own progress deadlines. An attempt that
// they ended has `silent` set, and its connection is not used again. Whether
// the target is dead or only that connection, probe() tells: it dials anew.

#ifndef FENNELLADDER_TARGET_TARGET_CLIENT_HPP
#define FENNELLADDER_TARGET_TARGET_CLIENT_HPP

#include "fennelladder/base/error.hpp"
#include "fennelladder/base/ids.hpp"
#include "fennelladder/base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fennelladder::target {

/// What became of one attempt; see the head of this file.
enum class dispatch_outcome : std::uint8_t
{
    never_dispatched,
    rejected_before_run,
    ran,
    interrupted
};

/// The stable name of an outcome, such as "ran".
std::string_view to_string(dispatch_outcome outcome);

/// One attempt at a completion.
struct completion
{
    request_id id;   ///< Unique per attempt; comes back in chunks.
    request_key key; ///< The same for all attempts.
    std::uint32_t attempt = 0;
    model_id model;
    model_version version; ///< Empty: any.
    adapter_id adapter;    ///< Empty: the bare model.
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::uint32_t priority = 0; ///< 0 is served first.
    /// Tokens of the answer that were relayed already: the target goes on
    /// after them.
    std::uint32_t resume_offset = 0;
};

/// A piece of an answer. Valid during the call of the receiver.
struct chunk
{
    std::uint32_t offset = 0; ///< Of its first token in the whole answer.
    std::uint32_t tokens = 0; ///< That it holds.
    std::string_view text;
};

/// Receives chunks in order, without holes; false ends the attempt.
using chunk_receiver = std::function<bool(const chunk& it)>;

/// Asked while waiting; true ends the attempt.
using cancel_check = std::function<bool()>;

/// How an attempt at a completion ended.
struct completion_end
{
    dispatch_outcome outcome = dispatch_outcome::never_dispatched;
    /// Tokens of the answer known so far, those before resume_offset
    /// included; where a resumed attempt has to go on.
    std::uint32_t next_offset = 0;
    std::uint32_t prompt_tokens = 0;    ///< As the engine counted; ran only.
    std::uint32_t cached_tokens = 0;    ///< Of the prompt, not computed anew.
    bool cached_known = false;          ///< The engine reported cached_tokens.
    std::string finish_reason;          ///< "stop" or "length"; ran only.
    bool silent = false;                ///< A progress deadline ended it.
    bool canceled = false;              ///< Receiver or cancel check ended it.
    int status = 0;                     ///< Of HTTP, if an answer began.
    duration retry_after = duration(0); ///< Wish of a rejecting target.
    std::string message;                ///< For people.
};

/// One call of a plain service.
struct service_call
{
    request_id id;
    request_key key;
    std::uint32_t attempt = 0;
    std::string name; ///< Of the call, such as "clearance".
    std::string content_type = "application/json";
    std::string body;
    std::uint32_t priority = 0;
    /// False: it must not run twice. It then goes out on a connection of its
    /// own, so that a kept one that was just closed can't put it in doubt.
    bool repeatable = false;
};

/// How a call of a plain service ended. With `ran`, status and body are the
/// service's answer, whatever the status.
struct service_end
{
    dispatch_outcome outcome = dispatch_outcome::never_dispatched;
    int status = 0;
    std::string content_type;
    std::string body;
    bool silent = false;
    bool canceled = false;
    duration retry_after = duration(0);
    std::string message;
};

/// A target's own account of its load.
struct load_status
{
    std::uint32_t running = 0; ///< Sequences in the batch.
    std::uint32_t waiting = 0; ///< Sequences in the queue.
    std::uint32_t slots = 0;   ///< Sequences that fit into the batch.
    std::uint64_t waiting_prefill_tokens = 0;
    double memory_used = 0;     ///< Share of KV memory in use.
    bool leaving = false;       ///< Takes its leave; give it nothing new.
    duration age = duration(0); ///< How old the account is, says the target.
};

/// What happened in a target's prefix cache.
struct cache_event
{
    enum class kind : std::uint8_t
    {
        stored,
        evicted,
        cleared
    };

    std::uint64_t sequence = 0; ///< Grows by one per event.
    kind what = kind::stored;
    std::vector<std::uint64_t> blocks; ///< Hashes of blocks.
};

/// Events after a sequence number; there may be holes. Another `life` than
/// before says that the engine restarted: its cache is empty and its numbers
/// began anew, so ask again from 0.
struct cache_event_page
{
    std::uint64_t life = 0;
    std::vector<cache_event> events;
    std::uint64_t next = 0; ///< Ask again after this one.
};

/// What a target is told to do.
enum class order_kind : std::uint8_t
{
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    set_role
};

/// The stable name of an order, such as "load_model".
std::string_view to_string(order_kind kind);

/// An order to an engine. Orders are idempotent.
struct order
{
    order_kind kind = order_kind::load_model;
    model_id model;
    model_version version;
    adapter_id adapter;
    std::string role;
    fencing_number fencing;
};

/// A model that a target serves or is loading.
struct loaded_model
{
    model_id model;
    model_version version;
    adapter_id adapter; ///< Empty: the bare model.
    bool ready = false; ///< False while it loads.

    friend auto operator<=>(const loaded_model&, const loaded_model&) = default;
};

/// What a target runs, as read back.
struct target_state
{
    std::vector<loaded_model> models; ///< Sorted.
    std::string role;
    fencing_number highest_fencing; ///< 0 if the target doesn't keep it.
    bool leaving = false;
};

/// Client of one target. Implementations are thread safe; calls block.
class target_client
{
public:
    virtual ~target_client() = default;

    /// Runs one attempt. `on_chunk` and `canceled` are called on the calling
    /// thread. Canceling closes the connection, which the engine takes as a
    /// cancellation.
    virtual completion_end complete(const completion& ask,
                                    const chunk_receiver& on_chunk,
                                    const cancel_check& canceled = {}) = 0;

    /// Runs one attempt at a service call.
    virtual service_end call(const service_call& ask,
                             const cancel_check& canceled = {}) = 0;

    /// Succeeds if the target answers on a fresh connection, soon.
    virtual status probe() = 0;

    /// Errors of all calls below: `unavailable` (nothing happened),
    /// `ambiguous` (sent, no answer), `corrupt` (the answer can't be read).
    virtual result<load_status> load() = 0;

    /// Events after `after`, without waiting.
    virtual result<cache_event_page> cache_events(std::uint64_t after) = 0;

    /// Gives an order; success means accepted, not done: read back. Also
    /// fails with `refused` (old fencing number) and `invalid`.
    virtual status give(const order& what) = 0;

    virtual result<target_state> read_back() = 0;

    /// Takes the KV cache of the blocks out of the target, as bytes that
    /// import_kv of an engine of the same model takes. Also fails with
    /// `not_found` if none of the blocks is cached.
    virtual result<std::string>
    export_kv(const std::vector<std::uint64_t>& blocks) = 0;

    /// Also fails with `exhausted` if there is no room.
    virtual status import_kv(std::string_view bytes) = 0;
};

} // namespace fennelladder::target

#endif
