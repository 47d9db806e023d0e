// Canonical text of a manifest, and differences between two manifests.
#pragma once

#include "manifest/manifest.h"

#include <string>
#include <variant>
#include <vector>

namespace clementine::manifest {

// Section that exists only in the new manifest.
struct section_added {
    std::string kind;
    std::string name;
};

// Section that exists only in the old manifest.
struct section_removed {
    std::string kind;
    std::string name;
};

// Key with a different value. Values are in canonical form with defaults filled in.
struct value_changed {
    std::string kind;
    std::string name;
    std::string key;
    std::string before;
    std::string after;
};

using change = std::variant<section_added, section_removed, value_changed>;

// Changes between two manifests, removed sections first. Empty if the manifests are equivalent.
std::vector<change> diff(const manifest& before, const manifest& after);

// Formats a change as one line: "+ [pool a]", "- [pool a]" or "~ [pool a] size: 8 -> 10".
std::string format_change(const change& item);

// Canonical INI text with every key. Parsing it yields an equal manifest.
std::string format_manifest(const manifest& value);

} // namespace clementine::manifest
