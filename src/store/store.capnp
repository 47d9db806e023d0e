# Commands in the replicated log and snapshots of the state machine. Both are kept on disk, so
# field numbers must never change.
@0xc2a84f0e6d1b7395;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("clementine::store::schema");

struct Command {
  union {
    setManifest @0 :SetManifest;
    setMaintenance @1 :SetMaintenance;
    decide @2 :Decide;
  }
}

struct SetManifest {
  requestId @0 :Text;
  baseVersion @1 :UInt64;
  text @2 :Text;
  leaderTime @3 :Int64;
}

struct SetMaintenance {
  requestId @0 :Text;
  mode @1 :MaintenanceMode;
  leaderTime @2 :Int64;
}

# Decisions as encoded by scheduler/codec.h.
struct Decide {
  decisions @0 :List(Data);
  leaderTime @1 :Int64;
}

enum MaintenanceMode {
  running @0;
  paused @1;
}

struct Snapshot {
  leaderTime @0 :Int64;
  manifest @1 :ManifestVersion;
  requests @2 :List(RequestRecord);
  history @3 :List(HistoryRecord);
  maintenance @4 :MaintenanceState;
  fleet @5 :Data; # Scheduler state as encoded by scheduler/codec.h; empty if there is none.
  decisions @6 :UInt64;
}

struct ManifestVersion {
  version @0 :UInt64;
  requestId @1 :Text;
  text @2 :Text;
}

struct RequestRecord {
  requestId @0 :Text;
  digest @1 :UInt64;
  acceptedAt @2 :Int64;
  result :union {
    accepted @3 :UInt64;
    conflict :group {
      version @4 :UInt64;
      requestId @5 :Text;
    }
    done @6 :Void;
  }
}

struct HistoryRecord {
  version @0 :UInt64;
  baseVersion @1 :UInt64;
  requestId @2 :Text;
  acceptedAt @3 :Int64;
  bytes @4 :UInt64;
}

struct MaintenanceState {
  mode @0 :MaintenanceMode;
  requestId @1 :Text;
  changedAt @2 :Int64;
}
