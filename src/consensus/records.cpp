#include "consensus/records.h"

#include "base/hash.h"
#include "consensus/codec.h"

namespace clementine::consensus {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = 12;

} // namespace

record_status record_reader::next(std::string_view& payload) {
    const auto rest = bytes_.substr(offset_);
    if (rest.empty())
        return record_status::end;
    if (rest.find_first_not_of('\0') == std::string_view::npos || rest.size() < header_bytes)
        return record_status::torn;
    byte_reader header(rest.substr(0, header_bytes));
    const std::size_t length = header.u32();
    const auto length_checksum = header.u32();
    const auto payload_checksum = header.u32();
    if (crc32c(rest.substr(0, length_bytes)) != length_checksum)
        return record_status::corrupt;
    if (rest.size() - header_bytes < length)
        return record_status::torn;
    payload = rest.substr(header_bytes, length);
    if (crc32c(payload) != payload_checksum)
        return record_status::corrupt;
    offset_ += header_bytes + length;
    return record_status::complete;
}

std::string make_record(std::string_view payload) {
    byte_writer length;
    length.u32(static_cast<std::uint32_t>(payload.size()));
    auto out = length.take();
    byte_writer checksums;
    checksums.u32(crc32c(out));
    checksums.u32(crc32c(payload));
    out += checksums.take();
    out += payload;
    return out;
}

} // namespace clementine::consensus
