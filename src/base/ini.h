// INI parser that keeps line numbers, so that each fault can be reported with file and line.
// Boost.PropertyTree is not used, as it drops line numbers and accepts repeated sections.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

// One fault in an INI text. `line` is 1-based, 0 for the file as a whole.
struct ini_fault {
    std::size_t line = 0;
    std::string key;
    std::string reason;
};

// Formats a fault as "file:line: key: reason".
std::string format_fault(std::string_view file, const ini_fault& fault);

struct ini_value {
    std::string key;
    std::string value;
    std::size_t line = 0;
};

// One section. "[service tickets]" has kind "service" and name "tickets"; "[log]" has no name.
struct ini_section {
    std::string kind;
    std::string name;
    std::size_t line = 0;
    std::vector<ini_value> values;

    // Entry of a key; nullptr if the key is absent.
    const ini_value* find(std::string_view key) const;
};

struct ini_document {
    std::vector<ini_section> sections;
    std::vector<ini_fault> faults;

    // First section of a kind; nullptr if there is none.
    const ini_section* find(std::string_view kind) const;
};

// Parses INI text. Malformed lines, repeated keys and repeated sections are faults. Parsing
// continues after a fault, so that all faults are reported at once. Comments start with '#' or ';'.
ini_document parse_ini(std::string_view text);

// Reads a whole file; nullopt if it cannot be read.
std::optional<std::string> read_file(const std::string& path);

// Typed access to the values of one section. Collects faults; `finish` adds unknown keys.
class ini_reader {
  public:
    ini_reader(const ini_section& section, std::vector<ini_fault>& faults)
        : section_(section), faults_(faults) {}

    // Required text; a missing key or an empty value is a fault.
    std::string text(std::string_view key);
    // Optional text.
    std::string text_or(std::string_view key, std::string_view default_value);
    // Optional whole number within [min_value, max_value].
    long long number_or(std::string_view key, long long default_value, long long min_value,
                        long long max_value);
    // Required whole number within [min_value, max_value].
    long long number(std::string_view key, long long min_value, long long max_value);
    // Optional decimal number within [min_value, max_value].
    double decimal_or(std::string_view key, double default_value, double min_value,
                      double max_value);
    // Optional "yes" or "no".
    bool flag_or(std::string_view key, bool default_value);
    // Optional comma-separated list; whitespace around items is dropped, empty items are faults.
    std::vector<std::string> list_or(std::string_view key, std::vector<std::string> default_value);
    // Adds a fault at a key of this section.
    void fail(std::string_view key, std::string reason);
    // Adds a fault for each key of the section that was not read.
    void finish();

  private:
    const ini_value* find_value(std::string_view key);
    long long parse_number(const ini_value& value, long long min_value, long long max_value);

    const ini_section& section_;
    std::vector<ini_fault>& faults_;
    std::vector<std::string> read_keys_;
};

// IP address and port of text such as "127.0.0.1:8080" or "[::1]:8080".
struct endpoint_text {
    std::string address;
    unsigned short port = 0;
};

// Parses "ADDRESS:PORT"; nullopt if it is malformed. Host names are rejected, only IP addresses are
// accepted.
std::optional<endpoint_text> parse_endpoint(std::string_view text);

} // namespace clementine
