// Durable state of one replica in one data folder: LOCK, identity, log-N, snapshot-N and term.
//
// `log-N` is the N-th segment of an append-only sequence of records; an entry replaces all earlier
// ones from its index on. `term`, `identity` and `snapshot-N` hold one record each and are replaced
// atomically by a rename. A torn record at the end of the last segment was never acknowledged and
// is truncated; any other invalid record means that acknowledged data is lost.
#pragma once

#include "base/names.h"
#include "consensus/files.h"
#include "consensus/types.h"

#include <deque>

namespace clementine::consensus {

enum class storage_status {
    ready,   // the replica may start with `identity` and `state`
    empty,   // no replica was set up, or its setup did not finish
    foreign, // the folder belongs to another cluster or holds unrelated files
    corrupt, // acknowledged data is damaged: the replica must rejoin under a new id
    locked,  // another process uses the folder
    failed   // the file system reported an error
};

inline constexpr name_table<6> storage_status_names{"ready",   "empty",  "foreign",
                                                    "corrupt", "locked", "failed"};
constexpr const auto& names_of(storage_status) {
    return storage_status_names;
}

// Result of opening a folder. `reason` contains the file, and the byte offset of an invalid record.
struct open_report {
    storage_status status = storage_status::failed;
    std::string reason;
    replica_id id = 0;
    durable_state state;
    std::uint64_t truncated_bytes = 0; // size of the torn record that was removed
};

struct storage_error {
    std::string reason; // operation, path and message
    bool no_space = false;
};

struct storage_config {
    std::string folder;
    std::string cluster;
    std::size_t segment_bytes = 8 * 1024 * 1024; // size from which a new segment is started
};

// Not thread-safe. After a failed operation the state of the files is unknown, so every later
// operation fails with the same error and the replica must stop.
class storage {
  public:
    storage(file_system& files, storage_config config);

    // Locks the folder and recovers the state. Must be called once, before anything else.
    open_report open();
    // Initializes a replica and removes all earlier data. Allowed if the folder is `empty` or
    // `corrupt`, or if its replica was removed from the cluster. Voters of a new cluster start with
    // bootstrap_snapshot; later members start with {}.
    std::optional<storage_error> set_up(replica_id id, const snapshot& initial);
    // Makes the state, snapshot and entries of one `ready` durable.
    std::optional<storage_error> save(const ready& work);
    bool failed() const { return error_.has_value(); }

  private:
    struct segment {
        std::uint64_t number = 0;
        index_t max_index = 0; // highest index written to it
    };
    struct folder_content {
        bool identity = false;
        bool term = false;
        std::vector<std::uint64_t> segments;      // ascending
        std::vector<std::uint64_t> snapshots;     // ascending
        std::vector<std::string> temporary_files; // *.tmp
        std::vector<std::string> other_files;
    };
    struct damage {
        std::string reason;
    };

    template <class Operation>
    std::optional<storage_error> run_unless_failed(Operation operation);
    std::string path(std::string_view name) const;
    leaf::result<open_report> try_open();
    leaf::result<folder_content> scan();
    leaf::result<std::string> read_single_record(const std::string& name, std::string& problem);
    leaf::result<bool> read_identity(open_report& report);
    leaf::result<void> write_identity(replica_id id);
    leaf::result<void> recover(const folder_content& content, open_report& report);
    leaf::result<void> rewrite_last_segment();
    leaf::result<void> read_segment(std::uint64_t number, bool is_last, open_report& report);
    void replay_record(std::string_view payload, const std::string& location, open_report& report);
    leaf::result<void> remove_obsolete_files(const folder_content& content);
    leaf::result<void> replace_file(const std::string& name, std::string_view payload);
    leaf::result<void> try_set_up(replica_id id, const snapshot& initial);
    leaf::result<void> try_save(const ready& work);
    leaf::result<void> start_segment(std::uint64_t number);
    leaf::result<void> drop_segments(index_t first_kept);

    file_system& files_;
    storage_config config_;
    std::unique_ptr<file_lock> lock_;
    std::optional<storage_error> error_;
    storage_status status_ = storage_status::failed;
    bool has_record_ends_ = true; // the last segment has only records with a nonzero last byte
    std::unique_ptr<file> log_;
    std::uint64_t log_bytes_ = 0;
    std::string last_segment_records_; // valid records of the last segment, used by open() only
    std::deque<segment> segments_;
    std::uint64_t snapshot_number_ = 0;
};

} // namespace clementine::consensus
