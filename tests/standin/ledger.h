// Append-only text files that the stand-in programs write and standin_audit compares.
#pragma once

#include <string>
#include <string_view>

namespace standin {

// Appends each line with a single write call, so that a killed process loses no complete line.
class ledger {
  public:
    // Throws std::system_error if the file cannot be opened. An empty path discards all lines.
    explicit ledger(const std::string& path);
    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;
    ~ledger();

    void append(std::string_view line);

  private:
    int file_ = -1;
};

} // namespace standin
