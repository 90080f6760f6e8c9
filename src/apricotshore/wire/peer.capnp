@0xbf5147cbbecf40c1;
# Messages between hosts. Fields may be added but never renumbered, so that hosts
# of adjacent releases stay compatible.

struct Mark {
  term @0 :UInt64;
  position @1 :UInt64;
}

struct Cell {
  union {
    null @0 :Void;
    integer @1 :Int64;
    real @2 :Float64;
    text @3 :Text;
    bytes @4 :Data;
  }
}

struct Row {
  cells @0 :List(Cell);
}

struct Request {
  caller @0 :Text;
  database @1 :Text;
  session @2 :Text;
  sql @3 :Text;
  action @4 :Text;
  fingerprint @5 :Text;
  kind @6 :Text;
  requestId @7 :Text;
  token @8 :Mark;
  hasToken @9 :Bool;
  stalenessMs @10 :UInt32;
  deadlineMs @11 :UInt32;
  transaction @12 :Text;
  idempotent @13 :Bool;
  named @14 :Bool;
}

struct Reply {
  columns @0 :List(Text);
  rows @1 :List(Row);
  affectedRows @2 :UInt64;
  lastInsertId @3 :UInt64;
  mark @4 :Mark;
  server @5 :Text;
  duplicate @6 :Bool;
  transaction @7 :Text;
}

struct Failure {
  verdict @0 :Text;
  reason @1 :Text;
  detail @2 :Text;
  retryAfterMs @3 :UInt32;
  errorCode @4 :UInt16;
}

struct Redirect {
  host @0 :Text;
  address @1 :Text;
}

struct Outcome {
  union {
    reply @0 :Reply;
    failure @1 :Failure;
    redirect @2 :Redirect;
  }
}

struct Member {
  host @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  life @4 :Text;
  bundle @5 :UInt64;
}

struct Pings {
  updates @0 :List(Member);
}

struct Event {
  atMs @0 :UInt64;
  host @1 :Text;
  topic @2 :Text;
  subject @3 :Text;
  step @4 :Text;
  detail @5 :Text;
}

struct Count {
  reason @0 :Text;
  count @1 :UInt64;
}

struct BurnBucket {
  caller @0 :Text;
  kind @1 :Text;
  database @2 :Text;
  dataCentre @3 :Text;
  startMs @4 :UInt64;
  good @5 :UInt64;
  bad @6 :List(Count);
}

interface Peer {
  execute @0 (request :Request) -> (outcome :Outcome);
  ping @1 (updates :List(Member)) -> (updates :List(Member));
  fetchRoot @2 () -> (root :Text);
  fetchPieces @3 (digests :List(Text)) -> (texts :List(Text));
  witness @4 (address :Text) -> (reachable :Bool);
  listEvents @5 (topic :Text, subject :Text) -> (events :List(Event));
  offerDatabase @6 (database :Text) -> ();
  listBurn @8 () -> (buckets :List(BurnBucket));
  isHolding @9 (database :Text) -> (holding :Bool);
  isUnfit @7 (database :Text) -> (unfit :Bool);
}
