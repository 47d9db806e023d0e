#include "base/metrics.h"

#include "base/invariant.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdio>
#include <functional>

namespace clementine {

namespace {

namespace bh = boost::histogram;

constexpr std::size_t shard_count = 16;
constexpr double min_bucket_ms = 0.1;
constexpr double max_bucket_ms = 100'000;
constexpr unsigned bucket_count = 30;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram =
    decltype(bh::make_histogram(log_axis(bucket_count, min_bucket_ms, max_bucket_ms)));

struct histogram_series {
    latency_histogram buckets =
        bh::make_histogram(log_axis(bucket_count, min_bucket_ms, max_bucket_ms));
    std::uint64_t count = 0;
    double sum = 0;
};

std::string escape_label(std::string_view value) {
    std::string out;
    for (char c : value) {
        if (c == '\\' || c == '"')
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

// Key of a series in the Prometheus notation: name{label="value",...}.
std::string series_key(std::string_view name, const metric_labels& labels) {
    std::string key(name);
    key += '{';
    for (std::size_t i = 0; i < labels.size(); ++i) {
        if (i > 0)
            key += ',';
        key += labels[i].first + "=\"" + escape_label(labels[i].second) + '"';
    }
    return key + '}';
}

std::string format_number(double value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

// Key of a series derived from a histogram: appends a suffix to the name and a label to the labels.
std::string derived_key(const std::string& key, std::string_view suffix, std::string_view label) {
    const auto labels_begin = key.find('{');
    std::string out = key.substr(0, labels_begin);
    out += suffix;
    out += key.substr(labels_begin, key.size() - labels_begin - 1);
    if (!label.empty()) {
        if (out.back() != '{')
            out += ',';
        out += label;
    }
    return out + '}';
}

void render_histogram(std::string& out, const std::string& key, const histogram_series& series) {
    std::uint64_t cumulative_count = 0;
    const auto& axis = series.buckets.axis();
    for (int i = -1; i < axis.size(); ++i) {
        cumulative_count += static_cast<std::uint64_t>(series.buckets.at(i));
        const double upper_bound_ms = i < 0 ? min_bucket_ms : axis.bin(i).upper();
        const std::string label = "le=\"" + format_number(upper_bound_ms) + '"';
        out += derived_key(key, "_bucket", label) + ' ' + std::to_string(cumulative_count) + '\n';
    }
    out += derived_key(key, "_bucket", "le=\"+Inf\"") + ' ' + std::to_string(series.count) + '\n';
    out += derived_key(key, "_sum", "") + ' ' + format_number(series.sum) + '\n';
    out += derived_key(key, "_count", "") + ' ' + std::to_string(series.count) + '\n';
}

} // namespace

struct metrics::shard {
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, histogram_series> histograms;
};

metrics::metrics() {
    for (std::size_t i = 0; i < shard_count; ++i)
        shards_.push_back(std::make_unique<shard>());
}

metrics::~metrics() = default;

metrics::shard& metrics::shard_of(const std::string& key) const {
    return *shards_[std::hash<std::string>{}(key) % shards_.size()];
}

void metrics::add(std::string_view name, const metric_labels& labels, std::uint64_t increment) {
    const auto key = series_key(name, labels);
    auto& shard = shard_of(key);
    std::lock_guard lock(shard.mutex);
    shard.counters[key] += increment;
}

void metrics::set(std::string_view name, const metric_labels& labels, double value) {
    const auto key = series_key(name, labels);
    auto& shard = shard_of(key);
    std::lock_guard lock(shard.mutex);
    shard.gauges[key] = value;
}

void metrics::observe_ms(std::string_view name, const metric_labels& labels, double milliseconds) {
    const auto key = series_key(name, labels);
    auto& shard = shard_of(key);
    std::lock_guard lock(shard.mutex);
    auto& series = shard.histograms[key];
    series.buckets(milliseconds);
    ++series.count;
    series.sum += milliseconds;
}

std::uint64_t metrics::counter(std::string_view name, const metric_labels& labels) const {
    const auto key = series_key(name, labels);
    const auto& shard = shard_of(key);
    std::lock_guard lock(shard.mutex);
    const auto it = shard.counters.find(key);
    return it == shard.counters.end() ? 0 : it->second;
}

double metrics::quantile_ms(std::string_view name, const metric_labels& labels,
                            double quantile) const {
    const auto key = series_key(name, labels);
    const auto& shard = shard_of(key);
    std::lock_guard lock(shard.mutex);
    const auto it = shard.histograms.find(key);
    if (it == shard.histograms.end() || it->second.count == 0)
        return 0;
    const auto& axis = it->second.buckets.axis();
    const double target_count = quantile * static_cast<double>(it->second.count);
    double cumulative_count = 0;
    for (int i = -1; i < axis.size(); ++i) {
        cumulative_count += static_cast<double>(it->second.buckets.at(i));
        if (cumulative_count >= target_count)
            return i < 0 ? min_bucket_ms : axis.bin(i).upper();
    }
    return max_bucket_ms;
}

std::string metrics::render() const {
    std::map<std::string, std::string> rendered_series;
    for (const auto& shard : shards_) {
        std::lock_guard lock(shard->mutex);
        for (const auto& [key, value] : shard->counters)
            rendered_series[key] = key + ' ' + std::to_string(value) + '\n';
        for (const auto& [key, value] : shard->gauges)
            rendered_series[key] = key + ' ' + format_number(value) + '\n';
        for (const auto& [key, series] : shard->histograms)
            render_histogram(rendered_series[key], key, series);
    }
    std::string out;
    for (const auto& [key, text] : rendered_series)
        out += text;
    for (const auto& [name, count] : violation_counts())
        out += "clementine_invariant_violations{name=\"" + name + "\"} " + std::to_string(count) +
               '\n';
    return out;
}

} // namespace clementine
