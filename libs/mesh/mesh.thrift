// Wire form of what nodes tell each other (see
// include/fennelladder/mesh/messages.hpp, which says what it means). Fields
// may be added with new numbers; a number is never used again.
//
// Generate: thrift --gen cpp:no_skeleton -out generated mesh.thrift

namespace cpp fennelladder.mesh.wire

struct Load {
  1: string target
  2: i32 running
  3: i32 reading
  4: optional i64 start_ms
}

struct Stock {
  1: string team
  2: i64 free
  3: i64 spent_per_second
}

struct CrashDeath {
  1: i32 place
  2: i32 age_ms
  3: i32 ran_ms
  4: optional bool leased
}

struct CrashAnswer {
  1: i32 place
  2: i32 age_ms
}

struct Poison {
  1: i64 mark
  2: list<string> deaths
  3: optional list<i64> starts_ms
  // Unset: the mark is of a request.
  4: optional bool is_part
  // Parallel to `deaths`.
  5: optional list<CrashDeath> details
  6: optional list<CrashAnswer> answers
}

struct RunAsk {
  1: i64 life
  2: i64 number
  3: i32 place
  4: list<i64> requests
  5: list<i64> parts
}

struct RunReply {
  1: i64 life
  2: i64 number
  3: bool granted
  4: i32 retry_after_ms
  5: list<Poison> records
}

struct RunEnd {
  1: i64 life
  2: i64 number
  3: i32 hold_ms
}

struct TargetRow {
  1: string id
  2: bool gone
  3: string service_name
  4: string address
  5: string data_center
  6: i32 slots
  7: bool leaving
  8: i64 warm_up_ms
  9: i64 changed_at
  10: optional i64 start_ms
  11: optional string software
}

struct TargetNews {
  1: i64 since
  2: i64 as_of
  3: list<TargetRow> changes
  4: optional i64 era
}

struct HeardNode {
  1: i64 life
  2: i32 ago_ms
}

struct Evacuations {
  1: i64 as_of
  2: list<string> data_centers
  3: optional i64 era
}

struct Limit {
  1: string target
  2: i64 start_ms
  3: optional double rate
  4: i32 ago_ms
}

struct LeavingTarget {
  1: string target
  2: i64 start_ms
}

struct Beacon {
  1: string host
  2: i64 life
  3: i64 sequence
  4: i8 state
  5: string data_center
  6: string caller_address
  7: string peer_address
  8: i64 configuration
  9: i64 targets_changed
  10: bool platform_reached
  11: optional list<Load> load
  12: optional list<Stock> stock
  13: optional list<Poison> poison
  14: optional list<string> introduced
  15: double requests_per_second
  16: double capacity
  17: optional i32 configuration_age_ms
  18: optional i32 targets_age_ms
  19: optional TargetNews target_news
  20: optional list<HeardNode> heard
  21: optional bool is_brief
  22: optional i64 targets_as_of
  23: optional i64 sent_ms
  24: optional Evacuations evacuations
  25: optional i32 evacuations_age_ms
  26: optional i32 up_ms
  27: optional double fleets_lost
  28: optional list<Limit> limits
  29: optional list<LeavingTarget> leaving
  // Five bytes a target: its mark in network byte order, and the time since it
  // was heard from in units of 50 ms.
  30: optional binary reached
  31: optional bool cut_off
  32: optional list<Limit> brittle
  33: optional i64 store_era
  // Of targets_changed and targets_as_of.
  34: optional i64 targets_era
}

// What nodes drew of the record of allotments in one epoch. Parallel lists.
struct EpochDraws {
  1: i64 sequence
  2: i64 nonce
  3: i64 era
  4: list<string> teams
  5: list<i64> amounts
}

// Of node `life`, or in answer to its question `number`.
struct DrawReport {
  1: i64 life
  2: i64 number
  3: i64 era
  4: list<EpochDraws> draws
  5: optional i64 reporter
  6: optional i32 part
  7: optional i32 parts
}

struct DrawAck {
  1: i64 life
  2: i64 number
  3: i64 era
  4: i64 witness
}

struct DrawAsk {
  1: i64 life
  2: i64 number
  3: i64 era
}

struct TokenAsk {
  1: i64 life
  2: i64 number
  3: string team
  4: i64 wanted
  5: optional bool patient
  6: optional i8 urgency
}

struct TokenGive {
  1: i64 life
  2: i64 number
  3: string team
  4: i64 amount
  5: optional i64 allotted
}

struct TokenGift {
  1: i64 life
  2: i64 number
  3: string team
  4: i64 amount
}

struct TokenGiftTaken {
  1: i64 life
  2: i64 number
}

// Where a stream began.
struct StreamOrigin {
  1: i64 key
  2: string service_name
  3: string software
  4: i32 attempt
  5: optional i32 age_ms
}

struct OriginAsk {
  1: i64 life
  2: i64 number
  3: i64 key
  4: string service_name
}

struct OriginReply {
  1: i64 life
  2: i64 number
  3: string host
  4: optional StreamOrigin origin
  5: optional list<string> versions
  6: optional bool versions_complete
}

// Asks for parts of configuration `version` or a later one. The lowest bit of
// `missing` stands for the first part of the compressed text whose hash is
// `text`; of any other text all parts are missing.
struct ConfigurationAsk {
  1: i64 life
  2: i64 number
  3: i64 version
  4: i64 missing
  5: i64 text
}

struct ConfigurationPart {
  1: i64 life
  2: i64 number
  3: i64 version
  4: i64 text
  5: i32 part
  6: i32 parts
  7: binary bytes
}

struct Datagram {
  1: optional Beacon beacon
  2: optional TokenAsk ask
  3: optional TokenGive give
  4: optional TokenGift gift
  5: optional TokenGiftTaken gift_taken
  6: optional list<StreamOrigin> origins
  7: optional OriginAsk origin_ask
  8: optional OriginReply origin_reply
  9: optional list<Poison> crash_records
  10: optional RunAsk run_ask
  11: optional RunReply run_reply
  12: optional RunEnd run_end
  13: optional TokenGiftTaken give_taken
  14: optional DrawReport draw_report
  15: optional DrawAck draw_ack
  16: optional DrawAsk draw_ask
  17: optional DrawReport draw_answer
  18: optional ConfigurationAsk configuration_ask
  19: optional ConfigurationPart configuration_part
}

struct RelayAsk {
  1: i64 life
  2: string target
  3: i64 start_ms
  4: string request
  5: string host
}

struct SyncAsk {
  1: i64 configuration
  2: i64 targets_as_of
  3: optional i8 part
  4: optional string peer_address
  5: optional RelayAsk relay
  6: optional RelayAsk relay_end
  7: optional i64 era
}

struct SyncReply {
  1: optional string configuration
  2: i64 targets_as_of
  3: bool targets_full
  4: optional list<TargetRow> targets
  5: optional binary packed_configuration
  6: optional bool busy
  7: optional list<string> served
  8: optional i64 served_configuration
  9: optional i8 relay
  10: optional i8 relay_end
  11: optional i64 era
}
