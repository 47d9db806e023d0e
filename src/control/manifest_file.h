// Stores the last manifest of an entry node in its data folder.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementine::control {

struct saved_manifest {
    std::uint64_t version = 0;
    std::string text;
    time_ms age = 0; // since the file was written, by the wall clock
};

class manifest_file {
  public:
    // Creates the folder if it does not exist.
    explicit manifest_file(std::string folder);

    // The saved manifest; empty if there is none or the file is corrupt, which is logged.
    std::optional<saved_manifest> load() const;
    // Replaces the file durably: temporary file, fsync, rename, fsync of the folder. Returns the
    // error text, empty on success.
    std::string save(std::uint64_t version, const std::string& text) const;

  private:
    std::string folder_;
};

} // namespace clementine::control
