// Contiguous buffer of received but unconsumed bytes that grows up to a limit.
#pragma once

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <string_view>
#include <vector>

namespace clementine::proxy {

class read_buffer {
  public:
    explicit read_buffer(std::size_t limit) : limit_(limit) {}

    std::string_view view() const { return {data_.data() + begin_, end_ - begin_}; }
    std::size_t size() const { return end_ - begin_; }
    bool empty() const { return begin_ == end_; }
    // True if the limit is reached, so that nothing more can be received.
    bool full() const { return size() >= limit_; }

    void consume(std::size_t count) {
        begin_ += std::min(count, size());
        if (begin_ == end_)
            begin_ = end_ = 0;
    }

    // Free space to receive into; empty only if the buffer is full.
    boost::asio::mutable_buffer prepare() {
        if (begin_ > 0) {
            std::memmove(data_.data(), data_.data() + begin_, size());
            end_ -= begin_;
            begin_ = 0;
        }
        if (end_ == data_.size())
            data_.resize(std::min(limit_, std::max(initial_size, data_.size() * 2)));
        return {data_.data() + end_, data_.size() - end_};
    }

    void commit(std::size_t count) { end_ += count; }

    // Releases the memory of an empty buffer that has grown, so that idle connections use little.
    void shrink() {
        if (empty() && data_.size() > initial_size)
            std::vector<char>().swap(data_);
    }

  private:
    static constexpr std::size_t initial_size = 2048;

    std::size_t limit_;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    std::vector<char> data_;
};

} // namespace clementine::proxy
