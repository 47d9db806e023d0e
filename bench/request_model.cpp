#include "request_model.h"

#include <algorithm>
#include <cmath>

namespace clementine::scheduler {

namespace {

constexpr double surge_factor = 5;
constexpr double idle_factor = 0.05;

} // namespace

surge_plan::surge_plan(std::vector<double> mean_slots, std::uint64_t seed, time_ms length,
                       bool shuffled)
    : mean_slots_(std::move(mean_slots)) {
    random_source random(seed);
    std::size_t pool = 0;
    for (time_ms end = 0; end < length;) {
        end += random.between(min_surge_length, max_surge_length);
        surges_.push_back({end, pool});
        pool = shuffled ? random.below(mean_slots_.size()) : (pool + 1) % mean_slots_.size();
    }
}

double surge_plan::slots(std::size_t pool, time_ms now) const {
    const auto it = std::ranges::upper_bound(surges_, now, {}, &surge::end);
    const bool in_surge = it != surges_.end() && it->pool == pool;
    return mean_slots_[pool] * (in_surge ? surge_factor : idle_factor);
}

double request_results::late_share() const {
    return requests == 0 ? 0 : static_cast<double>(late) / static_cast<double>(requests);
}

request_model::request_model(const surge_plan& plan, std::uint64_t seed, time_ms warm_up)
    : plan_(plan), warm_up_(warm_up), waits_(deadline + 1) {
    for (std::size_t i = 0; i < plan.pools(); ++i) {
        queues_.push_back({random_source(seed * 101 + i), 0, {}, {}});
        schedule_arrival(queues_.back(), i, 0);
    }
}

// Draws the next arrival by thinning: candidates arrive at the surge rate, and each is kept with
// the probability current rate / surge rate.
void request_model::schedule_arrival(queue& pool_queue, std::size_t pool, double after) {
    const double peak_rate =
        surge_factor * plan_.mean_slots(pool) / static_cast<double>(mean_service_time);
    double arrival = after;
    while (true) {
        arrival += -std::log(1 - pool_queue.random.unit()) / peak_rate;
        const double rate = plan_.slots(pool, static_cast<time_ms>(arrival)) /
                            static_cast<double>(mean_service_time);
        if (pool_queue.random.unit() * peak_rate < rate)
            break;
    }
    pool_queue.next_arrival = arrival;
}

void request_model::start(queue& pool_queue, const waiting_request& request, double now) {
    pool_queue.completion_times.push_back(now + request.service_time);
    std::ranges::push_heap(pool_queue.completion_times, std::greater{});
    if (request.arrived_at < static_cast<double>(warm_up_))
        return;
    const auto wait = std::min(static_cast<time_ms>(now - request.arrived_at), deadline);
    ++totals_.requests;
    totals_.late += wait > late_threshold ? 1 : 0;
    ++waits_[static_cast<std::size_t>(wait)];
}

void request_model::run_pool(std::size_t pool, double until, double slots) {
    auto& pool_queue = queues_[pool];
    while (true) {
        const double next_completion =
            pool_queue.completion_times.empty() ? until : pool_queue.completion_times.front();
        const double next_event = std::min(next_completion, pool_queue.next_arrival);
        if (next_event >= until)
            break;
        if (pool_queue.next_arrival <= next_completion) {
            const double service_time =
                -std::log(1 - pool_queue.random.unit()) * static_cast<double>(mean_service_time);
            pool_queue.waiting.push_back({pool_queue.next_arrival, service_time});
            schedule_arrival(pool_queue, pool, pool_queue.next_arrival);
        } else {
            std::ranges::pop_heap(pool_queue.completion_times, std::greater{});
            pool_queue.completion_times.pop_back();
        }
        while (!pool_queue.waiting.empty() &&
               static_cast<double>(pool_queue.completion_times.size()) < slots) {
            const auto request = pool_queue.waiting.front();
            pool_queue.waiting.pop_front();
            start(pool_queue, request, next_event);
        }
        // Requests past their deadline leave the queue and count as a wait of the full deadline.
        while (!pool_queue.waiting.empty() &&
               next_event - pool_queue.waiting.front().arrived_at > static_cast<double>(deadline)) {
            if (pool_queue.waiting.front().arrived_at >= static_cast<double>(warm_up_)) {
                ++totals_.requests;
                ++totals_.late;
                ++waits_[static_cast<std::size_t>(deadline)];
            }
            pool_queue.waiting.pop_front();
        }
    }
    // Slots that this step added take waiting requests at its end.
    while (!pool_queue.waiting.empty() &&
           static_cast<double>(pool_queue.completion_times.size()) < slots) {
        const auto request = pool_queue.waiting.front();
        pool_queue.waiting.pop_front();
        start(pool_queue, request, until);
    }
}

void request_model::advance(time_ms now, const std::function<double(std::size_t)>& capacity) {
    const auto step = now - now_;
    for (std::size_t pool = 0; pool < queues_.size(); ++pool) {
        run_pool(pool, static_cast<double>(now), capacity(pool));
        if (now > warm_up_)
            busy_vm_ms_ += static_cast<double>(queues_[pool].completion_times.size()) /
                           slots_per_vm * static_cast<double>(step);
    }
    now_ = now;
}

pool_demand request_model::demand(std::size_t pool) const {
    const auto& pool_queue = queues_[pool];
    return {static_cast<pool_id>(pool), static_cast<double>(pool_queue.completion_times.size()),
            static_cast<double>(pool_queue.waiting.size())};
}

request_results request_model::results() const {
    auto out = totals_;
    std::uint64_t seen = 0;
    for (std::size_t wait = 0; wait < waits_.size(); ++wait) {
        seen += waits_[wait];
        if (seen * 100 >= out.requests * 99) {
            out.p99_wait = static_cast<time_ms>(wait);
            break;
        }
    }
    out.mean_busy_vms = busy_vm_ms_ / static_cast<double>(now_ - warm_up_);
    return out;
}

} // namespace clementine::scheduler
