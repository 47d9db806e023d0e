// Counters, gauges and histograms with labels, rendered as Prometheus text.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementine {

// Label pairs of one series, such as {{"workspace","a"},{"class","urgent"}}.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Registry of all series of a process. Thread-safe: series are spread over shards, a lock each.
class metrics {
  public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    // Adds to a counter.
    void add(std::string_view name, const metric_labels& labels, std::uint64_t by = 1);
    // Sets a gauge.
    void set(std::string_view name, const metric_labels& labels, double value);
    // Adds one sample in milliseconds to a histogram with logarithmic buckets from 0.1 ms to 100 s.
    void observe_ms(std::string_view name, const metric_labels& labels, double milliseconds);
    // Current value of a counter; 0 if there is none.
    std::uint64_t counter(std::string_view name, const metric_labels& labels) const;
    // Value below which the share `q` (0 to 1) of the samples lies, as a bucket's upper edge; 0 if
    // empty.
    double quantile_ms(std::string_view name, const metric_labels& labels, double q) const;
    // All series in Prometheus text format, with violated invariants.
    std::string render() const;

  private:
    struct shard;
    shard& shard_of(const std::string& key) const;

    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace clementine
