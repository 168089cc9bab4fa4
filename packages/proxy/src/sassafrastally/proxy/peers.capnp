# Messages between entries: datagrams, and answers to calls for changes.
@0xd1b0a51e7a3c4f29;

struct Hello {
  host @0 :Text;              # IP number of the sender
  bootId @1 :UInt64;          # random, new with each start of the sender
  sequence @2 :UInt64;        # grows with each datagram of one start
  revision @3 :UInt64;        # revision of the store that the sender knows
  confirmedAgeMs @4 :UInt32;  # time since the store itself confirmed it to the sender
  isStopping @5 :Bool;
  loads @6 :List(Load);       # the sender's own requests, by backend server
  peers @7 :List(Text);       # IP numbers of entries that the sender hears
  suspects @8 :List(Suspect);
  storeAgeMs @9 :UInt32;      # time since the sender itself had an answer of the store
  returnedAgeMs @10 :UInt32;  # time since the store last returned from an outage
  dataCentre @11 :Text;
  linkMbps @12 :UInt32;       # speed of the sender's link
  paces @13 :List(Pace);      # engines that the sender's reports show to be slow
  entries @14 :UInt16;        # 0: of the sender alone; else the sum of that many entries of its data centre
  watchers @15 :List(Watcher);  # with a sum: those of the data centre that may watch the store
  crashes @16 :List(Crash);   # servers that crashed lately, and what they ran
  verdicts @17 :List(Verdict);  # requests that are run no more
  answers @18 :List(Answer);  # answers to requests under which servers crashed
  limits @19 :List(Limit);    # requests that servers take from all entries together
}

struct Limit {
  server @0 :UInt64;          # hash of the backend server's id
  milliPerSecond @1 :UInt32;  # requests in 1,000 s
  isEnded @2 :Bool;           # the server no longer names a limit
  ageMs @3 :UInt32;           # time since the server said so
}

struct Crash {
  request @0 :UInt64;         # fingerprint of the request
  server @1 :UInt64;          # hash of the backend server's id
  ageMs @2 :UInt32;
  isPresumed @3 :Bool;        # its end isn't certain yet
}

struct Verdict {
  request @0 :UInt64;
  leftMs @1 :UInt32;
  crashes @2 :UInt16;
}

struct Answer {
  request @0 :UInt64;
  ageMs @1 :UInt32;
}

struct Watcher {
  host @0 :Text;
  storeAgeMs @1 :UInt32;
  linkMbps @2 :UInt32;
}

struct Delta {
  revision @0 :UInt64;
  isEverything @1 :Bool;      # all entries, in place of changes
  items @2 :List(Item);
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isRemoved @3 :Bool;
}

struct Load {
  server @0 :UInt64;          # hash of the backend server's id
  shortRequests @1 :UInt16;
  longRequests @2 :UInt16;
  readingRequests @3 :UInt16;
  plainRequests @4 :UInt16;
  kiloTokens @5 :UInt32;
  readingMs @6 :UInt32;
  kiloTokensWriting @7 :UInt32;
  suspectRequests @8 :UInt16;
}

struct Suspect {
  server @0 :UInt64;
  forMs @1 :UInt32;
}

struct Pace {
  server @0 :UInt64;
  percent @1 :UInt32;         # time that work takes, of what the engine's figures say
}
