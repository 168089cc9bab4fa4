@0xd5a1f0c3b7e94a62;
# Schema of the peer protocol. Each frame on a link is one Frame. New fields and union members must
# be added at the end.

struct Frame {
  stream @0 :UInt64;
  # Stream id on the link; stream 0 carries control messages and notices.
  stamp @1 :UInt64;
  # Hybrid logical clock timestamp of the sender.
  body :union {
    hello @2 :Hello;
    helloAck @3 :HelloAck;
    helloConfirm @4 :HelloConfirm;
    credit @5 :Credit;
    streamClosed @6 :StreamClosed;
    reserve @7 :Reserve;
    reserved @8 :Reserved;
    refused @9 :Refused;
    commit @10 :Commit;
    chunk @11 :Chunk;
    end @12 :End;
    cancel @13 :Cancel;
    query @14 :Query;
    queryReply @15 :QueryReply;
    attach @16 :Attach;
    loadReport @17 :LoadReport;
    headNotice @18 :HeadNotice;
    partsRequest @19 :PartsRequest;
    partsReply @20 :PartsReply;
    adminCall @21 :AdminCall;
    adminReturn @22 :AdminReturn;
    ping @23 :Ping;
    pong @24 :Pong;
    claimRequest @25 :ClaimRequest;
    claimReply @26 :ClaimReply;
    sliceRequest @27 :SliceRequest;
    sliceReply @28 :SliceReply;
    placementOrder @29 :PlacementOrder;
    placementReply @30 :PlacementReply;
  }
}

struct Hello {
  schemaVersion @0 :UInt16;
  vm @1 :Text;
  role @2 :Text;
  dataCentre @3 :Text;
  incarnation @4 :Text;
  nonce @5 :Data;
}

struct HelloAck {
  schemaVersion @0 :UInt16;
  vm @1 :Text;
  role @2 :Text;
  dataCentre @3 :Text;
  incarnation @4 :Text;
  nonce @5 :Data;
  proof @6 :Data;
}

struct HelloConfirm {
  proof @0 :Data;
}

struct Credit {
  sizeBytes @0 :UInt32;
}

struct StreamClosed {
  code @0 :UInt32;
  reason @1 :Text;
}

struct Reserve {
  requestId @0 :Text;
  attempt @1 :UInt32;
  model @2 :Text;
  service @3 :Text;
  customer @4 :Text;
  promptTokens @5 :UInt32;
  maxOutputTokens @6 :UInt32;
  prefixHashes @7 :List(UInt64);
  timeLimitS @8 :Float64;
  idempotent @9 :Bool;
  priority @10 :Int32;
  bodySizeBytes @11 :UInt32;
  generation @12 :UInt64;
  commitNow @13 :Bool;
  shownTokens @14 :UInt32;
  operation @15 :Text;
  segmentTokens @16 :UInt32;
  startsInS @17 :Float64;
  importHandles @18 :List(Text);
  importSources @19 :List(Text);
  importTokens @20 :List(UInt32);
  maxWaitS @21 :Float64;
}

struct Reserved {
  requestId @0 :Text;
  attempt @1 :UInt32;
  incarnation @2 :Text;
  predictedFirstTokenS @3 :Float64;
  predictedTotalS @4 :Float64;
  lapseS @5 :Float64;
  cachedTokens @6 :UInt32;
  engineAddress @7 :Text;
}

struct Refused {
  requestId @0 :Text;
  attempt @1 :UInt32;
  code @2 :Text;
  limit @3 :Float64;
  measured @4 :Float64;
  retryAfterS @5 :Float64;
  detail @6 :Text;
}

struct Commit {
  requestId @0 :Text;
  attempt @1 :UInt32;
  incarnation @2 :Text;
  timeLimitS @3 :Float64;
}

struct Chunk {
  requestId @0 :Text;
  attempt @1 :UInt32;
  sequence @2 :UInt32;
  tokens @3 :UInt32;
  data @4 :Data;
}

struct End {
  requestId @0 :Text;
  attempt @1 :UInt32;
  outcome @2 :Text;
  chunks @3 :UInt32;
  status @4 :UInt16;
  promptTokens @5 :UInt32;
  cachedTokens @6 :UInt32;
  outputTokens @7 :UInt32;
  finishReason @8 :Text;
  code @9 :Text;
  detail @10 :Text;
  retryAfterS @11 :Float64;
  contentType @12 :Text;
}

struct Cancel {
  requestId @0 :Text;
  attempt @1 :UInt32;
  reason @2 :Text;
}

struct Query {
  requestId @0 :Text;
  attempt @1 :UInt32;
  incarnation @2 :Text;
  voidIfUncommitted @3 :Bool;
}

struct QueryReply {
  requestId @0 :Text;
  attempt @1 :UInt32;
  incarnation @2 :Text;
  state @3 :Text;
}

struct Attach {
  requestId @0 :Text;
  attempt @1 :UInt32;
  incarnation @2 :Text;
  fromSequence @3 :UInt32;
  timeLimitS @4 :Float64;
}

struct LoadReport {
  models @0 :List(Text);
  services @1 :List(Text);
  queuedTokens @2 :UInt64;
  running @3 :UInt32;
  freeBlocks @4 :UInt32;
  totalBlocks @5 :UInt32;
  firstTokenS @6 :List(Float64);
  prefillTokensPerS @7 :Float64;
  leaving @8 :Bool;
  generation @9 :UInt64;
  digest @10 :Text;
  blockTokens @11 :UInt32;
}

struct HeadNotice {
  generation @0 :UInt64;
  digest @1 :Text;
  head @2 :Data;
}

struct PartsRequest {
  digests @0 :List(Text);
}

struct PartsReply {
  parts @0 :List(Data);
}

struct AdminCall {
  method @0 :Text;
  body @1 :Data;
}

struct AdminReturn {
  status @0 :UInt16;
  body @1 :Data;
}

struct Ping {
  nonce @0 :UInt64;
}

struct Pong {
  nonce @0 :UInt64;
}

struct ClaimRequest {
  operation @0 :Text;
  keyHash @1 :Data;
  bodyDigest @2 :Data;
  vm @3 :Text;
  incarnation @4 :Text;
  requestId @5 :Text;
  attempt @6 :UInt32;
  oldVm @7 :Text;
  oldIncarnation @8 :Text;
  oldRequestId @9 :Text;
  oldAttempt @10 :UInt32;
  timeLimitS @11 :Float64;
}

struct ClaimReply {
  state @0 :Text;
  vm @1 :Text;
  incarnation @2 :Text;
  requestId @3 :Text;
  attempt @4 :UInt32;
  retryAfterS @5 :Float64;
}

struct SliceRequest {
  customers @0 :List(Text);
  openRequests @1 :List(UInt32);
  wantRequests @2 :List(UInt32);
  wantTokens @3 :List(UInt64);
  returnedTokens @4 :List(UInt64);
}

struct SliceReply {
  customers @0 :List(Text);
  requests @1 :List(UInt32);
  tokens @2 :List(UInt64);
  heldRequests @3 :List(UInt32);
  retryAfterS @4 :List(Float64);
  lapseS @5 :Float64;
}

struct PlacementOrder {
  fence @0 :UInt64;
  action @1 :Text;
  model @2 :Text;
  version @3 :Text;
  adapter @4 :Text;
  role @5 :Text;
  needed @6 :Text;
}

struct PlacementReply {
  state @0 :Text;
  fence @1 :UInt64;
  models @2 :List(Text);
  role @3 :Text;
  isPinned @4 :Bool;
  detail @5 :Text;
}
