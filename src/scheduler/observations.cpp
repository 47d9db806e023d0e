#include "scheduler/observations.h"

#include <algorithm>

namespace clementine::scheduler {

observations::observations(std::size_t vms, time_ms start) : entries_(vms) {
    for (auto& item : entries_)
        item.granted_at = start;
}

bool observations::record(const vm_report& report, time_ms now) {
    if (report.vm >= entries_.size())
        return false;
    auto& item = entries_[report.vm];
    if (item.has_report && report.sequence <= item.report.sequence)
        return false;
    item.report = report;
    item.received_at = now;
    item.has_report = true;
    return true;
}

bool observations::up(vm_id vm, time_ms now) const {
    return entries_[vm].has_report && now - entries_[vm].received_at < report_timeout;
}

bool observations::lease_expired(vm_id vm, time_ms now) const {
    return now > entries_[vm].granted_at + lease_expiry;
}

std::size_t observations::bytes() const {
    std::size_t total = entries_.size() * sizeof(entry);
    for (const auto& item : entries_)
        total += item.report.tasks.capacity() * sizeof(task_report);
    return total;
}

fleet_view::fleet_view(const state& s, const observations& observed, time_ms now)
    : s_(s), pools_(s.pools.size()), zone_serving_(s.pools.size() * s.zones.size()),
      serving_(s.vms.size()), up_(s.vms.size()), withdrawn_(s.vms.size()) {
    for (std::size_t i = 0; i < s.pools.size(); ++i)
        pools_[i].lent = s.pools[i].lent;
    for (vm_id id = 0; id < s.vms.size(); ++id)
        add(id, observed, now);
}

void fleet_view::add(vm_id id, const observations& observed, time_ms now) {
    const auto& vm = s_.vms[id];
    auto& pool = pools_[vm.pool];
    up_[id] = observed.up(id, now);
    if (!up_[id])
        ++pool.down;
    switch (vm.activity) {
    case vm_activity::draining:
    case vm_activity::empty_confirmed: {
        moving_.push_back(id);
        if (vm.move_serve)
            ++pools_[vm.move_to].incoming;
        const bool lent_now = vm.pool != vm.home || vm.open;
        const bool lent_after_move = vm.move_to != vm.home || !vm.move_serve;
        if (lent_after_move && !lent_now)
            ++pools_[vm.home].lent;
        return;
    }
    case vm_activity::maintenance_draining:
    case vm_activity::rebooting:
    case vm_activity::overdue:
        in_maintenance_.push_back(id);
        ++pool.in_maintenance;
        return;
    case vm_activity::none:
        break;
    }
    if (vm.open || !up_[id])
        return;
    const auto& report = observed.report(id);
    const bool assigned = report.assignment == vm.assignment_index && report.drain == 0;
    serving_[id] = assigned && report.ready;
    if (!serving_[id]) {
        ++pool.starting;
        return;
    }
    ++pool.serving;
    ++zone_serving_[vm.pool * s_.zones.size() + vm.zone];
}

std::uint32_t fleet_view::max_zone_serving_without(vm_id id) const {
    const auto& vm = s_.vms[id];
    std::uint32_t max_serving = 0;
    for (std::size_t zone = 0; zone < s_.zones.size(); ++zone) {
        auto count = serving_in_zone(vm.pool, static_cast<std::uint16_t>(zone));
        if (zone == vm.zone && serving_[id])
            --count;
        max_serving = std::max(max_serving, count);
    }
    return max_serving;
}

bool fleet_view::may_withdraw(vm_id id) const {
    const auto& record = s_.pools[s_.vms[id].pool];
    const auto serving = pools_[s_.vms[id].pool].serving;
    const auto zones = static_cast<std::uint32_t>(s_.zones.size());
    // VMs per zone of the full pool if spread evenly, the smallest possible zone loss.
    const auto even_zone_share = (record.size + zones - 1) / zones;
    const bool survives_zone_loss = record.size >= record.min_available + even_zone_share + 1;
    const auto assumed_losses =
        survives_zone_loss ? std::max(1U, max_zone_serving_without(id)) : 1U;
    return serving >= record.min_available + assumed_losses + 1;
}

void fleet_view::withdraw(vm_id id) {
    withdrawn_[id] = true;
    const auto& vm = s_.vms[id];
    if (serving_[id]) {
        --pools_[vm.pool].serving;
        --zone_serving_[vm.pool * s_.zones.size() + vm.zone];
    }
    serving_[id] = false;
}

} // namespace clementine::scheduler
