# Messages between the processes of clementineroad. One frame holds one Message (design 4.2).
# Field numbers of Hello must never change: Hello is decoded before the versions are compared.
@0xb3f1c0d9a7e24c51;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("clementine::wire::schema");

struct Message {
  union {
    hello @0 :Hello;
    heartbeat @1 :Void;
    consensus @2 :Consensus;
    snapshotChunk @3 :SnapshotChunk;
    subscribe @4 :Subscribe;
    manifestState @5 :ManifestState;
    versionReport @6 :VersionReport;
    entryTick @7 :EntryTick;
    claimRequest @8 :ClaimRequest;
    claimReply @9 :ClaimReply;
    claimRelease @10 :ClaimRelease;
    claimOutcome @11 :ClaimOutcome;
    claimSync @12 :ClaimSync;
    homeRelease @13 :HomeRelease;
    joinRequest @14 :JoinRequest;
    demandReport @15 :DemandReport;
    call @16 :Call;
    callReply @17 :CallReply;
    directory @18 :Directory;
    orderBatch @19 :OrderBatch;
    resultBatch @20 :ResultBatch;
    readRequest @21 :ReadRequest;
    readIndex @22 :ReadIndex;
  }
}

struct Hello {
  protocolVersion @0 :UInt32;
  cluster @1 :Text;
  nodeId @2 :Text;
  role @3 :Role;
  availabilityZone @4 :Text;
  bootId @5 :UInt64;
  operators @6 :Text;
}

enum Role {
  entryd @0;
  controld @1;
}

# One message of the replicated log; src/consensus/types.h describes the fields.
struct Consensus {
  from @0 :UInt64;
  to @1 :UInt64;
  term @2 :UInt64;
  union {
    voteRequest @3 :VoteRequest;
    voteReply @4 :VoteReply;
    appendRequest @5 :AppendRequest;
    appendReply @6 :AppendReply;
    snapshotReply @7 :SnapshotReply;
    timeoutNow @8 :Void;
  }
}

struct VoteRequest {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  preVote @2 :Bool;
  transfer @3 :Bool;
}

struct VoteReply {
  granted @0 :Bool;
  preVote @1 :Bool;
}

struct AppendRequest {
  prevIndex @0 :UInt64;
  prevTerm @1 :UInt64;
  commit @2 :UInt64;
  sentAt @3 :Int64;
  entries @4 :List(LogEntry);
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :EntryKind;
  data @3 :Data;
}

enum EntryKind {
  command @0;
  membership @1;
  noOp @2;
}

struct AppendReply {
  accepted @0 :Bool;
  match @1 :UInt64;
  prevIndex @2 :UInt64;
  hintIndex @3 :UInt64;
  hintTerm @4 :UInt64;
  sentAt @5 :Int64;
}

struct SnapshotReply {
  index @0 :UInt64;
  nextOffset @1 :UInt64;
  installed @2 :Bool;
  sentAt @3 :Int64;
}

struct Member {
  id @0 :UInt64;
  node @1 :Text;
  voter @2 :Bool;
}

# Part of a snapshot, at most 256 KiB of data.
struct SnapshotChunk {
  from @0 :UInt64;
  to @1 :UInt64;
  senderTerm @2 :UInt64;
  index @3 :UInt64;
  term @4 :UInt64;
  members @5 :List(Member);
  totalBytes @6 :UInt64;
  checksum @7 :UInt32;
  offset @8 :UInt64;
  sentAt @9 :Int64;
  data @10 :Data;
}

# Sent by entryd to controld: the manifest version in force at the entryd.
struct Subscribe {
  version @0 :UInt64;
}

# Sent by controld to entryd. The text is empty if `version` is not newer than the subscription.
# `current` is set by a leader that holds its lease: no newer version was accepted.
struct ManifestState {
  version @0 :UInt64;
  text @1 :Text;
  current @2 :Bool;
}

# Sent by entryd to controld once a version is in force.
struct VersionReport {
  version @0 :UInt64;
}

struct EntryTick {
  sender @0 :Text;
  boot @1 :UInt64;
  sequence @2 :UInt64;
  base @3 :UInt64;
  echoedBoot @4 :UInt64;
  echoedSequence @5 :UInt64;
  draining @6 :Bool;
  validForMs @7 :Int64;
  demand @8 :List(ServiceDemand);
  held @9 :List(ShareReport);
  grants @10 :List(ShareGrant);
}

struct ServiceDemand {
  service @0 :Text;
  queued @1 :Int32;
  inUse @2 :Int32;
}

struct ShareReport {
  backendServer @0 :Text;
  epoch @1 :UInt64;
  held @2 :Int32;
  inUse @3 :Int32;
}

struct ShareGrant {
  backendServer @0 :Text;
  kind @1 :GrantKind;
  epoch @2 :UInt64;
  slots @3 :Int32;
  connections @4 :Int32;
  leaving @5 :Bool;
  lapsing @6 :Bool;
  released @7 :Bool;
  service @8 :Text;
  instance @9 :Text;
  address @10 :Text;
  port @11 :UInt16;
  availabilityZone @12 :Text;
}

# In the order of routing::grant_kind.
enum GrantKind {
  claim @0;
  extend @1;
  grant @2;
  gone @3;
}

struct ClaimKey {
  service @0 :Text;
  workspace @1 :Text;
  key @2 :Text;
}

enum ClaimState {
  none @0;
  inProgress @1;
  answered @2;
  unknown @3;
}

# Asks a holder to grant the claim of one idempotency key.
struct ClaimRequest {
  key @0 :ClaimKey;
  sender @1 :Text;
  claimId @2 :UInt64;
}

# `granted` is false if the holder does not vote or granted an earlier claim. `state` is the state
# of that earlier claim, or `none` if the holder does not vote.
struct ClaimReply {
  claimId @0 :UInt64;
  sender @1 :Text;
  granted @2 :Bool;
  state @3 :ClaimState;
}

struct ClaimRelease {
  key @0 :ClaimKey;
  sender @1 :Text;
  claimId @2 :UInt64;
}

struct ClaimOutcome {
  key @0 :ClaimKey;
  sender @1 :Text;
  claimId @2 :UInt64;
  state @3 :ClaimState;
}

struct ClaimRecord {
  key @0 :ClaimKey;
  claimant @1 :Text;
  claimId @2 :UInt64;
  state @3 :ClaimState;
  ageMs @4 :UInt64;
}

# A restarted holder sends `request`; the other holders answer with their records and set `last` in
# the final message, where `completeWith` names the entryds whose records the sender has.
struct ClaimSync {
  request @0 :Bool;
  sender @1 :Text;
  syncId @2 :UInt64;
  records @3 :List(ClaimRecord);
  last @4 :Bool;
  completeWith @5 :List(Text);
}

# A home releases a backend server, or a new home asks the old one to release it. `confirmed` ends
# the lease.
struct HomeRelease {
  sender @0 :Text;
  backendServer @1 :Text;
  epoch @2 :UInt64;
  confirmed @3 :Bool;
}

# Sent by a controld with a new replica id until that replica is a voter.
struct JoinRequest {
  replicaId @0 :UInt64;
}

# Demand at one entryd, an input of the capacity decisions.
struct DemandReport {
  demand @0 :List(ServiceDemand);
}

# HTTP request that a node forwards to the leading control node; messages.h describes the fields.
struct Call {
  id @0 :UInt64;
  origin @1 :CallOrigin;
  method @2 :Text;
  host @3 :Text;
  target @4 :Text;
  body @5 :Data;
  term @6 :UInt64;
  credential @7 :Data;
}

enum CallOrigin {
  caller @0;
  fleet @1;
}

struct CallReply {
  id @0 :UInt64;
  handled @1 :Bool;
  status @2 :UInt16;
  retryAfterMs @3 :UInt32;
  body @4 :Data;
}

struct Directory {
  leader @0 :Text;
  term @1 :UInt64;
  members @2 :List(DirectoryMember);
  commitIndex @3 :UInt64;
  relays @4 :Bool;
}

# Orders that a control node carries out for the leader; src/workload/order_codec.h describes the
# encoded orders and results.
struct OrderBatch {
  term @0 :UInt64;
  sentAt @1 :Int64;
  orders @2 :Data;
}

struct ResultBatch {
  results @0 :Data;
}

# Asks the leader for the log index that a read must not be older than.
struct ReadRequest {
  sequence @0 :UInt64;
}

struct ReadIndex {
  sequence @0 :UInt64;
  index @1 :UInt64;
}

struct DirectoryMember {
  id @0 :UInt64;
  node @1 :Text;
  voter @2 :Bool;
}
