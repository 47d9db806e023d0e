// JSON encoding of commands to the platform and of its reports; see docs/platform-api.md.
#pragma once

#include "scheduler/platform.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace clementine::platform_client {

// A command and its fencing number.
struct fenced_command {
    scheduler::command command;
    scheduler::fencing fencing;
};

// Request of controld in one exchange.
struct exchange_request {
    std::uint64_t cursor = 0; // from the last reply; 0 requests the reports of all VMs
    std::vector<fenced_command> commands;
};

// Reply of the platform.
struct exchange_reply {
    std::uint64_t cursor = 0;
    std::uint64_t refused = 0; // commands rejected because a higher term was seen
    std::vector<scheduler::vm_report> reports;
};

// Reason why a message could not be decoded.
struct codec_error {
    std::string reason;
};

std::string encode(const exchange_request& message);
std::string encode(const exchange_reply& message);

// Unknown members are ignored; a missing member or one of the wrong type is an error.
std::variant<exchange_request, codec_error> decode_request(std::string_view text);
std::variant<exchange_reply, codec_error> decode_reply(std::string_view text);

} // namespace clementine::platform_client
