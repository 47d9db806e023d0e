// POSIX implementation of the file system interface.
#pragma once

#include "consensus/files.h"

namespace clementine::consensus {

// Stateless. Uses flock, fsync and rename.
class posix_file_system final : public file_system {
  public:
    leaf::result<void> make_folder(const std::string& path) override;
    leaf::result<std::vector<std::string>> list(const std::string& folder) override;
    leaf::result<std::unique_ptr<file_lock>> lock(const std::string& path) override;
    leaf::result<std::unique_ptr<file>> open(const std::string& path) override;
    leaf::result<std::unique_ptr<file>> create(const std::string& path) override;
    leaf::result<void> rename(const std::string& from, const std::string& to) override;
    leaf::result<void> remove(const std::string& path) override;
    leaf::result<void> sync_folder(const std::string& folder) override;
};

} // namespace clementine::consensus
