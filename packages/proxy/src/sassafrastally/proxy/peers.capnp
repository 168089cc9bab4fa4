# Messages between entries: datagrams, and answers to calls for changes.
@0xd1b0a51e7a3c4f29;

struct Hello {
  host @0 :Text;              # IP address of the sender
  bootId @1 :UInt64;          # random, different after each restart of the sender
  sequence @2 :UInt64;        # incremented with each datagram, restarts with a new boot id
  revision @3 :UInt64;        # store revision known to the sender
  confirmedAgeMs @4 :UInt32;  # time since the revision was last confirmed, by the store or a peer
  isStopping @5 :Bool;
  loads @6 :List(Load);       # the sender's own requests, by backend server
  peers @7 :List(Text);       # IP addresses of entries from which the sender receives
  suspects @8 :List(Suspect);
  storeAgeMs @9 :UInt32;      # time since the store last answered the sender itself
  returnedAgeMs @10 :UInt32;  # time since the end of the last store outage
  dataCentre @11 :Text;
  linkMbps @12 :UInt32;       # speed of the sender's link
  paces @13 :List(Pace);      # slow engines according to reports to the sender
  entries @14 :UInt16;        # 0: the sender alone; otherwise aggregated over this many entries of its data centre
  watchers @15 :List(Watcher);  # in a sum: entries of the data centre that may watch the store
  crashes @16 :List(Crash);   # recent server crashes and the requests that ran there
  verdicts @17 :List(Verdict);  # quarantined requests
  answers @18 :List(Answer);  # answers to requests during which servers crashed
  limits @19 :List(Limit);    # request rates that servers accept over all entries
  epoch @20 :UInt64;          # number of restores of the store known to the sender
  configurationVersion @21 :UInt64;  # of the configuration in force; 0: none
  draining @22 :List(UInt64);  # hashes of the ids of draining servers that a restored store names as ready
  demands @23 :List(Demand);  # requests that found no share of a limit, by service
  grants @24 :List(Grant);    # shares of limits that the sender leaves to other entries
  isToForward @25 :Bool;      # in a sum: the receiving relay forwards it within its data centre
  isOverloaded @26 :Bool;     # the sender leaves duties to others
  isContended @27 :Bool;      # requests wait for room at the sender, or have lately been refused for load
  customers @28 :List(CustomerWork);  # customers with the most recent work
  refusals @29 :List(Refusal);  # refused requests whose callers have been asked to wait
  colds @30 :List(Cold);      # servers that are cold according to their responses
  failures @31 :List(ServerFailures);  # servers with recent failures
}

struct CustomerWork {
  customer @0 :UInt64;        # hash of the customer's name
  workMs @1 :UInt32;          # engine time of the work started in the last seconds
}

struct Refusal {
  request @0 :UInt64;         # fingerprint of the request, or key of a prompt part
  dueMs @1 :UInt32;           # remaining time until its caller may retry
}

struct Cold {
  server @0 :UInt64;          # hash of the backend server's id
  leftMs @1 :UInt32;          # remaining cold time
}

struct ServerFailures {
  server @0 :UInt64;          # hash of the backend server's id
  failures @1 :UInt16;
  responses @2 :UInt16;       # failures included
}

struct Demand {
  service @0 :UInt64;         # hash of the service's name
  requests @1 :UInt32;        # number so far; restarts with a new boot id
}

struct Grant {
  server @0 :UInt64;          # hash of the backend server's id
  grantee @1 :UInt64;         # hash of the entry's IP address
  requests @2 :UInt16;
  validMs @3 :UInt32;         # remaining time
  number @4 :UInt32;          # distinguishes the sender's grants; a repeated one isn't new
}

struct Limit {
  server @0 :UInt64;          # hash of the backend server's id
  milliPerSecond @1 :UInt32;  # requests per 1,000 s
  isEnded @2 :Bool;           # the server no longer has a limit
  ageMs @3 :UInt32;           # time since the server announced it
}

struct Crash {
  request @0 :UInt64;         # fingerprint of the request, or key of a prompt part
  server @1 :UInt64;          # hash of the backend server's id
  ageMs @2 :UInt32;
  isPresumed @3 :Bool;        # it isn't certain yet that the server has crashed
}

struct Verdict {
  request @0 :UInt64;
  leftMs @1 :UInt32;
  crashes @2 :UInt16;
  companions @3 :List(UInt64);  # keys of further prompt parts that a request must have
  trialsBegun @4 :UInt8;      # trials of all entries, as far as the sender knows
  trialsWithoutCrash @5 :UInt8;  # trials at which no server crashed
  hasTrialCrashed @6 :Bool;   # a server has crashed at a trial
}

struct Answer {
  request @0 :UInt64;
  ageMs @1 :UInt32;
}

struct Watcher {
  host @0 :Text;
  storeAgeMs @1 :UInt32;
  linkMbps @2 :UInt32;
  isOverloaded @3 :Bool;
}

struct Delta {
  revision @0 :UInt64;
  isEverything @1 :Bool;      # a full snapshot instead of changes
  items @2 :List(Item);
  epoch @3 :UInt64;
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;        # 0: kept by the sender from before a restore of the store
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
  percent @1 :UInt32;         # time that work takes, relative to the engine's nominal figures
}
