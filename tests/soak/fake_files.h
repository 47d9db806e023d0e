// In-memory file system for one replica. It tracks durable data separately from written data, and
// injects lost data, torn writes, bit flips and failed operations.
#pragma once

#include "base/random.h"
#include "consensus/files.h"

#include <map>
#include <memory>

namespace clementine::consensus {

class fake_file_system final : public file_system {
  public:
    explicit fake_file_system(std::uint64_t seed) : random_(seed) {}

    leaf::result<void> make_folder(const std::string& path) override;
    leaf::result<std::vector<std::string>> list(const std::string& folder) override;
    leaf::result<std::unique_ptr<file_lock>> lock(const std::string& path) override;
    leaf::result<std::unique_ptr<file>> open(const std::string& path) override;
    leaf::result<std::unique_ptr<file>> create(const std::string& path) override;
    leaf::result<void> rename(const std::string& from, const std::string& to) override;
    leaf::result<void> remove(const std::string& path) override;
    leaf::result<void> sync_folder(const std::string& folder) override;

    // Simulates a machine crash: each unsynced directory change is kept or lost at random, and a
    // random prefix of unsynced data survives, sometimes followed by zeros or garbage. Releases
    // all locks.
    void crash();
    // Simulates a process kill: written data stays in the page cache. Releases all locks.
    void kill();
    // Replaces the disk by an empty one.
    void wipe();
    bool empty() const { return live_.empty(); }
    // Flips a random bit in a synced file whose path starts with `prefix`. False if there is none
    // with data.
    bool flip_bit(const std::string& prefix);
    // Removes a file, including its durable copy.
    void remove_durably(const std::string& path);

    // Reads and writes transfer a random part of the requested bytes.
    bool short_transfers = false;
    // Writes fail for lack of space while set.
    bool disk_full = false;
    // Number of changing operations that succeed before the machine crashes; negative for no crash.
    // After it every operation fails until `crash`, `kill` or `wipe` is called.
    int crash_after_changes = -1;
    // Number of fsync calls that succeed before one fails and drops the unsynced data, as Linux
    // does; later ones report success without making it durable. Negative for no failure.
    int fail_sync_after_calls = -1;

    bool stopped() const { return stopped_; }
    std::uint64_t sync_count() const { return sync_count_; }

  private:
    friend class fake_file;
    friend class fake_lock;

    struct content {
        std::string live;
        std::string durable;
        bool unsynced_lost = false; // a failed fsync dropped the unsynced data
    };
    using directory = std::map<std::string, std::shared_ptr<content>>;

    leaf::result<void> begin_change(const char* operation, const std::string& path);
    leaf::result<void> count_sync(const std::string& path, bool& unsynced_lost);
    void resolve_unsynced_data(content& target);

    random_source random_;
    directory live_;
    directory durable_;
    bool stopped_ = false;
    std::shared_ptr<int> locks_ =
        std::make_shared<int>(0); // open locks; replaced when the process ends
    std::uint64_t sync_count_ = 0;
};

} // namespace clementine::consensus
