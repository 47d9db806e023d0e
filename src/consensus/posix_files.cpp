#include "consensus/posix_files.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <mutex>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace clementine::consensus {

namespace {

constexpr mode_t folder_mode = 0700;
constexpr mode_t file_mode = 0600;
// A write opens at most two files and their folder at the same time; further ones are for the
// folder listing and for descriptors that other threads take meanwhile.
constexpr std::size_t reserved_descriptors = 8;

leaf::error_id make_io_error(const char* operation, const std::string& path, int code) {
    return leaf::new_error(io_error{.operation = operation,
                                    .path = path,
                                    .reason = std::generic_category().message(code),
                                    .no_space = code == ENOSPC || code == EDQUOT});
}

// Owns a file descriptor.
class descriptor {
  public:
    explicit descriptor(int number) : number_(number) {}
    descriptor(descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    descriptor& operator=(descriptor&&) = delete;
    ~descriptor() {
        if (number_ >= 0)
            ::close(number_);
    }
    int number() const { return number_; }

  private:
    int number_;
};

bool is_out_of_descriptors(int code) {
    return code == EMFILE || code == ENFILE;
}

} // namespace

// Descriptors kept open so that the storage can open files while sockets have taken all others.
class descriptor_reserve {
  public:
    descriptor_reserve() { refill(); }

    leaf::result<descriptor> open(const std::string& path, int flags) {
        for (;;) {
            const int number = ::open(path.c_str(), flags | O_CLOEXEC, file_mode);
            const int code = errno;
            if (number >= 0) {
                refill();
                return descriptor(number);
            }
            // Another thread may take the descriptor that this frees, so one may not be enough.
            std::lock_guard lock(mutex_);
            if (!is_out_of_descriptors(code) || held_.empty())
                return make_io_error("open", path, code);
            held_.pop_back();
        }
    }

  private:
    void refill() {
        std::lock_guard lock(mutex_);
        while (held_.size() < reserved_descriptors) {
            const int number = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            if (number < 0)
                return; // again with the next file
            held_.emplace_back(number);
        }
    }

    std::mutex mutex_;
    std::vector<descriptor> held_;
};

namespace {

class posix_file final : public file {
  public:
    posix_file(descriptor opened, std::string path)
        : descriptor_(std::move(opened)), path_(std::move(path)) {}

    leaf::result<std::size_t> append(std::string_view bytes) override {
        for (;;) {
            const auto written = ::write(descriptor_.number(), bytes.data(), bytes.size());
            if (written > 0 || (written == 0 && bytes.empty()))
                return static_cast<std::size_t>(written);
            // Reported as an error, because append_all would repeat a write of 0 bytes forever.
            if (written == 0)
                return make_io_error("write", path_, ENOSPC);
            if (errno != EINTR)
                return make_io_error("write", path_, errno);
        }
    }

    leaf::result<std::string> read(std::uint64_t offset, std::size_t size) override {
        std::string out(size, '\0');
        for (;;) {
            const auto bytes_read =
                ::pread(descriptor_.number(), out.data(), size, static_cast<off_t>(offset));
            if (bytes_read >= 0) {
                out.resize(static_cast<std::size_t>(bytes_read));
                return out;
            }
            if (errno != EINTR)
                return make_io_error("read", path_, errno);
        }
    }

    // Not retried on failure: the kernel may discard the dirty pages and then report success.
    leaf::result<void> sync() override {
        if (::fsync(descriptor_.number()) != 0)
            return make_io_error("fsync", path_, errno);
        return {};
    }

  private:
    descriptor descriptor_;
    std::string path_;
};

class posix_lock final : public file_lock {
  public:
    explicit posix_lock(descriptor opened) : descriptor_(std::move(opened)) {}

  private:
    descriptor descriptor_;
};

} // namespace

posix_file_system::posix_file_system() : reserve_(std::make_unique<descriptor_reserve>()) {}
posix_file_system::~posix_file_system() = default;

leaf::result<void> posix_file_system::make_folder(const std::string& path) {
    if (::mkdir(path.c_str(), folder_mode) != 0 && errno != EEXIST)
        return make_io_error("mkdir", path, errno);
    // Also if the folder exists: an earlier process may have ended in between.
    const auto parent = std::filesystem::path(path).parent_path();
    return sync_folder(parent.empty() ? "." : parent.string());
}

leaf::result<std::vector<std::string>> posix_file_system::list(const std::string& folder) {
    std::error_code code;
    std::vector<std::string> names;
    std::filesystem::directory_iterator it(folder, code);
    for (; !code && it != std::filesystem::directory_iterator(); it.increment(code))
        names.push_back(it->path().filename().string());
    if (code)
        return make_io_error("list", folder, code.value());
    std::sort(names.begin(), names.end());
    return names;
}

leaf::result<std::unique_ptr<file_lock>> posix_file_system::lock(const std::string& path) {
    BOOST_LEAF_AUTO(opened, reserve_->open(path, O_RDWR | O_CREAT));
    if (::flock(opened.number(), LOCK_EX | LOCK_NB) != 0) {
        if (errno == EWOULDBLOCK)
            return std::unique_ptr<file_lock>();
        return make_io_error("flock", path, errno);
    }
    return std::unique_ptr<file_lock>(std::make_unique<posix_lock>(std::move(opened)));
}

leaf::result<std::unique_ptr<file>> posix_file_system::open(const std::string& path) {
    BOOST_LEAF_AUTO(opened, reserve_->open(path, O_RDWR | O_APPEND));
    return std::unique_ptr<file>(std::make_unique<posix_file>(std::move(opened), path));
}

leaf::result<std::unique_ptr<file>> posix_file_system::create(const std::string& path) {
    BOOST_LEAF_AUTO(opened, reserve_->open(path, O_RDWR | O_APPEND | O_CREAT | O_TRUNC));
    return std::unique_ptr<file>(std::make_unique<posix_file>(std::move(opened), path));
}

leaf::result<void> posix_file_system::rename(const std::string& from, const std::string& to) {
    if (::rename(from.c_str(), to.c_str()) != 0)
        return make_io_error("rename", from, errno);
    return {};
}

leaf::result<void> posix_file_system::remove(const std::string& path) {
    if (::unlink(path.c_str()) != 0)
        return make_io_error("remove", path, errno);
    return {};
}

leaf::result<void> posix_file_system::sync_folder(const std::string& folder) {
    BOOST_LEAF_AUTO(opened, reserve_->open(folder, O_RDONLY | O_DIRECTORY));
    if (::fsync(opened.number()) != 0)
        return make_io_error("fsync", folder, errno);
    return {};
}

} // namespace clementine::consensus
