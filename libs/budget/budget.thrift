// Stored form of budget records and of a shard's books (compact protocol).
// Field numbers are never used again for another meaning.
namespace cpp fennelladder.budget.wire

struct topup { 1: string team, 2: string budget, 3: string id, 4: i64 amount }
struct allot { 1: string budget, 2: i64 wish, 3: i64 minimum, 4: i32 spread, 5: i64 ceiling }
struct give_back { 1: string budget, 2: i64 amount, 3: bool closing }
struct raise_ceiling { 1: string budget, 2: i64 ceiling }
struct bill {
  1: string team, 2: string key, 3: bool keyed, 4: string budget,
  5: i64 amount, 6: i32 outcome, 7: i64 at, 8: optional string answer,
  9: optional string biller, 10: i64 number
}
struct claim { 1: string team, 2: string key, 3: i64 at }
struct transfer {
  1: string budget, 2: string taker, 3: i64 amount, 4: string giver,
  5: i64 number
}
struct join { 1: list<string> witnesses, 2: i64 at }
struct fence { 1: string holder, 2: string reason }
struct witnessed { 1: string budget, 2: i64 ceiling }
struct fence_ack { 1: string holder, 2: list<witnessed> ceilings, 3: bool last }
struct release { 1: string holder, 2: string person, 3: string reason }
struct leave {}

union body {
  1: topup topup_, 2: allot allot_, 3: give_back give_back_, 4: raise_ceiling raise_,
  5: bill bill_, 6: claim claim_, 7: transfer transfer_, 8: join join_,
  9: fence fence_, 10: fence_ack fence_ack_, 11: release release_, 12: leave leave_
}

struct holding_state {
  1: i32 holder, 2: i64 granted, 3: i64 taken, 4: i64 returned,
  5: i64 given, 6: i64 billed, 7: i64 ceiling, 8: bool closing
}
struct budget_state {
  1: string id, 2: string team, 3: i64 topped_up, 4: i64 spent,
  5: i64 uncollected, 6: i64 released, 7: list<string> topup_ids,
  8: list<holding_state> holdings
}
struct holder_state {
  1: string id, 2: i64 bill_low, 3: list<i64> bills, 4: list<string> witnesses,
  5: i32 standing, 6: list<string> waiting, 7: i64 last_at, 8: string reason,
  9: i64 transfer_low, 10: list<i64> transfers
}
struct key_state {
  1: string key, 2: i32 phase, 3: i32 holder, 4: i64 amount, 5: i32 outcome,
  6: i64 expires, 7: string answer
}
struct books_state {
  1: list<holder_state> holders, 2: list<budget_state> budgets,
  3: list<key_state> keys, 4: i64 head
}

// What the fold answers to the sender of a record.
struct reply {
  1: i32 what, 2: i64 granted_total, 3: i64 free, 4: i32 holders,
  5: bool closed, 6: optional string key_owner, 7: optional string gone,
  8: i32 sender
}
