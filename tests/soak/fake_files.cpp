#include "soak/fake_files.h"

#include <algorithm>

namespace clementine::consensus {

namespace {

leaf::error_id failure(const char* operation, const std::string& path, const char* reason,
                       bool no_space = false) {
    return leaf::new_error(
        io_error{.operation = operation, .path = path, .reason = reason, .no_space = no_space});
}

} // namespace

class fake_file final : public file {
  public:
    fake_file(fake_file_system& owner, std::shared_ptr<fake_file_system::content> data,
              std::string path)
        : owner_(owner), data_(std::move(data)), path_(std::move(path)) {}

    leaf::result<std::size_t> append(std::string_view bytes) override {
        if (bytes.empty())
            return std::size_t{0};
        BOOST_LEAF_CHECK(owner_.begin_change("write", path_));
        const bool partial = owner_.short_transfers || owner_.disk_full;
        const auto size = partial ? 1 + owner_.random_.below(bytes.size()) : bytes.size();
        data_->live += bytes.substr(0, size);
        if (owner_.disk_full)
            return failure("write", path_, "no space left on device", true);
        return size;
    }

    leaf::result<std::string> read(std::uint64_t offset, std::size_t size) override {
        if (owner_.stopped_)
            return failure("read", path_, "machine stopped");
        if (offset >= data_->live.size())
            return std::string();
        if (owner_.short_transfers)
            size = 1 + owner_.random_.below(size);
        return data_->live.substr(offset, size);
    }

    leaf::result<void> sync() override {
        BOOST_LEAF_CHECK(owner_.begin_change("fsync", path_));
        BOOST_LEAF_CHECK(owner_.count_sync(path_, data_->unsynced_lost));
        if (!data_->unsynced_lost)
            data_->durable = data_->live;
        return {};
    }

  private:
    fake_file_system& owner_;
    std::shared_ptr<fake_file_system::content> data_;
    std::string path_;
};

class fake_lock final : public file_lock {
  public:
    explicit fake_lock(std::shared_ptr<int> count) : count_(std::move(count)) { ++*count_; }
    ~fake_lock() override { --*count_; }

  private:
    std::shared_ptr<int> count_;
};

leaf::result<void> fake_file_system::begin_change(const char* operation, const std::string& path) {
    if (!stopped_ && crash_after_changes >= 0 && crash_after_changes-- == 0)
        stopped_ = true;
    if (stopped_)
        return failure(operation, path, "machine stopped");
    return {};
}

leaf::result<void> fake_file_system::count_sync(const std::string& path, bool& unsynced_lost) {
    ++sync_count_;
    if (fail_sync_after_calls >= 0 && fail_sync_after_calls-- == 0) {
        unsynced_lost = true;
        return failure("fsync", path, "input/output error");
    }
    return {};
}

leaf::result<void> fake_file_system::make_folder(const std::string& path) {
    return begin_change("mkdir", path);
}

leaf::result<std::vector<std::string>> fake_file_system::list(const std::string& folder) {
    if (stopped_)
        return failure("list", folder, "machine stopped");
    std::vector<std::string> out;
    for (const auto& [path, data] : live_)
        out.push_back(path.substr(folder.size() + 1));
    return out;
}

leaf::result<std::unique_ptr<file_lock>> fake_file_system::lock(const std::string& path) {
    BOOST_LEAF_CHECK(begin_change("lock", path));
    if (*locks_ != 0)
        return std::unique_ptr<file_lock>();
    live_.try_emplace(path, std::make_shared<content>());
    return std::unique_ptr<file_lock>(std::make_unique<fake_lock>(locks_));
}

leaf::result<std::unique_ptr<file>> fake_file_system::open(const std::string& path) {
    const auto found = live_.find(path);
    if (stopped_ || found == live_.end())
        return failure("open", path, "no such file");
    return std::unique_ptr<file>(std::make_unique<fake_file>(*this, found->second, path));
}

leaf::result<std::unique_ptr<file>> fake_file_system::create(const std::string& path) {
    BOOST_LEAF_CHECK(begin_change("create", path));
    if (disk_full)
        return failure("create", path, "no space left on device", true);
    auto& data = live_[path];
    if (!data)
        data = std::make_shared<content>();
    data->live.clear();
    return std::unique_ptr<file>(std::make_unique<fake_file>(*this, data, path));
}

leaf::result<void> fake_file_system::rename(const std::string& from, const std::string& to) {
    BOOST_LEAF_CHECK(begin_change("rename", from));
    const auto found = live_.find(from);
    if (found == live_.end())
        return failure("rename", from, "no such file");
    live_[to] = found->second;
    live_.erase(found);
    return {};
}

leaf::result<void> fake_file_system::remove(const std::string& path) {
    BOOST_LEAF_CHECK(begin_change("remove", path));
    if (live_.erase(path) == 0)
        return failure("remove", path, "no such file");
    return {};
}

leaf::result<void> fake_file_system::sync_folder(const std::string& folder) {
    BOOST_LEAF_CHECK(begin_change("fsync", folder));
    bool unsynced_lost = false;
    BOOST_LEAF_CHECK(count_sync(folder, unsynced_lost));
    durable_ = live_;
    return {};
}

// Decides at random how much unsynced data of one file survives a crash.
void fake_file_system::resolve_unsynced_data(content& target) {
    auto& durable = target.durable;
    const auto& live = target.live;
    const bool grown = live.size() > durable.size() && live.starts_with(durable);
    if (live == durable || target.unsynced_lost) {
        // There is no unsynced data, or a failed fsync dropped it.
    } else if (!grown) {
        if (random_.chance(0.5))
            durable = live;
    } else {
        const auto tail = live.size() - durable.size();
        const auto kept = random_.below(tail + 1);
        const auto lost = tail - kept;
        durable = live.substr(0, durable.size() + kept);
        const auto outcome = random_.below(10);
        if (outcome < 2)
            durable.append(lost, '\0');
        else if (outcome == 2)
            durable.append(lost, static_cast<char>(random_.next()));
    }
    target.live = durable;
    target.unsynced_lost = false;
}

void fake_file_system::crash() {
    directory survived;
    auto all = durable_;
    all.insert(live_.begin(), live_.end());
    for (const auto& [path, any] : all) {
        const auto old_name = durable_.find(path);
        const auto new_name = live_.find(path);
        const auto before = old_name == durable_.end() ? nullptr : old_name->second;
        const auto after = new_name == live_.end() ? nullptr : new_name->second;
        const auto chosen = before == after || random_.chance(0.5) ? after : before;
        if (chosen)
            survived[path] = chosen;
    }
    std::vector<content*> resolved;
    for (auto& [path, data] : survived) {
        if (std::find(resolved.begin(), resolved.end(), data.get()) == resolved.end()) {
            resolved.push_back(data.get());
            resolve_unsynced_data(*data);
        }
    }
    live_ = survived;
    durable_ = survived;
    kill();
}

void fake_file_system::kill() {
    locks_ = std::make_shared<int>(0);
    stopped_ = false;
    crash_after_changes = -1;
    fail_sync_after_calls = -1;
    disk_full = false;
}

void fake_file_system::wipe() {
    live_.clear();
    durable_.clear();
    kill();
}

bool fake_file_system::flip_bit(const std::string& prefix) {
    std::vector<content*> choices;
    for (const auto& [path, data] : durable_) {
        if (path.starts_with(prefix) && !data->durable.empty() && data->durable == data->live)
            choices.push_back(data.get());
    }
    if (choices.empty())
        return false;
    auto& target = *choices[random_.below(choices.size())];
    const auto bit = random_.below(target.durable.size() * 8);
    target.durable[bit / 8] = static_cast<char>(target.durable[bit / 8] ^ (1 << (bit % 8)));
    target.live = target.durable;
    return true;
}

void fake_file_system::remove_durably(const std::string& path) {
    live_.erase(path);
    durable_.erase(path);
}

} // namespace clementine::consensus
