#include "store/state_machine.h"

#include "base/hash.h"
#include "base/invariant.h"
#include "manifest/manifest.h"
#include "scheduler/codec.h"
#include "scheduler/reconfigure.h"
#include "store/codec.h"

#include <algorithm>

namespace clementine::store {

namespace {

// Excludes the time, which differs in a resend.
std::uint64_t digest_of(const set_manifest& change) {
    return hash64(change.text, change.base_version + 1);
}

std::uint64_t digest_of(const set_maintenance& change) {
    return hash64("maintenance", static_cast<std::uint64_t>(change.mode));
}

apply_result to_apply_result(const request_result& result) {
    return std::visit([](const auto& item) { return apply_result{item}; }, result);
}

} // namespace

apply_result state_machine::apply(std::string_view data) {
    const auto change = decode_command(data);
    if (!change)
        return unknown_command{};
    return std::visit([this](const auto& item) { return apply_once(item); }, *change);
}

// Decisions carry no request id, because one that is out of date changes nothing.
apply_result state_machine::apply_once(const apply_decisions& round) {
    state_.leader_time = std::max(state_.leader_time, round.leader_time);
    for (const auto& bytes : round.decisions) {
        const auto decision = scheduler::decode_decision(bytes);
        if (!decision)
            return unknown_command{};
        if (state_.fleet)
            scheduler::apply(*state_.fleet, *decision, ++state_.decision_count);
    }
    return done{};
}

template <class Change>
apply_result state_machine::apply_once(const Change& change) {
    state_.leader_time = std::max(state_.leader_time, change.leader_time);
    expire_requests();
    if (const auto* earlier = find_request(change.request_id)) {
        if (earlier->digest != digest_of(change))
            return request_id_reused{};
        return to_apply_result(earlier->result);
    }
    if (state_.requests.size() >= max_request_records)
        return too_many_requests{};
    return apply_command(change);
}

// Applies the current manifest to the fleet. A text that does not parse, which only a faulty leader
// could have accepted, leaves the fleet unchanged.
void state_machine::reconfigure_fleet() {
    const auto parsed = manifest::parse_manifest(state_.manifest.text);
    if (!parsed.ok())
        return;
    const auto index = ++state_.decision_count;
    if (!state_.fleet)
        state_.fleet = scheduler::make_state(parsed.value);
    if (scheduler::unsupported_changes(*state_.fleet, parsed.value).empty())
        scheduler::reconfigure(*state_.fleet, parsed.value, index, state_.leader_time);
    apply_maintenance_mode();
}

// An operator's pause overrides the manifest.
void state_machine::apply_maintenance_mode() {
    if (!state_.fleet)
        return;
    const auto parsed = manifest::parse_manifest(state_.manifest.text);
    const bool enabled_by_manifest = parsed.ok() && parsed.value.maintenance_settings.enabled;
    state_.fleet->maintenance_settings.enabled =
        enabled_by_manifest && state_.maintenance.mode == maintenance_mode::running;
}

apply_result state_machine::apply_command(const set_manifest& change) {
    auto& current = state_.manifest;
    if (change.base_version != current.version) {
        const version_conflict conflict{current.version, current.request_id};
        record_request(change.request_id, digest_of(change), conflict);
        return conflict;
    }
    current = {current.version + 1, change.request_id, change.text};
    state_.history.push_back({current.version, change.base_version, change.request_id,
                              state_.leader_time, change.text.size()});
    while (state_.history.size() > max_history_records)
        state_.history.pop_front();
    record_request(change.request_id, digest_of(change), accepted{current.version});
    reconfigure_fleet();
    return accepted{current.version};
}

apply_result state_machine::apply_command(const set_maintenance& change) {
    state_.maintenance = {change.mode, change.request_id, state_.leader_time};
    apply_maintenance_mode();
    record_request(change.request_id, digest_of(change), done{});
    return done{};
}

const request_record* state_machine::find_request(const std::string& request_id) const {
    const auto it = request_positions_.find(request_id);
    return it == request_positions_.end() ? nullptr
                                          : &state_.requests[it->second - dropped_requests_];
}

void state_machine::record_request(const std::string& request_id, std::uint64_t digest,
                                   request_result result) {
    request_positions_.emplace(request_id, dropped_requests_ + state_.requests.size());
    state_.requests.push_back({request_id, digest, state_.leader_time, std::move(result)});
    CLEMENTINE_INVARIANT(request_positions_.size() == state_.requests.size(), "request_ids_unique");
}

void state_machine::expire_requests() {
    while (state_.requests.size() > min_request_records &&
           state_.leader_time - state_.requests.front().accepted_at > request_retention) {
        request_positions_.erase(state_.requests.front().request_id);
        state_.requests.pop_front();
        ++dropped_requests_;
    }
}

std::string state_machine::save() const {
    return encode(state_);
}

bool state_machine::load(std::string_view snapshot) {
    auto loaded = snapshot.empty() ? state{} : decode_state(snapshot);
    if (!loaded)
        return false;
    state_ = std::move(*loaded);
    dropped_requests_ = 0;
    request_positions_.clear();
    for (std::uint64_t i = 0; i < state_.requests.size(); ++i)
        request_positions_.emplace(state_.requests[i].request_id, i);
    return true;
}

} // namespace clementine::store
