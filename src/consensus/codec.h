// Little-endian encoding of on-disk records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace clementine::consensus {

class byte_writer {
  public:
    void u8(std::uint8_t value) { out_.push_back(static_cast<char>(value)); }
    void u32(std::uint32_t value) { write_integer(value, 4); }
    void u64(std::uint64_t value) { write_integer(value, 8); }
    // Writes a 32-bit length followed by the bytes.
    void text(std::string_view value) {
        u32(static_cast<std::uint32_t>(value.size()));
        out_.append(value);
    }
    std::string take() { return std::move(out_); }

  private:
    void write_integer(std::uint64_t value, int bytes) {
        for (int i = 0; i < bytes; ++i)
            out_.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
    }

    std::string out_;
};

// Decodes the output of byte_writer. A read past the end returns zero or an empty string, and
// good() is false from then on.
class byte_reader {
  public:
    explicit byte_reader(std::string_view bytes) : bytes_(bytes) {}

    std::uint8_t u8() { return static_cast<std::uint8_t>(read_integer(1)); }
    std::uint32_t u32() { return static_cast<std::uint32_t>(read_integer(4)); }
    std::uint64_t u64() { return read_integer(8); }
    std::string text() {
        const auto size = u32();
        if (!good_ || size > bytes_.size() - position_) {
            good_ = false;
            return {};
        }
        position_ += size;
        return std::string(bytes_.substr(position_ - size, size));
    }
    bool good() const { return good_; }
    // True if all input was consumed and no read went past the end.
    bool finished() const { return good_ && position_ == bytes_.size(); }

  private:
    std::uint64_t read_integer(std::size_t size) {
        if (!good_ || size > bytes_.size() - position_) {
            good_ = false;
            return 0;
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i)
            value |= std::uint64_t{static_cast<unsigned char>(bytes_[position_ + i])} << (8 * i);
        position_ += size;
        return value;
    }

    std::string_view bytes_;
    std::size_t position_ = 0;
    bool good_ = true;
};

} // namespace clementine::consensus
