// File system interface of the storage, which lets tests inject a failure into any operation.
//
// Written data is durable only after `file::sync`; the creation, renaming or removal of a file only
// after `file_system::sync_folder`. Errors are reported as io_error through Boost.LEAF.
#pragma once

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::consensus {

namespace leaf = boost::leaf;

// Describes a failed file operation. `no_space` is set if the disk or the quota is full.
struct io_error {
    std::string operation;
    std::string path;
    std::string reason;
    bool no_space = false;
};

// Open file. Writes always append.
class file {
  public:
    file() = default;
    file(const file&) = delete;
    file& operator=(const file&) = delete;
    virtual ~file() = default;

    // Appends some or all of `bytes` and returns the number written; 0 only for empty input.
    virtual leaf::result<std::size_t> append(std::string_view bytes) = 0;
    // Reads up to `size` bytes. Short reads are allowed; an empty result means end of file.
    virtual leaf::result<std::string> read(std::uint64_t offset, std::size_t size) = 0;
    virtual leaf::result<void> sync() = 0;
};

// Exclusive lock that is released on destruction.
class file_lock {
  public:
    file_lock() = default;
    file_lock(const file_lock&) = delete;
    file_lock& operator=(const file_lock&) = delete;
    virtual ~file_lock() = default;
};

class file_system {
  public:
    file_system() = default;
    file_system(const file_system&) = delete;
    file_system& operator=(const file_system&) = delete;
    virtual ~file_system() = default;

    // Creates a folder if it does not exist.
    virtual leaf::result<void> make_folder(const std::string& path) = 0;
    // Sorted names of all files in a folder.
    virtual leaf::result<std::vector<std::string>> list(const std::string& folder) = 0;
    // Locks a file exclusively, creating it if needed; nullptr if another process holds the lock.
    virtual leaf::result<std::unique_ptr<file_lock>> lock(const std::string& path) = 0;
    virtual leaf::result<std::unique_ptr<file>> open(const std::string& path) = 0;
    // Creates an empty file, or truncates an existing one.
    virtual leaf::result<std::unique_ptr<file>> create(const std::string& path) = 0;
    virtual leaf::result<void> rename(const std::string& from, const std::string& to) = 0;
    virtual leaf::result<void> remove(const std::string& path) = 0;
    virtual leaf::result<void> sync_folder(const std::string& folder) = 0;
};

// Appends all bytes, continuing after short writes.
leaf::result<void> append_all(file& target, std::string_view bytes);
// Reads a file to its end.
leaf::result<std::string> read_all(file& source);

} // namespace clementine::consensus
