// Interface between the workload runtime and the formats of a platform. An adapter to a platform
// implements it; it makes no decisions.
#pragma once

#include "workload/job_table.h"
#include "workload/orders.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace clementine::workload {

// A received request without connection-level data.
struct fleet_request {
    std::string method;
    std::string host;
    std::string target;
    std::string body;
};

struct fleet_response {
    unsigned status = 200;
    std::string body; // JSON or empty
};

// An order as it is sent.
struct encoded_order {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct order_result {
    order_answer answer = order_answer::invalid;
    // With `other_life`: start time of the life that answered under the same id; 0 if the worker at
    // the address has another id and carried out nothing.
    std::int64_t next_life = 0;
    worker_lists lists;                    // for a hold
    std::vector<vm_report> vms;            // for a VM list
    std::vector<placement_ticket> tickets; // for placement advice
    time_ms ticket_validity{0};
    std::string next_page; // for a VM list; empty on the last page
};

// Decoded requests to the control nodes.
struct announce_worker {
    worker_report report;
};
struct worker_leaves {
    std::string id;
};
struct apply_configuration {
    configuration value;
};
struct read_configuration {};
struct start_wave {
    wave_order order;
};
struct read_wave {
    std::uint64_t number = 0;
};
struct malformed_request {
    std::string reason;
};
struct unknown_request {};

using control_request =
    std::variant<announce_worker, worker_leaves, apply_configuration, read_configuration,
                 start_wave, read_wave, malformed_request, unknown_request>;

class fleet_protocol {
  public:
    fleet_protocol() = default;
    fleet_protocol(const fleet_protocol&) = delete;
    fleet_protocol& operator=(const fleet_protocol&) = delete;
    virtual ~fleet_protocol() = default;

    virtual control_request decode_control(const fleet_request& request) const = 0;
    // Decodes a submitted job; sets `reason` and returns nothing if it is malformed.
    virtual std::optional<job_spec> decode_job(std::string_view body,
                                               std::string& reason) const = 0;
    // True if the text is a well-formed job id.
    virtual bool is_job_id(std::string_view text) const = 0;
    virtual std::string encode_job_state(job_state state) const = 0;
    virtual std::string encode_pending(std::size_t jobs) const = 0;
    virtual std::string encode_wave_state(bool completed) const = 0;
    // Body of the answer to a malformed request.
    virtual std::string encode_error(const std::string& reason) const = 0;
    // `holder` names the node that sends the VM orders.
    virtual encoded_order encode_order(const order& value, const std::string& holder,
                                       const std::string& page) const = 0;
    virtual order_result decode_answer(const order& value, unsigned status,
                                       std::string_view body) const = 0;
};

} // namespace clementine::workload
