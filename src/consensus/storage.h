// Durable state of one replica in one data folder: LOCK, identity, log-N, snapshot-N and term.
//
// `log-N` is the N-th segment of a sequence of records that is only ever appended to: an entry
// replaces all earlier ones from its index on. `term`, `identity` and `snapshot-N` hold one record
// and are replaced as a whole by a rename. A torn record at the end of the last segment was never
// acknowledged and is cut; any other bad record means that acknowledged data is lost.
#pragma once

#include "base/names.h"
#include "consensus/files.h"
#include "consensus/types.h"

#include <deque>

namespace clementine::consensus {

enum class storage_status {
    ready,   // the replica may start with `identity` and `state`
    empty,   // no replica was set up here, or its setup did not finish
    foreign, // the folder belongs to another cluster or to something else
    corrupt, // acknowledged data is damaged: the replica must rejoin under a new id
    locked,  // another process uses the folder
    failed   // the file system reported an error
};

inline constexpr name_table<6> storage_status_names{"ready",   "empty",  "foreign",
                                                    "corrupt", "locked", "failed"};
constexpr const auto& names_of(storage_status) {
    return storage_status_names;
}

// Result of opening a folder. `reason` names the file, and the byte offset of a bad record.
struct open_report {
    storage_status status = storage_status::failed;
    std::string reason;
    replica_id id = 0;
    durable_state state;
    std::uint64_t truncated_bytes = 0; // torn tail that was removed
};

struct storage_error {
    std::string reason; // operation, path and message
    bool no_space = false;
};

struct storage_config {
    std::string folder;
    std::string cluster;
    std::size_t segment_bytes = 8 * 1024 * 1024; // a longer segment is followed by a new one
};

// Not thread-safe. After the first failed operation every later one fails with the same error,
// because the state of the files is unknown then; the replica must stop.
class storage {
  public:
    storage(file_system& files, storage_config config);

    // Takes the lock and reads everything. Call it once.
    open_report open();
    // Sets up a replica in a folder that is `empty` or `corrupt`, or whose replica was removed from
    // its cluster, and removes what was there.
    // Voters of a new cluster start with bootstrap_snapshot; later members start with {}.
    std::optional<storage_error> set_up(replica_id id, const snapshot& first);
    // Makes the state, snapshot and entries of one `ready` durable.
    std::optional<storage_error> save(const ready& work);
    bool failed() const { return error_.has_value(); }

  private:
    struct segment {
        std::uint64_t number = 0;
        index_t max_index = 0; // highest index ever written into it
    };
    struct folder_content {
        bool identity = false;
        bool term = false;
        std::vector<std::uint64_t> segments;  // ascending
        std::vector<std::uint64_t> snapshots; // ascending
        std::vector<std::string> leftovers;   // *.tmp
        std::vector<std::string> unknown;
    };
    struct damage {
        std::string reason;
    };

    template <class Work>
    std::optional<storage_error> guarded(Work work);
    std::string path(std::string_view name) const;
    leaf::result<open_report> try_open();
    leaf::result<folder_content> scan();
    leaf::result<std::string> read_single(const std::string& name, std::string& bad);
    leaf::result<bool> read_identity(open_report& report);
    leaf::result<void> recover(const folder_content& content, open_report& report);
    leaf::result<void> rewrite_last_segment();
    leaf::result<void> read_segment(std::uint64_t number, bool last, open_report& report);
    void replay(std::string_view payload, const std::string& place, open_report& report);
    leaf::result<void> remove_old(const folder_content& content);
    leaf::result<void> replace(const std::string& name, std::string_view payload);
    leaf::result<void> try_set_up(replica_id id, const snapshot& first);
    leaf::result<void> try_save(const ready& work);
    leaf::result<void> start_segment(std::uint64_t number);
    leaf::result<void> drop_segments(index_t first_kept);

    file_system& files_;
    storage_config config_;
    std::unique_ptr<file_lock> lock_;
    std::optional<storage_error> error_;
    storage_status status_ = storage_status::failed;
    std::unique_ptr<file> log_;
    std::uint64_t log_bytes_ = 0;
    std::string tail_; // good records of the last segment, while opening
    std::deque<segment> segments_;
    std::uint64_t snapshot_number_ = 0;
};

} // namespace clementine::consensus
