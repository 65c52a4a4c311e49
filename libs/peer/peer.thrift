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

// Transfers of tokens between allotments, promised ceilings, copies of bills.

struct transfer_question {
  1: string taker
  2: string giver
  3: i64 number
  4: string budget
  5: i64 wish
  6: i64 need
  // The taker's last word instead of an ask.
  7: bool word
  8: bool credited
}

struct transfer_answer {
  1: i64 ask
  2: string giver
  3: i64 number
  4: i64 amount
  5: bool more_soon
}

struct witness_question {
  1: string holder
  2: string witness
  3: string budget
  4: i64 ceiling
}

struct bill_copy {
  1: i64 shard
  2: binary bill
}

struct copies_question {
  1: string biller
  2: list<bill_copy> bills
  3: map<i64, i64> done_up_to
}

// Requests that targets died of.

struct death_message {
  1: i64 id
  2: i64 at
  3: string witness
}

struct suspect_message {
  1: i64 mark
  2: list<death_message> deaths
  3: i64 answered
  4: i64 refused
}

struct suspects_question {
  1: string sender
  2: list<suspect_message> records
}

struct ack_message {
  1: i64 mark
  2: i64 deaths
  3: bool running
  4: i64 answered
}

struct suspects_answer {
  1: list<ack_message> acks
}
