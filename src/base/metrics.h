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

// Registry of all series of a process. Thread-safe: the series are spread over shards, each with
// its own lock.
class metrics {
  public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    // Adds to a counter.
    void add(std::string_view name, const metric_labels& labels, std::uint64_t increment = 1);
    // Sets a gauge.
    void set(std::string_view name, const metric_labels& labels, double value);
    // Adds a sample to a histogram with logarithmic buckets from 0.1 ms to 100 s.
    void observe_ms(std::string_view name, const metric_labels& labels, double milliseconds);
    // Current value of a counter; 0 if the counter does not exist.
    std::uint64_t counter(std::string_view name, const metric_labels& labels) const;
    // Quantile of the samples, from 0 to 1, as the upper bound of its bucket; 0 without samples.
    double quantile_ms(std::string_view name, const metric_labels& labels, double quantile) const;
    // All series and the counts of invariant violations in the Prometheus text format.
    std::string render() const;

  private:
    struct shard;
    shard& shard_of(const std::string& key) const;

    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace clementine
