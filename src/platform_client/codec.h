// JSON form of commands to the platform and of its reports, as documented in docs/platform-api.md.
#pragma once

#include "scheduler/platform.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace clementine::platform_client {

// A command with the fencing number that goes with it.
struct fenced_command {
    scheduler::command command;
    scheduler::fencing fencing;
};

// What controld sends in one exchange.
struct exchange_request {
    std::uint64_t cursor = 0; // of the last reply; 0 asks for the reports of all VMs
    std::vector<fenced_command> commands;
};

// What the platform answers.
struct exchange_reply {
    std::uint64_t cursor = 0;
    std::uint64_t refused = 0; // commands refused because their term was too low
    std::vector<scheduler::vm_report> reports;
};

// Why a text could not be read.
struct codec_error {
    std::string reason;
};

std::string encode(const exchange_request& message);
std::string encode(const exchange_reply& message);

// Unknown members are ignored, missing ones and wrong types are errors.
std::variant<exchange_request, codec_error> decode_request(std::string_view text);
std::variant<exchange_reply, codec_error> decode_reply(std::string_view text);

} // namespace clementine::platform_client
