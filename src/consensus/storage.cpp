#include "consensus/storage.h"

#include "consensus/codec.h"
#include "consensus/records.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <charconv>

namespace clementine::consensus {

namespace {

constexpr std::uint32_t format_version = 2;
constexpr std::uint32_t format_without_record_ends = 1;
// Last byte of each record of the log. It is not zero, so that zeros at the end of a segment belong
// to a write that a power loss has cut off.
constexpr std::uint8_t record_end = 0xA5;

enum class record_type : std::uint8_t {
    entry = 1,
    reset = 2 // discards all earlier entries; the next entry follows the given index
};

std::string encode_entry(const entry& value) {
    byte_writer out;
    out.u8(static_cast<std::uint8_t>(record_type::entry));
    out.u64(value.index);
    out.u64(value.term);
    out.u8(static_cast<std::uint8_t>(value.kind));
    out.text(value.data);
    out.u8(record_end);
    return out.take();
}

std::string encode_reset(index_t index) {
    byte_writer out;
    out.u8(static_cast<std::uint8_t>(record_type::reset));
    out.u64(index);
    out.u8(record_end);
    return out.take();
}

// True if a log record was read to its end. Older segments have records without `record_end`.
bool at_record_end(byte_reader& in) {
    return in.finished() || (in.u8() == record_end && in.finished());
}

std::string encode_snapshot(const snapshot& value) {
    byte_writer out;
    out.u64(value.index);
    out.u64(value.term);
    out.text(encode(value.membership));
    out.text(value.data);
    return out.take();
}

std::optional<snapshot> decode_snapshot(std::string_view bytes) {
    byte_reader in(bytes);
    snapshot out;
    out.index = in.u64();
    out.term = in.u64();
    const auto members = decode_membership(in.text());
    out.data = in.text();
    if (!in.finished() || !members)
        return std::nullopt;
    out.membership = *members;
    return out;
}

std::string encode_state(const hard_state& state) {
    byte_writer out;
    out.u64(state.term);
    out.u64(state.vote);
    return out.take();
}

std::optional<hard_state> decode_state(std::string_view bytes) {
    byte_reader in(bytes);
    hard_state out;
    out.term = in.u64();
    out.vote = in.u64();
    return in.finished() ? std::optional(out) : std::nullopt;
}

// Parses the number in a name of the form prefix + number; nullopt for any other name.
std::optional<std::uint64_t> parse_number_after(std::string_view name, std::string_view prefix) {
    if (!name.starts_with(prefix))
        return std::nullopt;
    name.remove_prefix(prefix.size());
    std::uint64_t out = 0;
    const auto [end, code] = std::from_chars(name.data(), name.data() + name.size(), out);
    if (code != std::errc() || end != name.data() + name.size())
        return std::nullopt;
    return out;
}

std::string log_name(std::uint64_t number) {
    return "log-" + std::to_string(number);
}

std::string snapshot_name(std::uint64_t number) {
    return "snapshot-" + std::to_string(number);
}

void mark_corrupt(open_report& report, std::string reason) {
    if (report.status == storage_status::corrupt)
        return; // only the first damage is reported
    report.status = storage_status::corrupt;
    report.reason = std::move(reason);
}

storage_error to_storage_error(const io_error& error) {
    return {.reason = error.operation + " " + error.path + ": " + error.reason,
            .no_space = error.no_space};
}

} // namespace

storage::storage(file_system& files, storage_config config)
    : files_(files), config_(std::move(config)) {}

std::string storage::path(std::string_view name) const {
    return config_.folder + "/" + std::string(name);
}

// Runs an operation unless an earlier one failed. An error is kept for all later calls.
template <class Operation>
std::optional<storage_error> storage::run_unless_failed(Operation operation) {
    if (error_)
        return error_;
    leaf::try_handle_all([&]() -> leaf::result<void> { return operation(); },
                         [&](const io_error& error) { error_ = to_storage_error(error); },
                         [&] { error_ = storage_error{.reason = "unknown file error"}; });
    return error_;
}

open_report storage::open() {
    open_report report;
    run_unless_failed([&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(report, try_open());
        return {};
    });
    if (error_)
        report = {.status = storage_status::failed, .reason = error_->reason, .state = {}};
    status_ = report.status;
    if (status_ != storage_status::ready)
        report.state = {};
    return report;
}

leaf::result<open_report> storage::try_open() {
    open_report report;
    BOOST_LEAF_CHECK(files_.make_folder(config_.folder));
    BOOST_LEAF_ASSIGN(lock_, files_.lock(path("LOCK")));
    if (!lock_) {
        report.status = storage_status::locked;
        report.reason = path("LOCK") + " is held by another process";
        return report;
    }
    BOOST_LEAF_AUTO(content, scan());
    if (!content.identity) {
        const bool foreign = !content.other_files.empty();
        report.status = foreign ? storage_status::foreign : storage_status::empty;
        report.reason = foreign ? "no identity file, but found " + path(content.other_files.front())
                                : "no identity file in " + config_.folder;
        return report;
    }
    report.status = storage_status::ready;
    BOOST_LEAF_AUTO(usable, read_identity(report));
    if (usable)
        BOOST_LEAF_CHECK(recover(content, report));
    return report;
}

leaf::result<storage::folder_content> storage::scan() {
    BOOST_LEAF_AUTO(names, files_.list(config_.folder));
    folder_content out;
    for (const auto& name : names) {
        if (name == "LOCK")
            continue;
        if (name == "identity")
            out.identity = true;
        else if (name == "term")
            out.term = true;
        else if (const auto segment = parse_number_after(name, "log-"))
            out.segments.push_back(*segment);
        else if (const auto snap = parse_number_after(name, "snapshot-"))
            out.snapshots.push_back(*snap);
        else if (name.ends_with(".tmp"))
            out.temporary_files.push_back(name);
        else
            out.other_files.push_back(name);
    }
    std::sort(out.segments.begin(), out.segments.end());
    std::sort(out.snapshots.begin(), out.snapshots.end());
    return out;
}

// Payload of a file that holds exactly one record. Sets `problem` if the file is invalid.
leaf::result<std::string> storage::read_single_record(const std::string& name,
                                                      std::string& problem) {
    BOOST_LEAF_AUTO(source, files_.open(path(name)));
    BOOST_LEAF_AUTO(bytes, read_all(*source));
    record_reader reader(bytes);
    std::string_view payload;
    std::string_view trailing;
    const bool valid = reader.next(payload) == record_status::complete &&
                       reader.next(trailing) == record_status::end;
    if (valid)
        return std::string(payload);
    problem = path(name) + ": bad record at byte 0";
    return std::string();
}

// False if the folder must not be used.
leaf::result<bool> storage::read_identity(open_report& report) {
    std::string problem;
    BOOST_LEAF_AUTO(payload, read_single_record("identity", problem));
    byte_reader in(payload);
    const auto version = in.u32();
    const auto cluster = in.text();
    report.id = in.u64();
    if (!problem.empty() || !in.finished()) {
        mark_corrupt(report, problem.empty() ? path("identity") + ": malformed" : problem);
        return false;
    }
    const bool known = version == format_version || version == format_without_record_ends;
    if (!known || cluster != config_.cluster) {
        report.status = storage_status::foreign;
        report.reason = path("identity") + " belongs to cluster " + cluster + ", format " +
                        std::to_string(version);
        return false;
    }
    has_record_ends_ = version == format_version;
    return true;
}

leaf::result<void> storage::recover(const folder_content& content, open_report& report) {
    if (!content.term || content.snapshots.empty() || content.segments.empty()) {
        mark_corrupt(report, config_.folder + ": term, snapshot or log is missing");
        return {};
    }
    std::string problem;
    BOOST_LEAF_AUTO(term, read_single_record("term", problem));
    const auto state = decode_state(term);
    snapshot_number_ = content.snapshots.back();
    BOOST_LEAF_AUTO(stored, read_single_record(snapshot_name(snapshot_number_), problem));
    auto snap = decode_snapshot(stored);
    if (!problem.empty() || !state || !snap) {
        mark_corrupt(report,
                     problem.empty() ? config_.folder + ": malformed term or snapshot" : problem);
        return {};
    }
    report.state.state = *state;
    report.state.snap = std::move(*snap);

    for (const auto number : content.segments) {
        if (!segments_.empty() && number != segments_.back().number + 1)
            mark_corrupt(report, path(log_name(number - 1)) + " is missing");
        segments_.push_back({.number = number});
        BOOST_LEAF_CHECK(read_segment(number, number == content.segments.back(), report));
    }
    if (report.status != storage_status::ready)
        return {};

    auto& entries = report.state.entries;
    const auto& base = report.state.snap;
    if (!entries.empty() && entries.front().index > base.index + 1)
        mark_corrupt(report, config_.folder + ": entries after the snapshot are missing");
    // A crash between storing a leader's snapshot and resetting the log leaves obsolete entries,
    // which the snapshot replaces.
    const bool log_behind_snapshot = !entries.empty() && entries.back().index < base.index;
    const bool term_conflict = !entries.empty() && !log_behind_snapshot &&
                               entries.front().index <= base.index &&
                               entries[base.index - entries.front().index].term != base.term;
    if (report.status == storage_status::ready && (log_behind_snapshot || term_conflict)) {
        entries.clear();
        last_segment_records_ += make_record(encode_reset(base.index));
    }
    if (report.status != storage_status::ready)
        return {};
    BOOST_LEAF_CHECK(rewrite_last_segment());
    BOOST_LEAF_CHECK(remove_obsolete_files(content));
    if (has_record_ends_)
        return {};
    // Records without an end must not be in the last segment of the new format.
    BOOST_LEAF_CHECK(start_segment(segments_.back().number + 1));
    return write_identity(report.id);
}

leaf::result<void> storage::write_identity(replica_id id) {
    byte_writer identity;
    identity.u32(format_version);
    identity.text(config_.cluster);
    identity.u64(id);
    BOOST_LEAF_CHECK(replace_file("identity", identity.take()));
    has_record_ends_ = true;
    return {};
}

// Rewrites the last segment without its torn tail. The data read may exist only in the page cache:
// after a failed fsync, Linux reports success for the same pages without writing them.
leaf::result<void> storage::rewrite_last_segment() {
    const auto name = path(log_name(segments_.back().number));
    const auto temporary_path = name + ".tmp";
    BOOST_LEAF_ASSIGN(log_, files_.create(temporary_path));
    BOOST_LEAF_CHECK(append_all(*log_, last_segment_records_));
    BOOST_LEAF_CHECK(log_->sync());
    BOOST_LEAF_CHECK(files_.rename(temporary_path, name));
    log_bytes_ = last_segment_records_.size();
    last_segment_records_.clear();
    return files_.sync_folder(config_.folder);
}

leaf::result<void> storage::read_segment(std::uint64_t number, bool is_last, open_report& report) {
    const auto name = path(log_name(number));
    BOOST_LEAF_AUTO(source, files_.open(name));
    BOOST_LEAF_AUTO(bytes, read_all(*source));
    const auto file_size = bytes.size();
    if (is_last && has_record_ends_)
        bytes.resize(bytes.find_last_not_of('\0') + 1);
    record_reader reader(bytes);
    for (;;) {
        std::string_view payload;
        const auto location = name + ": bad record at byte " + std::to_string(reader.offset());
        const auto status = reader.next(payload);
        if (status == record_status::complete) {
            replay_record(payload, location, report);
            continue;
        }
        if (status == record_status::corrupt || (status == record_status::torn && !is_last))
            mark_corrupt(report, location);
        if (status != record_status::corrupt && is_last)
            report.truncated_bytes = file_size - reader.offset();
        if (is_last)
            last_segment_records_ = bytes.substr(0, reader.offset());
        return {};
    }
}

void storage::replay_record(std::string_view payload, const std::string& location,
                            open_report& report) {
    byte_reader in(payload);
    auto& entries = report.state.entries;
    const auto type = static_cast<record_type>(in.u8());
    if (type == record_type::reset) {
        entries.clear();
        if (const auto index = in.u64(); !at_record_end(in) || index > report.state.snap.index)
            mark_corrupt(report, location);
        return;
    }
    entry decoded;
    decoded.index = in.u64();
    decoded.term = in.u64();
    decoded.kind = static_cast<entry_kind>(in.u8());
    decoded.data = in.text();
    const bool gap = !entries.empty() && (decoded.index > entries.back().index + 1 ||
                                          decoded.index < entries.front().index);
    if (type != record_type::entry || !at_record_end(in) || gap) {
        mark_corrupt(report, location);
        return;
    }
    while (!entries.empty() && entries.back().index >= decoded.index)
        entries.pop_back();
    segments_.back().max_index = std::max(segments_.back().max_index, decoded.index);
    entries.push_back(std::move(decoded));
}

leaf::result<void> storage::remove_obsolete_files(const folder_content& content) {
    for (const auto& name : content.temporary_files) {
        // rewrite_last_segment() has already renamed its own temporary file.
        if (name != log_name(segments_.back().number) + ".tmp")
            BOOST_LEAF_CHECK(files_.remove(path(name)));
    }
    for (const auto number : content.snapshots) {
        if (number != snapshot_number_)
            BOOST_LEAF_CHECK(files_.remove(path(snapshot_name(number))));
    }
    return {};
}

// Atomically replaces a file with one record: a crash leaves either the old or the new file.
leaf::result<void> storage::replace_file(const std::string& name, std::string_view payload) {
    const auto temporary_path = path(name + ".tmp");
    BOOST_LEAF_AUTO(target, files_.create(temporary_path));
    BOOST_LEAF_CHECK(append_all(*target, make_record(payload)));
    BOOST_LEAF_CHECK(target->sync());
    BOOST_LEAF_CHECK(files_.rename(temporary_path, path(name)));
    return files_.sync_folder(config_.folder);
}

std::optional<storage_error> storage::set_up(replica_id id, const snapshot& initial) {
    const bool allowed = status_ == storage_status::empty || status_ == storage_status::corrupt ||
                         status_ == storage_status::ready;
    if (!allowed && !error_)
        return storage_error{.reason = config_.folder + " is not open, locked or foreign"};
    return run_unless_failed([&] { return try_set_up(id, initial); });
}

// Removes the old identity first and writes the new one last, so that a crash in between leaves a
// folder without identity, and never an old identity with an empty log.
leaf::result<void> storage::try_set_up(replica_id id, const snapshot& initial) {
    BOOST_LEAF_AUTO(old, scan());
    if (old.identity) {
        BOOST_LEAF_CHECK(files_.remove(path("identity")));
        BOOST_LEAF_CHECK(files_.sync_folder(config_.folder));
    }
    if (old.term)
        BOOST_LEAF_CHECK(files_.remove(path("term")));
    for (const auto number : old.segments)
        BOOST_LEAF_CHECK(files_.remove(path(log_name(number))));
    for (const auto number : old.snapshots)
        BOOST_LEAF_CHECK(files_.remove(path(snapshot_name(number))));
    for (const auto& name : old.temporary_files)
        BOOST_LEAF_CHECK(files_.remove(path(name)));
    BOOST_LEAF_CHECK(files_.sync_folder(config_.folder));

    segments_.clear();
    BOOST_LEAF_CHECK(replace_file("term", encode_state({.term = initial.term, .vote = 0})));
    snapshot_number_ = initial.index;
    BOOST_LEAF_CHECK(replace_file(snapshot_name(initial.index), encode_snapshot(initial)));
    BOOST_LEAF_CHECK(start_segment(1));
    BOOST_LEAF_CHECK(write_identity(id));
    status_ = storage_status::ready;
    return {};
}

leaf::result<void> storage::start_segment(std::uint64_t number) {
    BOOST_LEAF_ASSIGN(log_, files_.create(path(log_name(number))));
    BOOST_LEAF_CHECK(log_->sync());
    BOOST_LEAF_CHECK(files_.sync_folder(config_.folder));
    segments_.push_back({.number = number});
    log_bytes_ = 0;
    return {};
}

std::optional<storage_error> storage::save(const ready& work) {
    if (status_ != storage_status::ready && !error_)
        return storage_error{.reason = config_.folder + " was not opened"};
    return run_unless_failed([&] { return try_save(work); });
}

leaf::result<void> storage::try_save(const ready& work) {
    if (work.state)
        BOOST_LEAF_CHECK(replace_file("term", encode_state(*work.state)));
    const auto old_snapshot = snapshot_number_;
    std::string records;
    if (work.snap) {
        snapshot_number_ = work.snap->index;
        BOOST_LEAF_CHECK(
            replace_file(snapshot_name(snapshot_number_), encode_snapshot(*work.snap)));
        if (work.reset_log) {
            BOOST_LEAF_CHECK(start_segment(segments_.back().number + 1));
            records = make_record(encode_reset(work.snap->index));
        }
    }
    if (records.empty() && !work.append.empty() && log_bytes_ >= config_.segment_bytes)
        BOOST_LEAF_CHECK(start_segment(segments_.back().number + 1));
    for (const auto& each : work.append) {
        records += make_record(encode_entry(each));
        segments_.back().max_index = std::max(segments_.back().max_index, each.index);
    }
    if (!records.empty()) {
        BOOST_LEAF_CHECK(append_all(*log_, records));
        BOOST_LEAF_CHECK(log_->sync());
        log_bytes_ += records.size();
    }
    if (work.snap && old_snapshot != snapshot_number_)
        BOOST_LEAF_CHECK(files_.remove(path(snapshot_name(old_snapshot))));
    if (work.snap)
        return drop_segments(work.reset_log ? work.snap->index + 1 : work.first_kept);
    return {};
}

// Removes the oldest segments whose entries are all before `first_kept`. Each removal is durable
// before the next, so that the remaining segment numbers never have a gap.
leaf::result<void> storage::drop_segments(index_t first_kept) {
    while (segments_.size() > 1 && segments_.front().max_index < first_kept) {
        BOOST_LEAF_CHECK(files_.remove(path(log_name(segments_.front().number))));
        BOOST_LEAF_CHECK(files_.sync_folder(config_.folder));
        segments_.pop_front();
    }
    return {};
}

} // namespace clementine::consensus
