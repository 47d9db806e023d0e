#include "control/manifest_file.h"

#include "base/hash.h"
#include "base/ini.h"
#include "base/log.h"

#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace clementine::control {

namespace {

constexpr std::string_view file_name = "/manifest";
// The first line holds this word, the version and the checksum; the manifest text follows.
constexpr std::string_view magic = "clementine-manifest-1";

// RAII wrapper of a file descriptor.
class descriptor {
  public:
    descriptor(const std::string& path, int flags) : value_(::open(path.c_str(), flags, 0644)) {}
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor() {
        if (value_ >= 0)
            ::close(value_);
    }
    bool ok() const { return value_ >= 0; }
    bool sync() const { return ::fsync(value_) == 0; }
    bool write_all(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto written = ::write(value_, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

  private:
    int value_;
};

std::string last_error(const std::string& path) {
    return path + ": " + std::strerror(errno);
}

std::optional<std::uint64_t> consume_number(std::string_view& text) {
    std::uint64_t out = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{})
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
    return out;
}

std::optional<saved_manifest> parse(std::string_view bytes) {
    if (!bytes.starts_with(magic))
        return std::nullopt;
    bytes.remove_prefix(magic.size());
    std::optional<std::uint64_t> version;
    std::optional<std::uint64_t> checksum;
    if (bytes.starts_with(' ')) {
        bytes.remove_prefix(1);
        version = consume_number(bytes);
    }
    if (version && bytes.starts_with(' ')) {
        bytes.remove_prefix(1);
        checksum = consume_number(bytes);
    }
    if (!checksum || !bytes.starts_with('\n'))
        return std::nullopt;
    bytes.remove_prefix(1);
    // The checksum covers the version, because a corrupt digit could make the manifest seem newer.
    if (*checksum != crc32c(std::to_string(*version) + "\n" + std::string(bytes)))
        return std::nullopt;
    return saved_manifest{*version, std::string(bytes), 0};
}

} // namespace

manifest_file::manifest_file(std::string folder) : folder_(std::move(folder)) {
    std::error_code error;
    std::filesystem::create_directories(folder_, error);
    if (error)
        log_event(log_level::error, "data_folder_not_created")
            .field("folder", folder_)
            .field("reason", error.message());
}

std::optional<saved_manifest> manifest_file::load() const {
    const auto path = folder_ + std::string(file_name);
    struct stat info {};
    if (::stat(path.c_str(), &info) != 0)
        return std::nullopt;
    const auto bytes = read_file(path);
    auto out = bytes ? parse(*bytes) : std::nullopt;
    if (!out) {
        log_event(log_level::error, "saved_manifest_corrupt").field("path", path);
        return std::nullopt;
    }
    out->age = wall_clock_ms() - static_cast<time_ms>(info.st_mtime) * 1'000;
    return out;
}

std::string manifest_file::save(std::uint64_t version, const std::string& text) const {
    const auto path = folder_ + std::string(file_name);
    const auto temporary = path + ".tmp";
    const auto number = std::to_string(version);
    std::string bytes(magic);
    bytes += " " + number + " " + std::to_string(crc32c(number + "\n" + text)) + "\n" + text;
    {
        const descriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC);
        if (!file.ok() || !file.write_all(bytes) || !file.sync())
            return last_error(temporary);
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return last_error(path);
    const descriptor folder(folder_, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (!folder.ok() || !folder.sync())
        return last_error(folder_);
    return {};
}

} // namespace clementine::control
