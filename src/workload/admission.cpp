#include "workload/admission.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>

namespace clementine::workload {

namespace {

// Part of a job's slack that waiting may use. The rest covers estimates that are off by up to half
// and the latency of orders and reports.
constexpr double usable_slack = 0.8;
constexpr time_ms min_retry_after{1'000};
// A paid job may end within this multiple of its objective.
constexpr double paid_objectives = 3;
// One time for each step of a job. Each round computes them for every waiting job.
constexpr std::size_t usual_steps = 8;
using step_times = boost::container::small_vector<time_ms, usual_steps>;

double slack_of(const admission_input& input) {
    return static_cast<double>(input.target_latency) +
           (input.stretch - 1.0) * static_cast<double>(input.critical_path);
}

// Many tasks with long estimates exceed 64 bits.
std::int64_t bounded_work(double work) {
    return static_cast<std::int64_t>(std::min(work, max_job_work));
}

} // namespace

time_ms allowed_wait(const admission_input& input) {
    return static_cast<time_ms>(usable_slack * slack_of(input));
}

time_ms total_wait(const admission_input& input) {
    return input.wait + input.order_delay * static_cast<time_ms>(input.chained_steps);
}

admission admit(const admission_input& input) {
    if (input.long_running || input.scheduled)
        return {.accepted = true};
    const auto max_wait = allowed_wait(input);
    const auto wait = total_wait(input);
    if (wait <= max_wait)
        return {.accepted = true};
    const auto objective = static_cast<double>(input.target_latency) +
                           input.stretch * static_cast<double>(input.critical_path);
    const auto paid_slack = slack_of(input) + (paid_objectives - 1) * objective;
    if (input.paid && wait <= static_cast<time_ms>(usable_slack * paid_slack))
        return {.accepted = true, .late = true};
    // A new leader has listed all VMs within about 100 ms; a wait computed before that is
    // meaningless.
    if (!input.capacity_known)
        return {.retry_after = min_retry_after};
    return {.retry_after = std::max(min_retry_after, wait - max_wait)};
}

time_ms critical_path_length(const job_spec& spec, double rate) {
    step_times ends;
    time_ms longest = 0;
    for (const auto& step : spec.steps) {
        time_ms begin = 0;
        for (const auto earlier : step.depends_on)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + static_cast<time_ms>(rate * static_cast<double>(step.estimate)));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::size_t longest_step_chain(const job_spec& spec) {
    std::vector<std::size_t> chains;
    std::size_t longest = 0;
    for (const auto& step : spec.steps) {
        std::size_t before = 0;
        for (const auto earlier : step.depends_on)
            before = std::max(before, chains[earlier]);
        chains.push_back(before + 1);
        longest = std::max(longest, chains.back());
    }
    return longest;
}

std::int64_t estimated_work(const job_spec& spec, double rate) {
    double sum = 0;
    for (const auto& step : spec.steps)
        sum += static_cast<double>(step.count) * static_cast<double>(step.need.cpu) *
               static_cast<double>(step.estimate);
    return bounded_work(sum * rate);
}

std::int64_t first_work(const job_spec& spec, double rate) {
    double sum = 0;
    for (const auto& step : spec.steps) {
        if (step.depends_on.empty())
            sum += static_cast<double>(step.count) * static_cast<double>(step.need.cpu) *
                   static_cast<double>(step.estimate);
    }
    return bounded_work(sum * rate);
}

time_ms remaining_critical_path_length(const job& item, double rate) {
    time_ms longest = 0;
    for (const auto& in : item.occurrences) {
        step_times ends;
        for (std::size_t i = 0; i < item.spec.steps.size(); ++i) {
            const auto& step = item.spec.steps[i];
            time_ms begin = 0;
            for (const auto earlier : step.depends_on)
                begin = std::max(begin, ends[earlier]);
            const bool step_done = in.steps[i].done == step.count;
            ends.push_back(step_done ? begin
                                     : begin + static_cast<time_ms>(
                                                   rate * static_cast<double>(step.estimate)));
            longest = std::max(longest, ends.back());
        }
    }
    return longest;
}

std::int64_t remaining_work(const job& item, double rate) {
    double sum = 0;
    for (const auto& in : item.occurrences) {
        for (std::size_t i = 0; i < item.spec.steps.size(); ++i) {
            const auto& step = item.spec.steps[i];
            const auto tasks_left = step.count - in.steps[i].done;
            sum += static_cast<double>(tasks_left) * static_cast<double>(step.need.cpu) *
                   static_cast<double>(step.estimate);
        }
    }
    return bounded_work(sum * rate);
}

} // namespace clementine::workload
