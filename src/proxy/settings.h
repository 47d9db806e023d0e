// Settings of an entryd process, read from one INI file.
#pragma once

#include "base/clock.h"
#include "base/ini.h"
#include "base/log.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::proxy {

struct named_endpoint {
    std::string name;
    endpoint_text endpoint;
};

// Timeouts; a reload may change them.
struct timeout_settings {
    time_ms header{10'000};      // from the first byte of a request to the end of its header
    time_ms idle{60'000};        // between requests of one caller, and between bytes of a body
    time_ms connect{1'000};      // to open a connection to a backend server
    time_ms silent{1'500};       // without a received byte before a connection is suspect
    time_ms probe{500};          // for the response to a probe
    time_ms drain{5'000};        // listening continues for this long after SIGTERM
    time_ms backend_idle{4'000}; // maximum idle time of connections to backend servers
};

struct entryd_settings {
    std::string file;
    std::string node;
    std::string cluster; // processes of another cluster are refused
    std::string availability_zone;
    int threads = 2;
    endpoint_text callers;
    endpoint_text backends;
    endpoint_text admin;
    std::optional<endpoint_text> control;
    bool allow_plaintext_control = false;      // allow control without TLS beyond loopback
    std::vector<named_endpoint> peers;         // control addresses of the other entryds
    std::vector<named_endpoint> peer_backends; // announcement addresses of the other entryds
    std::vector<named_endpoint> controls;
    std::string manifest_file; // empty: the manifest comes from controld
    std::string data_folder;   // empty: nothing is kept on disk
    timeout_settings timeouts;
    std::size_t max_callers = 10'000; // concurrent caller connections
    log_level level = log_level::info;
    // Line numbers of "[section]" and "[section] key", for faults that check_reload reports.
    std::map<std::string, std::size_t> lines;
};

struct settings_result {
    entryd_settings value;
    std::vector<ini_fault> faults;

    bool ok() const { return faults.empty(); }
};

// Parses the text of a settings file; `file` is used in messages only.
settings_result parse_settings(const std::string& file, std::string_view text);

// Reads and parses a settings file.
settings_result load_settings(const std::string& file);

// Returns a fault for each changed setting that requires a restart.
std::vector<ini_fault> check_reload(const entryd_settings& current, const entryd_settings& next);

} // namespace clementine::proxy
