// Tests that storage does not lose or invent entries, and detects damaged data.
#include "consensus/posix_files.h"
#include "consensus/records.h"
#include "consensus/storage.h"
#include "soak/fake_files.h"
#include "support/descriptor_shortage.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <set>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::set<std::string> synced_paths;

} // namespace

// Replaces the function of the C library, to see what is synced.
extern "C" int fsync(int descriptor) {
    std::error_code ignored;
    synced_paths.insert(
        std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor), ignored));
    return static_cast<int>(::syscall(SYS_fsync, descriptor));
}

namespace {

using namespace clementine;
using namespace clementine::consensus;

const storage_config fake_config{.folder = "data", .cluster = "test", .segment_bytes = 200};

snapshot first_snapshot() {
    return bootstrap_snapshot({.members = {{.id = 1, .node = "node-1", .voter = true}}});
}

ready make_entries(index_t from, index_t to, term_t term) {
    ready out;
    for (auto i = from; i <= to; ++i)
        out.append.push_back({.index = i, .term = term, .data = "command-" + std::to_string(i)});
    return out;
}

class storage_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(storage_test);
    CPPUNIT_TEST(posix_folder_survives_a_restart);
    CPPUNIT_TEST(sockets_that_take_all_descriptors_fail_the_log);
    CPPUNIT_TEST(new_folder_is_lost_with_the_power);
    CPPUNIT_TEST(folder_lock_excludes_a_second_storage);
    CPPUNIT_TEST(empty_and_foreign_folders_have_no_identity);
    CPPUNIT_TEST(conflicting_entries_replace_older_ones);
    CPPUNIT_TEST(snapshot_drops_old_segments);
    CPPUNIT_TEST(install_replaces_the_log_at_every_crash_point);
    CPPUNIT_TEST(every_crash_point_keeps_synced_entries);
    CPPUNIT_TEST(write_cut_off_by_a_power_loss_reads_as_damage);
    CPPUNIT_TEST(zeros_at_the_end_of_a_command_read_as_a_torn_write);
    CPPUNIT_TEST(last_command_of_the_former_format_is_cut);
    CPPUNIT_TEST(flipped_bits_are_detected);
    CPPUNIT_TEST(missing_files_are_detected);
    CPPUNIT_TEST(failed_sync_or_full_disk_fails_all_later_writes);
    CPPUNIT_TEST(crash_during_set_up_never_leaves_the_old_identity);
    CPPUNIT_TEST_SUITE_END();

    // Writes entries 2 to 20, which fill several segments.
    static void write_entries(fake_file_system& files) {
        storage target(files, fake_config);
        CPPUNIT_ASSERT(target.open().status == storage_status::empty);
        CPPUNIT_ASSERT(!target.set_up(1, first_snapshot()));
        for (index_t i = 2; i <= 20; ++i)
            CPPUNIT_ASSERT(!target.save(make_entries(i, i, 1)));
    }

    static open_report reopen(fake_file_system& files) {
        return storage(files, fake_config).open();
    }

    static std::string read_file(fake_file_system& files, const std::string& path) {
        auto source = files.open(path);
        CPPUNIT_ASSERT(source);
        return read_all(**source).value();
    }

    // Removes the last byte of each record of the log, and sets the version in `identity` to 1.
    static void rewrite_in_format_1(fake_file_system& files) {
        const auto names = files.list("data").value();
        for (const auto& name : names) {
            const auto path = "data/" + name;
            const auto bytes = read_file(files, path);
            record_reader reader(bytes);
            std::string_view payload;
            std::string rewritten;
            while (reader.next(payload) == record_status::complete) {
                if (name == "identity")
                    rewritten += make_record(std::string("\1") + std::string(payload.substr(1)));
                else if (name.starts_with("log-"))
                    rewritten += make_record(payload.substr(0, payload.size() - 1));
                else
                    rewritten += make_record(payload);
            }
            replace_file(files, path, rewritten);
        }
    }

    static void replace_file(fake_file_system& files, const std::string& path,
                             std::string_view bytes) {
        auto target = files.create(path);
        CPPUNIT_ASSERT(target && append_all(**target, bytes) && (*target)->sync());
    }

  public:
    void posix_folder_survives_a_restart() {
        char name[] = "/tmp/clementine-storage-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(name) != nullptr);
        posix_file_system files;
        const storage_config config{.folder = std::string(name) + "/data", .cluster = "test"};
        {
            storage target(files, config);
            CPPUNIT_ASSERT(target.open().status == storage_status::empty);
            CPPUNIT_ASSERT(!target.set_up(7, first_snapshot()));
            auto work = make_entries(2, 5, 3);
            work.state = hard_state{.term = 3, .vote = 7};
            CPPUNIT_ASSERT(!target.save(work));
        }
        const auto report = storage(files, config).open();
        std::filesystem::remove_all(name);
        CPPUNIT_ASSERT(report.status == storage_status::ready);
        CPPUNIT_ASSERT_EQUAL(replica_id{7}, report.id);
        CPPUNIT_ASSERT(report.state.state == (hard_state{.term = 3, .vote = 7}));
        CPPUNIT_ASSERT(report.state.snap == first_snapshot());
        CPPUNIT_ASSERT(report.state.entries == make_entries(2, 5, 3).append);
    }

    // Its name was never synced in the folder above, so that a loss of power could take the whole
    // log.
    // Sockets to a thousand workers had taken all descriptors when the log began its next segment,
    // and the leading control node ended.
    void sockets_that_take_all_descriptors_fail_the_log() {
        const auto folder = std::filesystem::temp_directory_path() /
                            ("clementine-descriptors-" + std::to_string(::getpid()));
        std::filesystem::remove_all(folder);
        posix_file_system files;
        {
            storage target(files, {folder.string(), "test", 200});
            CPPUNIT_ASSERT(target.open().status == storage_status::empty);
            CPPUNIT_ASSERT(!target.set_up(1, first_snapshot()));
            descriptor_shortage shortage;
            for (index_t i = 2; i <= 40; ++i) {
                auto work = make_entries(i, i, 1);
                if (i % 10 == 0) {
                    work.snap = snapshot{.index = i - 1, .term = 1, .membership = {}, .data = "s"};
                    work.snap->membership = first_snapshot().membership;
                    work.first_kept = i - 1;
                }
                const auto problem = target.save(work);
                CPPUNIT_ASSERT_MESSAGE(problem ? problem->reason : "", !problem);
            }
        }
        storage reopened(files, {folder.string(), "test", 200});
        const auto report = reopened.open();
        CPPUNIT_ASSERT(report.status == storage_status::ready);
        CPPUNIT_ASSERT_EQUAL(index_t{40}, report.state.entries.back().index);
        std::filesystem::remove_all(folder);
    }

    void new_folder_is_lost_with_the_power() {
        char name[] = "/tmp/clementine-storage-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(name) != nullptr);
        posix_file_system files;
        synced_paths.clear();
        storage(files, {.folder = std::string(name) + "/data", .cluster = "test"}).open();
        std::filesystem::remove_all(name);
        CPPUNIT_ASSERT(synced_paths.contains(name));
    }

    void folder_lock_excludes_a_second_storage() {
        char name[] = "/tmp/clementine-storage-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(name) != nullptr);
        posix_file_system files;
        const storage_config config{.folder = name, .cluster = "test"};
        storage first(files, config);
        first.open();
        const auto report = storage(files, config).open();
        std::filesystem::remove_all(name);
        CPPUNIT_ASSERT(report.status == storage_status::locked);
    }

    void empty_and_foreign_folders_have_no_identity() {
        fake_file_system files(1);
        write_entries(files);
        const auto other =
            storage(files, {.folder = "data", .cluster = "other", .segment_bytes = 200}).open();
        CPPUNIT_ASSERT(other.status == storage_status::foreign);
        CPPUNIT_ASSERT(other.state.entries.empty());
        files.wipe();
        CPPUNIT_ASSERT(reopen(files).status == storage_status::empty);
        CPPUNIT_ASSERT(files.create("data/photos"));
        CPPUNIT_ASSERT(reopen(files).status == storage_status::foreign);
        storage unknown(files, fake_config);
        unknown.open();
        CPPUNIT_ASSERT(unknown.set_up(1, first_snapshot()).has_value());
    }

    void conflicting_entries_replace_older_ones() {
        fake_file_system files(1);
        write_entries(files);
        {
            storage target(files, fake_config);
            target.open();
            CPPUNIT_ASSERT(!target.save(make_entries(10, 12, 2)));
        }
        const auto report = reopen(files);
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, report.state.entries.size());
        CPPUNIT_ASSERT_EQUAL(term_t{1}, report.state.entries[7].term);
        CPPUNIT_ASSERT_EQUAL(term_t{2}, report.state.entries[8].term);
    }

    void snapshot_drops_old_segments() {
        fake_file_system files(1);
        write_entries(files);
        const auto before = files.list("data").value().size();
        {
            storage target(files, fake_config);
            target.open();
            ready work;
            work.snap = snapshot{.index = 18, .term = 1, .membership = {}, .data = "state"};
            work.first_kept = 17;
            CPPUNIT_ASSERT(!target.save(work));
        }
        CPPUNIT_ASSERT(files.list("data").value().size() < before);
        const auto report = reopen(files);
        CPPUNIT_ASSERT(report.status == storage_status::ready);
        CPPUNIT_ASSERT_EQUAL(index_t{18}, report.state.snap.index);
        CPPUNIT_ASSERT(report.state.entries.front().index <= 17);
        CPPUNIT_ASSERT_EQUAL(index_t{20}, report.state.entries.back().index);
    }

    // A crash during an install must leave either the old log, or the snapshot without conflicting
    // entries. The log must continue after the snapshot without a gap.
    void install_replaces_the_log_at_every_crash_point() {
        for (const index_t snapshot_index : {15, 100}) {
            for (int crash_point = 0; crash_point < 30; ++crash_point) {
                fake_file_system files(static_cast<std::uint64_t>(crash_point));
                write_entries(files);
                auto work = make_entries(snapshot_index + 1, snapshot_index + 2, 9);
                work.snap =
                    snapshot{.index = snapshot_index, .term = 9, .membership = {}, .data = "state"};
                work.install = true;
                work.reset_log = true;
                {
                    storage target(files, fake_config);
                    target.open();
                    files.crash_after_changes = crash_point;
                    target.save(work);
                    files.crash();
                }
                auto report = reopen(files);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(report.reason, std::string_view("ready"),
                                             to_name(report.status));
                if (report.state.snap.index != snapshot_index) {
                    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, report.state.entries.size());
                    continue;
                }
                for (const auto& each : report.state.entries)
                    CPPUNIT_ASSERT_EQUAL(term_t{9}, each.term);
                {
                    storage target(files, fake_config);
                    target.open();
                    CPPUNIT_ASSERT(
                        !target.save(make_entries(snapshot_index + 1, snapshot_index + 3, 10)));
                }
                report = reopen(files);
                CPPUNIT_ASSERT(report.state.entries ==
                               make_entries(snapshot_index + 1, snapshot_index + 3, 10).append);
            }
        }
    }

    void every_crash_point_keeps_synced_entries() {
        int reported_corrupt = 0;
        for (int crash_point = 0; crash_point < 200; ++crash_point) {
            fake_file_system files(static_cast<std::uint64_t>(crash_point));
            files.short_transfers = crash_point % 2 == 0;
            write_entries(files);
            index_t synced = 20;
            {
                storage target(files, fake_config);
                target.open();
                files.crash_after_changes = crash_point / 4;
                while (!target.save(make_entries(synced + 1, synced + 2, 1)))
                    synced += 2;
                files.crash();
            }
            const auto report = reopen(files);
            if (report.status == storage_status::corrupt) {
                // Garbage after the last record is indistinguishable from damage.
                ++reported_corrupt;
                continue;
            }
            CPPUNIT_ASSERT(report.status == storage_status::ready);
            CPPUNIT_ASSERT(report.state.entries.back().index >= synced);
            for (index_t i = 2; i <= synced; ++i)
                CPPUNIT_ASSERT_EQUAL(i, report.state.entries[i - 2].index);
        }
        CPPUNIT_ASSERT(reported_corrupt < 60);
    }

    // A file may have its new size before all of its new bytes, so that the part that was not
    // written reads as zeros. The replica then took its log for damaged, rejoined with an empty
    // one, and counted as a lost disk.
    void write_cut_off_by_a_power_loss_reads_as_damage() {
        const storage_config one_segment{.folder = "data", .cluster = "test"};
        fake_file_system files(1);
        std::string synced;
        {
            storage target(files, one_segment);
            target.open();
            CPPUNIT_ASSERT(!target.set_up(1, first_snapshot()));
            CPPUNIT_ASSERT(!target.save(make_entries(2, 5, 1)));
            synced = read_file(files, "data/log-1");
            CPPUNIT_ASSERT(!target.save(make_entries(6, 7, 1)));
        }
        const auto whole = read_file(files, "data/log-1");
        for (auto written = synced.size(); written < whole.size(); ++written) {
            for (const bool size_updated : {false, true}) {
                auto bytes = whole.substr(0, written);
                if (size_updated)
                    bytes.resize(whole.size(), '\0');
                replace_file(files, "data/log-1", bytes);
                const auto report = storage(files, one_segment).open();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(report.reason, std::string_view("ready"),
                                             to_name(report.status));
                CPPUNIT_ASSERT(report.state.entries.back().index >= 5);
            }
        }
    }

    void zeros_at_the_end_of_a_command_read_as_a_torn_write() {
        fake_file_system files(1);
        write_entries(files);
        auto work = make_entries(21, 21, 1);
        work.append.front().data.append(40, '\0');
        {
            storage target(files, fake_config);
            target.open();
            CPPUNIT_ASSERT(!target.save(work));
            files.crash();
        }
        const auto report = reopen(files);
        CPPUNIT_ASSERT(report.status == storage_status::ready);
        CPPUNIT_ASSERT(report.state.entries.back() == work.append.front());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report.truncated_bytes);
    }

    // Format 1 had no end byte: zeros at the end of its last record are part of the command.
    void last_command_of_the_former_format_is_cut() {
        for (int crash_point = 0; crash_point < 40; ++crash_point) {
            fake_file_system files(static_cast<std::uint64_t>(crash_point));
            write_entries(files);
            auto last = make_entries(21, 21, 1);
            last.append.front().data.append(40, '\0');
            {
                storage target(files, fake_config);
                target.open();
                CPPUNIT_ASSERT(!target.save(last));
            }
            rewrite_in_format_1(files);
            index_t synced = 21;
            bool opened = false;
            {
                storage target(files, fake_config);
                files.crash_after_changes = crash_point;
                opened = target.open().status == storage_status::ready;
                if (opened)
                    while (synced < 30 && !target.save(make_entries(synced + 1, synced + 1, 1)))
                        ++synced;
                files.crash();
            }
            const auto report = reopen(files);
            if (report.status == storage_status::corrupt && opened)
                continue; // random bytes after the last record, as in every_crash_point
            CPPUNIT_ASSERT_EQUAL_MESSAGE(report.reason, std::string_view("ready"),
                                         to_name(report.status));
            CPPUNIT_ASSERT(report.state.entries.back().index >= synced);
            CPPUNIT_ASSERT(report.state.entries[19] == last.append.front());
        }
    }

    void flipped_bits_are_detected() {
        for (std::uint64_t seed = 0; seed < 500; ++seed) {
            fake_file_system files(seed);
            write_entries(files);
            CPPUNIT_ASSERT(files.flip_bit("data/"));
            const auto report = reopen(files);
            CPPUNIT_ASSERT(report.status == storage_status::corrupt);
            CPPUNIT_ASSERT(report.reason.find("data/") == 0);
            CPPUNIT_ASSERT(report.state.entries.empty());
        }
    }

    void missing_files_are_detected() {
        for (const char* name : {"term", "log-2", "snapshot-1"}) {
            fake_file_system files(1);
            write_entries(files);
            files.remove_durably(std::string("data/") + name);
            CPPUNIT_ASSERT(reopen(files).status == storage_status::corrupt);
        }
    }

    void failed_sync_or_full_disk_fails_all_later_writes() {
        for (const bool full : {false, true}) {
            fake_file_system files(1);
            write_entries(files);
            storage target(files, fake_config);
            target.open();
            files.disk_full = full;
            files.fail_sync_after_calls = full ? -1 : 0;
            const auto error = target.save(make_entries(21, 21, 1));
            CPPUNIT_ASSERT(error.has_value());
            CPPUNIT_ASSERT_EQUAL(full, error->no_space);
            files.disk_full = false;
            const auto syncs = files.sync_count();
            CPPUNIT_ASSERT(target.save(make_entries(21, 21, 1)).has_value());
            CPPUNIT_ASSERT_EQUAL(syncs, files.sync_count());
        }
    }

    void crash_during_set_up_never_leaves_the_old_identity() {
        for (int crash_point = 0; crash_point < 60; ++crash_point) {
            fake_file_system files(static_cast<std::uint64_t>(crash_point));
            write_entries(files);
            files.flip_bit("data/log-2");
            {
                storage target(files, fake_config);
                CPPUNIT_ASSERT(target.open().status == storage_status::corrupt);
                files.crash_after_changes = crash_point;
                target.set_up(70'000, {});
                files.crash();
            }
            const auto report = reopen(files);
            if (report.status == storage_status::ready)
                CPPUNIT_ASSERT_EQUAL(replica_id{70'000}, report.id);
            else
                CPPUNIT_ASSERT(report.status == storage_status::empty ||
                               report.status == storage_status::corrupt);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(storage_test);

} // namespace
