// On-disk record format: length, CRC-32C of the length, CRC-32C of the payload (4 bytes each),
// payload. The length has its own checksum so that a flipped bit in it is not mistaken for a torn
// write, which would drop an acknowledged record.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace clementine::consensus {

enum class record_status {
    complete,
    end,    // no data is left
    torn,   // the file ends inside the record, or only zeros follow
    corrupt // a checksum does not match
};

// Iterates over the records of one file.
class record_reader {
  public:
    explicit record_reader(std::string_view bytes) : bytes_(bytes) {}

    // Reads the next record. The position advances only if the result is `complete`.
    record_status next(std::string_view& payload);
    std::size_t offset() const { return offset_; }

  private:
    std::string_view bytes_;
    std::size_t offset_ = 0;
};

// Encodes a payload as a record.
std::string make_record(std::string_view payload);

} // namespace clementine::consensus
