// POSIX implementation of the file system interface.
#pragma once

#include "consensus/files.h"

#include <memory>

namespace clementine::consensus {

class descriptor_reserve;

// Uses flock, fsync and rename. Holds some descriptors in reserve for its own files. Thread-safe.
class posix_file_system final : public file_system {
  public:
    posix_file_system();
    posix_file_system(const posix_file_system&) = delete;
    posix_file_system& operator=(const posix_file_system&) = delete;
    ~posix_file_system() override;

    leaf::result<void> make_folder(const std::string& path) override;
    leaf::result<std::vector<std::string>> list(const std::string& folder) override;
    leaf::result<std::unique_ptr<file_lock>> lock(const std::string& path) override;
    leaf::result<std::unique_ptr<file>> open(const std::string& path) override;
    leaf::result<std::unique_ptr<file>> create(const std::string& path) override;
    leaf::result<void> rename(const std::string& from, const std::string& to) override;
    leaf::result<void> remove(const std::string& path) override;
    leaf::result<void> sync_folder(const std::string& folder) override;

  private:
    std::unique_ptr<descriptor_reserve> reserve_;
};

} // namespace clementine::consensus
