// What nodes ask of one another. A message is encoded by the library that
// decides about it; this service only carries it.

namespace cpp fennelladder.peer.wire

exception failure {
  1: i32 code
  2: string message
}

service peer_service {
  binary ask(1: i32 topic, 2: binary message) throws (1: failure why)
}

// Records on their way to the hinted owner of a shard, and what came of them.

struct record_message {
  1: string writer
  2: i64 sequence
  3: i64 acknowledged
  4: i64 opened_at
  5: i32 type
  6: binary payload
}

struct append_message {
  1: i64 shard
  2: list<record_message> records
}

struct applied_message {
  1: string writer
  2: i64 sequence
  3: i64 acknowledged
  4: i64 opened_at
  5: i32 outcome
  6: binary reply
  7: bool found
}

struct append_answer {
  1: list<applied_message> applied
}

// Configuration from a node that has it.

struct configuration_question {
  1: string part
}

struct configuration_answer {
  1: binary bytes
}
