@0xb9d1f4a27c0e63d5;
# Calls between leadstage's own processes, all on their control threads.

struct PlaceRequest {
  generation @0 :UInt64;
  organisation @1 :Text;
  model @2 :Text;
  hall @3 :Text;            # hall of the pool
  promptTokens @4 :UInt32;
  maxTokens @5 :UInt32;
  priority @6 :Int32;
  prefix @7 :UInt64;        # hash of the prompt's start, 0 for none
  entry @8 :Text;           # VM id of the entry that asks
}

struct PlaceOutcome {
  union {
    granted :group {
      upstream @0 :Text;
      priority @1 :Int32;
    }
    refused :group {
      code @2 :UInt16;
      retryAfterMs @3 :UInt32;
    }
  }
}

enum RunState {
  running @0;
  finished @1;
  cancelled @2;
  lost @3;
}

# One generation of the sender's; all that a new lead needs to rebuild its books.
struct Progress {
  generation @0 :UInt64;
  tokens @1 :UInt32;        # delivered so far
  state @2 :RunState;
  brief @3 :Bool;           # the lead has the rest, which is left out
  organisation @4 :Text;
  upstream @5 :Text;
  promptTokens @6 :UInt32;
  maxTokens @7 :UInt32;
  priority @8 :Int32;
  prefix @9 :UInt64;
}

enum Liveness {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct News {
  vm @0 :Text;
  incarnation @1 :UInt64;
  liveness @2 :Liveness;
}

struct Gossip {
  from @0 :Text;
  news @1 :List(News);
  bundleNumber @2 :UInt64;
  leaving @3 :List(Text);   # upstreams the sender knows to be leaving
}

enum ClaimState {
  claimed @0;      # this arrival owns the key and may dispatch
  known @1;        # another arrival owns it; see outcome
  refused @2;      # not run; come back
}

struct ClaimReply {
  state @0 :ClaimState;
  outcome @1 :Data;         # JSON of the recorded outcome, empty while it runs
  code @2 :UInt16;
  retryAfterMs @3 :UInt32;
}

interface Peer {
  place @0 (req :PlaceRequest) -> (outcome :PlaceOutcome);
  report @1 (entry :Text, model :Text, hall :Text, batch :List(Progress)) -> (unknown :List(UInt64));
  # Generations of one pool; the reply names those of which the lead needs the rest.
  probe @2 (gossip :Gossip) -> (gossip :Gossip);
  probeFor @3 (target :Text) -> (alive :Bool);
  fetchBundle @4 (above :UInt64) -> (envelope :Data);
  claim @5 (shard :UInt32, key :Text, nonce :UInt64, digest :Text, by :Text) -> (reply :ClaimReply);
  record @6 (shard :UInt32, key :Text, nonce :UInt64, outcome :Data) -> ();
}
