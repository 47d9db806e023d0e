#include "scheduler/demand.h"

#include <algorithm>
#include <cmath>

namespace clementine::scheduler {

namespace {

// Hysteresis thresholds, as shares of the usual surge level. From a demand of two VMs on they are
// more than two standard deviations apart, so a single sample decides. Waiting for a second one
// would cost a round, a tenth of a short surge.
constexpr double surge_start_share = 0.5;
constexpr double surge_end_share = 0.35;
// Weights of the newest value in the exponential moving averages.
constexpr double surge_average_weight = 0.3;
constexpr double base_average_weight = 0.05;
// If more than this share of a surge's samples had a queue, the pool was saturated and the observed
// demand underestimates the surge.
constexpr double queueing_sample_share = 0.3;
constexpr double saturated_growth = 1.25;
// Queues shorter than this share of the busy slots are treated as noise.
constexpr double queue_noise_share = 0.05;
// No forecast if no surge has started for this multiple of the longest gap between starts.
constexpr double stale_gap_factor = 2;
constexpr std::size_t max_forecast_depth = 8;

double moving_average(double old_value, double new_value, double weight) {
    return old_value == 0 ? new_value : old_value + weight * (new_value - old_value);
}

} // namespace

std::uint32_t vms_for_demand(double mean_slots) {
    constexpr double normal_quantile_99 = 2.33;
    const double slots = mean_slots + normal_quantile_99 * std::sqrt(std::max(mean_slots, 0.0));
    return static_cast<std::uint32_t>(std::ceil(slots / slots_per_vm));
}

void recent_values::add(double value) {
    values_[next_] = value;
    next_ = (next_ + 1) % capacity;
    count_ = std::min(count_ + 1, capacity);
}

double recent_values::max() const {
    return quantile(1);
}

double recent_values::quantile(double q) const {
    if (count_ == 0)
        return 0;
    auto sorted = values_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
    std::sort(sorted.begin(), end);
    const auto index = static_cast<std::size_t>(q * static_cast<double>(count_ - 1));
    return sorted[index];
}

demand_model::demand_model(double home_slots) : surge_level_(home_slots) {}

surge_event demand_model::observe(const pool_demand& demand, time_ms now) {
    current_slots_ = demand.busy + demand.queued;
    // A queue is a backlog, not a rate, so it justifies only a limited increase over the busy
    // slots.
    required_slots_ = demand.busy + std::min(demand.queued, (saturated_growth - 1) * demand.busy);
    const bool queueing = demand.queued > std::max(1.0, queue_noise_share * demand.busy);
    if (!queueing)
        queueing_since_ = 0;
    else if (queueing_since_ == 0)
        queueing_since_ = now;
    if (!in_surge_) {
        if (current_slots_ <= std::max<double>(slots_per_vm, surge_start_share * surge_level_)) {
            base_level_ = moving_average(base_level_, current_slots_, base_average_weight);
            return surge_event::none;
        }
        in_surge_ = true;
        if (surge_ended_at_ != 0)
            mean_gap_ = moving_average(mean_gap_, static_cast<double>(now - surge_ended_at_),
                                       surge_average_weight);
        surge_since_ = now;
        surge_demand_sum_ = peak_busy_ = 0;
        surge_samples_ = queueing_samples_ = 0;
        return surge_event::started;
    }
    if (current_slots_ >= surge_end_share * surge_level_) {
        surge_demand_sum_ += required_slots_;
        peak_busy_ = std::max(peak_busy_, demand.busy);
        ++surge_samples_;
        queueing_samples_ += queueing ? 1 : 0;
        return surge_event::none;
    }
    learn_surge(now);
    return surge_event::ended;
}

void demand_model::learn_surge(time_ms now) {
    in_surge_ = false;
    surge_ended_at_ = now;
    mean_surge_length_ = moving_average(mean_surge_length_, static_cast<double>(now - surge_since_),
                                        surge_average_weight);
    if (surge_samples_ == 0)
        return;
    // In a saturated pool the busy slots only reflect its size, so the estimate grows stepwise
    // until a surge passes without a lasting queue.
    if (queueing_samples_ > queueing_sample_share * surge_samples_)
        surge_level_ = std::max(surge_level_, saturated_growth * peak_busy_);
    else
        surge_level_ =
            moving_average(surge_level_, surge_demand_sum_ / surge_samples_, surge_average_weight);
}

surge_sequence::surge_sequence(std::size_t pools)
    : successors_(pools), predecessors_(pools, no_pool) {}

void surge_sequence::record_start(pool_id pool, time_ms now) {
    if (latest_pool_ != no_pool && latest_pool_ != pool) {
        auto& entry = successors_[latest_pool_];
        entry.latest[entry.count % required_repeats] = pool;
        ++entry.count;
        predecessors_[pool] = latest_pool_;
        start_gaps_.add(static_cast<double>(now - latest_start_));
    }
    latest_pool_ = pool;
    latest_start_ = now;
}

std::optional<pool_id> surge_sequence::successor(pool_id pool) const {
    const auto& entry = successors_[pool];
    if (entry.count < required_repeats)
        return std::nullopt;
    const auto matches_first = [&](pool_id other) { return other == entry.latest[0]; };
    if (!std::ranges::all_of(entry.latest, matches_first))
        return std::nullopt;
    return entry.latest[0];
}

bool surge_sequence::predictable(pool_id pool) const {
    return predecessors_[pool] != no_pool && successor(predecessors_[pool]) == pool;
}

std::vector<surge_forecast> surge_sequence::forecast(time_ms now, time_ms horizon,
                                                     double late_share) const {
    std::vector<surge_forecast> out;
    if (latest_pool_ == no_pool || start_gaps_.empty())
        return out;
    if (static_cast<double>(now - latest_start_) > stale_gap_factor * start_gaps_.max())
        return out;
    const auto gap = static_cast<time_ms>(start_gaps_.quantile(late_share));
    pool_id pool = latest_pool_;
    time_ms earliest_start = latest_start_;
    for (std::size_t depth = 0; depth < max_forecast_depth; ++depth) {
        const auto next = successor(pool);
        if (!next)
            break;
        // An overdue surge may start at any time.
        earliest_start = std::max(earliest_start + gap, now);
        if (earliest_start > horizon)
            break;
        out.push_back({*next, earliest_start});
        pool = *next;
    }
    return out;
}

} // namespace clementine::scheduler
