// JSON views of VMs, pools and jobs for the operators' API.
#pragma once

#include "scheduler/state.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string_view>

namespace clementine::control {

boost::json::array render_vms(const scheduler::state& fleet);
boost::json::array render_pools(const scheduler::state& fleet);
boost::json::array render_jobs(const scheduler::state& fleet);
// VMs in maintenance or overdue, and pools with halted maintenance.
boost::json::value render_waves(const scheduler::state& fleet);

// Look up an item by name. Jobs are found by their manifest name or their number.
std::optional<scheduler::vm_id> find_vm(const scheduler::state& fleet, std::string_view name);
std::optional<scheduler::pool_id> find_pool(const scheduler::state& fleet, std::string_view name);
std::optional<scheduler::job_id> find_job(const scheduler::state& fleet, std::string_view name);

} // namespace clementine::control
