// Wire form of the membership messages (see
// include/fennelladder/membership/messages.hpp, which says what they mean).
// Fields may be added with new numbers; a number is never used again.
//
// Generate: thrift --gen cpp:no_skeleton -out generated membership.thrift

namespace cpp fennelladder.membership.wire

struct Description {
  1: string life
  2: string data_center
  3: string region
  4: string caller_address
  5: string peer_address
  6: i32 capacity
}

struct Update {
  1: string host
  2: i64 version
  3: i8 state
  4: i8 health
  5: i32 life_tag
  6: optional Description description
}

struct Sample {
  1: string host
  2: i64 sequence
  3: i32 load
  4: i64 in_force
}

struct Gossip {
  1: Update sender
  2: Sample sample
  3: i64 highest_generation
  4: i64 digest
  5: optional list<Update> updates
  6: optional list<Sample> samples
  7: optional binary extension
}

struct Heartbeat {
  1: Gossip gossip
  2: optional bool describe
  3: optional string relay_target
  4: optional list<string> heard
  5: optional string page_after
  6: optional i32 page_limit
}

struct HeartbeatReply {
  1: Gossip gossip
  2: optional bool describe
  3: optional list<Update> page
  4: optional bool page_last
  5: optional string page_after
}
