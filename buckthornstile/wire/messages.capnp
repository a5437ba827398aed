@0xb3f1c2d4e5a60718;

# Messages between the system's own processes. Field names match the
# dataclasses of _messages.py. Fields are only ever added, at the end.

struct TokenRange {
  first @0 :UInt32;
  last @1 :UInt32;
  version @2 :Int64;
}

struct RelayedRecord {
  offset @0 :Int64;
  data @1 :Data;
}

struct Slot {
  group @0 :UInt32;
  index @1 :UInt32;
}

struct Challenge {
  nonce @0 :Data;
}

struct Hello {
  process @0 :Text;
  role @1 :Text;
  incarnation @2 :Text;
  failureDomain @3 :Text;
  nonce @4 :Data;
  proof @5 :Data;
}

struct Welcome {
  process @0 :Text;
  role @1 :Text;
  incarnation @2 :Text;
  failureDomain @3 :Text;
  upstream @4 :Text;
  service @5 :Text;
  proof @6 :Data;
}

struct Dispatch {
  requestId @0 :Text;
  account @1 :Text;
  keyId @2 :Text;
  configurationOffset @3 :Int64;
  requestClass @4 :Text;
  idempotencyKey @5 :Text;
  firstAttemptAge @6 :Float64;
  attempt @7 :UInt32;
  idempotent @8 :Bool;
  timeout @9 :Float64;
  service @10 :Text;
  method @11 :Text;
  path @12 :Text;
  contentType @13 :Text;
  body @14 :Data;
  stream @15 :Bool;
  expectedTokens @16 :UInt32;
  lot @17 :Text;
  slotGroup @18 :UInt32;
  slotIndex @19 :UInt32;
  attach @20 :UInt32;
  minimumVersion @21 :Int64;
  weight @22 :Float64;
  slack @23 :Float64;
  homeStableFor @24 :Float64;
}

struct Started {
  requestId @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
}

struct Chunk {
  requestId @0 :Text;
  sequence @1 :UInt32;
  data @2 :Data;
}

struct End {
  requestId @0 :Text;
  verdict @1 :Text;
  code @2 :Text;
  message @3 :Text;
  length @4 :UInt64;
  digest @5 :Data;
  labels @6 :List(TokenRange);
  promptTokens @7 :UInt32;
  generatedTokens @8 :UInt32;
  retryAfter @9 :Float64;
  queueWait @10 :Float64;
  replayed @11 :Bool;
}

struct Answer {
  requestId @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  digest @4 :Data;
  labels @5 :List(TokenRange);
  promptTokens @6 :UInt32;
  generatedTokens @7 :UInt32;
  queueWait @8 :Float64;
  replayed @9 :Bool;
}

struct Cancel {
  requestId @0 :Text;
  reason @1 :Text;
}

struct Seal {
  requestId @0 :Text;
  idempotencyKey @1 :Text;
  account @2 :Text;
  firstAttemptAge @3 :Float64;
}

struct Sealed {
  requestId @0 :Text;
  verdict @1 :Text;
  isOpen @2 :Bool;
  isCounted @3 :Bool;
  promptTokens @4 :UInt32;
  generatedTokens @5 :UInt32;
}

struct Heartbeat {
  sequence @0 :UInt64;
  sentAt @1 :Float64;
  configurationOffset @2 :Int64;
  state @3 :Text;
  engineIncarnation @4 :Text;
  version @5 :Int64;
  limit @6 :Float64;
  running @7 :UInt32;
  queued @8 :UInt32;
  queuedTokens @9 :UInt64;
  tokensPerSecond @10 :Float64;
  term @11 :Int64;
  logLag @12 :Float64;
  fetchedVersion @13 :Int64;
  backgroundTokens @14 :UInt64;
}

struct Relay {
  records @0 :List(RelayedRecord);
}

struct RelayRequest {
  first @0 :Int64;
}

struct FinishedRequest {
  lot @0 :Text;
  attach @1 :UInt32;
}

struct FinishedSample {
  requestId @0 :Text;
  lot @1 :Text;
  slotGroup @2 :UInt32;
  slotIndex @3 :UInt32;
  body @4 :Data;
  digest @5 :Data;
  labels @6 :List(TokenRange);
  promptTokens @7 :UInt32;
  generatedTokens @8 :UInt32;
}

struct FinishedList {
  lot @0 :Text;
  attach @1 :UInt32;
  samples @2 :List(FinishedSample);
}

struct AcknowledgeSamples {
  lot @0 :Text;
  slots @1 :List(Slot);
}

struct ConfirmUsage {
  entry @0 :Text;
  through @1 :Int64;
}

struct Order {
  orderId @0 :Text;
  term @1 :Int64;
  action @2 :Text;
  version @3 :Int64;
  timeout @4 :Float64;
  source @5 :Text;
  sourcePort @6 :UInt16;
}

struct OrderResult {
  orderId @0 :Text;
  term @1 :Int64;
  accepted @2 :Bool;
  code @3 :Text;
  message @4 :Text;
}

struct WeightRequest {
  version @0 :Int64;
  index @1 :UInt32;
}

struct WeightChunk {
  version @0 :Int64;
  index @1 :UInt32;
  chunkCount @2 :UInt32;
  data @3 :Data;
  code @4 :Text;
}

struct Goodbye {
  reason @0 :Text;
}

struct Envelope {
  union {
    challenge @0 :Challenge;
    hello @1 :Hello;
    welcome @2 :Welcome;
    dispatch @3 :Dispatch;
    started @4 :Started;
    chunk @5 :Chunk;
    end @6 :End;
    cancel @7 :Cancel;
    seal @8 :Seal;
    sealed @9 :Sealed;
    heartbeat @10 :Heartbeat;
    relay @11 :Relay;
    relayRequest @12 :RelayRequest;
    finishedRequest @13 :FinishedRequest;
    finishedList @14 :FinishedList;
    acknowledgeSamples @15 :AcknowledgeSamples;
    confirmUsage @16 :ConfirmUsage;
    order @17 :Order;
    orderResult @18 :OrderResult;
    weightRequest @19 :WeightRequest;
    weightChunk @20 :WeightChunk;
    goodbye @21 :Goodbye;
    answer @22 :Answer;
  }
}
