// Settings of controld, read from an INI file.
#pragma once

#include "base/ini.h"
#include "base/log.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::control {

// A replica and the address of its control port.
struct replica_address {
    std::string node;
    endpoint_text address;
};

struct controld_settings {
    std::string node;
    std::string availability_zone;
    std::string cluster;
    endpoint_text control;
    endpoint_text operators;
    endpoint_text admin;
    bool allow_plaintext_control = false;
    std::vector<replica_address> replicas; // all replicas of the cluster, sorted by name
    std::vector<std::string> entry_nodes;  // nodes expected to report their manifest version
    std::string data_folder;
    std::optional<endpoint_text> platform; // empty: no scheduling decisions
    log_level level = log_level::info;
};

struct settings_result {
    controld_settings value;
    std::vector<ini_fault> faults;

    bool ok() const { return faults.empty(); }
};

// Parses and validates a settings file.
settings_result parse_controld_settings(std::string_view text);

} // namespace clementine::control
