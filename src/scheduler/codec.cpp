#include "scheduler/codec.h"

#include <boost/archive/archive_exception.hpp>
#include <boost/archive/text_iarchive.hpp>
#include <boost/archive/text_oarchive.hpp>
#include <boost/serialization/deque.hpp>
#include <boost/serialization/map.hpp>
#include <boost/serialization/set.hpp>
#include <boost/serialization/split_free.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>

#include <map>
#include <sstream>
#include <variant>

// Each serialize function lists the members of one type for both reading and writing.
// Boost.Serialization finds it by argument-dependent lookup. Members are only appended, and each
// addition raises the format version.
namespace clementine::scheduler {

namespace {

// Increment when the encoding changes.
constexpr unsigned format_version = 1;

} // namespace

template <class Archive>
void serialize(Archive& a, resources& v, unsigned) {
    a& v.millicores& v.memory_mb& v.accelerators;
}

template <class Archive>
void serialize(Archive& a, begin_move& v, unsigned) {
    a& v.vm& v.from& v.to& v.serve;
}

template <class Archive>
void serialize(Archive& a, confirm_empty& v, unsigned) {
    a& v.vm;
}

template <class Archive>
void serialize(Archive& a, reassign_vm& v, unsigned) {
    a& v.vm& v.from& v.to;
}

template <class Archive>
void serialize(Archive& a, cancel_move& v, unsigned) {
    a& v.vm;
}

template <class Archive>
void serialize(Archive& a, hold_buffer& v, unsigned) {
    a& v.vms;
}

template <class Archive>
void serialize(Archive& a, submit_job& v, unsigned) {
    a& v.team& v.pool& v.kind& v.urgent& v.declared& v.run_time;
}

template <class Archive>
void serialize(Archive& a, request_cancel& v, unsigned) {
    a& v.job;
}

template <class Archive>
void serialize(Archive& a, start_job& v, unsigned) {
    a& v.job& v.attempt& v.worker& v.lease_epoch& v.borrowed;
}

template <class Archive>
void serialize(Archive& a, preempt_job& v, unsigned) {
    a& v.job& v.attempt;
}

template <class Archive>
void serialize(Archive& a, throttle_job& v, unsigned) {
    a& v.job& v.attempt& v.percent;
}

template <class Archive>
void serialize(Archive& a, requeue_job& v, unsigned) {
    a& v.job& v.attempt& v.checkpoint& v.failed;
}

template <class Archive>
void serialize(Archive& a, end_job& v, unsigned) {
    a& v.job& v.attempt& v.outcome;
}

template <class Archive>
void serialize(Archive& a, quarantine_worker& v, unsigned) {
    a& v.worker;
}

template <class Archive>
void serialize(Archive& a, probe_worker& v, unsigned) {
    a& v.worker& v.probe;
}

template <class Archive>
void serialize(Archive& a, readmit_worker& v, unsigned) {
    a& v.worker;
}

template <class Archive>
void serialize(Archive& a, begin_maintenance& v, unsigned) {
    a& v.vm;
}

template <class Archive>
void serialize(Archive& a, reboot_vm& v, unsigned) {
    a& v.vm;
}

template <class Archive>
void serialize(Archive& a, finish_maintenance& v, unsigned) {
    a& v.vm;
}

template <class Archive>
void serialize(Archive& a, mark_overdue& v, unsigned) {
    a& v.vm;
}

template <class Archive>
void serialize(Archive& a, halt_maintenance& v, unsigned) {
    a& v.pool;
}

template <class Archive>
void serialize(Archive& a, resume_maintenance& v, unsigned) {
    a& v.pool;
}

template <class Archive>
void serialize(Archive& a, vm_record& v, unsigned) {
    a& v.name& v.rack& v.zone& v.capacity& v.home& v.pool& v.open& v.activity& v.move_to;
    a& v.move_serve& v.activity_index& v.assignment_index& v.activity_since& v.maintained_at;
    a& v.quarantined& v.probe& v.reason& v.position;
}

template <class Archive>
void serialize(Archive& a, pool_record& v, unsigned) {
    a& v.name& v.size& v.spare& v.max_lent& v.min_available& v.members& v.lent& v.halted;
}

template <class Archive>
void serialize(Archive& a, team_record& v, unsigned) {
    a& v.name& v.quota_millicores& v.may_borrow;
}

template <class Archive>
void serialize(Archive& a, job_record& v, unsigned) {
    a& v.id& v.request& v.phase& v.outcome& v.attempt& v.worker& v.lease_epoch& v.checkpoint;
    a& v.start_index& v.failures& v.throttle_percent& v.borrowed& v.cancel_requested;
    a& v.submitted_at& v.phase_since& v.reason;
}

namespace {

// Default-constructs the variant alternative with this index.
template <std::size_t I = 0>
std::optional<action> make_action(std::size_t index) {
    if constexpr (I < std::variant_size_v<action>) {
        if (index != I)
            return make_action<I + 1>(index);
        return action(std::in_place_index<I>);
    }
    return std::nullopt;
}

// Covers the objective weights and maintenance settings copied from the manifest.
template <class Archive>
void serialize_settings(Archive& a, state& v) {
    a& v.weights.buffer_cost& v.weights.lateness& v.weights.moves;
    a& v.maintenance_settings.enabled& v.maintenance_settings.period_days& v.maintenance_settings
        .max_concurrent;
    a& v.maintenance_settings.return_timeout& v.maintenance_settings.window_start_hour& v
        .maintenance_settings.window_hours;
}

template <class Archive>
void serialize_members(Archive& a, state& v, std::map<job_id, job_record>& jobs) {
    a& v.vms& v.pools& v.teams& v.zones;
    serialize_settings(a, v);
    a& v.spare& v.buffer_vms& v.halted& v.next_job& jobs;
    a& v.queued& v.queued_urgent& v.active& v.tasks& v.ended& v.manifest_jobs;
}

template <class Write>
std::string write_archive(Write write) {
    std::ostringstream out;
    {
        boost::archive::text_oarchive archive(out, boost::archive::no_header);
        archive << format_version;
        write(archive);
    }
    return std::move(out).str();
}

// Calls `read` on the archive. Returns false if the bytes are malformed or of another version.
template <class Read>
bool read_archive(std::string_view bytes, Read read) {
    std::istringstream in{std::string(bytes)};
    try {
        boost::archive::text_iarchive archive(in, boost::archive::no_header);
        unsigned format = 0;
        archive >> format;
        return format == format_version && read(archive);
    } catch (const boost::archive::archive_exception&) {
        return false;
    } catch (const std::length_error&) {
        return false;
    } catch (const std::bad_alloc&) {
        return false;
    }
}

} // namespace

std::string encode_decision(const decision& entry) {
    return write_archive([&](auto& archive) {
        const std::uint32_t kind = static_cast<std::uint32_t>(entry.what.index());
        archive << kind;
        std::visit([&](const auto& what) { archive << what; }, entry.what);
        archive << entry.reason << entry.at;
    });
}

std::optional<decision> decode_decision(std::string_view bytes) {
    decision out;
    const bool valid = read_archive(bytes, [&](auto& archive) {
        std::uint32_t kind = 0;
        archive >> kind;
        auto what = make_action(kind);
        if (!what)
            return false;
        std::visit([&](auto& body) { archive >> body; }, *what);
        out.what = *what;
        archive >> out.reason >> out.at;
        return true;
    });
    return valid ? std::optional(std::move(out)) : std::nullopt;
}

std::string encode_state(const state& value) {
    state copy = value;
    // Sorts the jobs by id, because the iteration order of the hash table is unspecified.
    std::map<job_id, job_record> jobs(copy.jobs.begin(), copy.jobs.end());
    return write_archive([&](auto& archive) { serialize_members(archive, copy, jobs); });
}

std::optional<state> decode_state(std::string_view bytes) {
    state out;
    std::map<job_id, job_record> jobs;
    const bool valid = read_archive(bytes, [&](auto& archive) {
        serialize_members(archive, out, jobs);
        return true;
    });
    if (!valid)
        return std::nullopt;
    out.jobs.insert(jobs.begin(), jobs.end());
    return out;
}

} // namespace clementine::scheduler
