#include "support/scheduler_run.h"

#include "base/hash.h"
#include "base/invariant.h"

#include <algorithm>

namespace clementine::scheduler {

namespace {

constexpr int hour_of_day = 12;

fake_platform::job_oracle or_default_jobs(fake_platform::job_oracle oracle) {
    if (oracle)
        return oracle;
    return [](job_id) { return job_behavior{1'000, {1'000, 512, 0}, false}; };
}

} // namespace

std::string_view decision_name(std::string_view text) {
    return text.substr(0, text.find(' '));
}

scheduler_run::scheduler_run(const manifest::manifest& value, std::uint64_t seed,
                             const fake_platform_options& options, fake_platform::job_oracle oracle)
    : state_(make_state(value)),
      platform_(state_, seed, options, or_default_jobs(std::move(oracle))) {}

void scheduler_run::run_until(time_ms end) {
    while (now_ < end)
        step();
}

void scheduler_run::step() {
    now_ += round_interval;
    platform_.advance(now_);
    if (!leader_ && now_ >= elect_at_) {
        leader_ = std::make_unique<leader>(state_, now_);
        ++term_;
    }
    if (leader_) {
        collect_reports();
        if (!decide_and_commit()) {
            elect_at_ = now_ + crash_->outage;
            crash_.reset();
            leader_.reset();
        }
    } else {
        platform_.poll();
    }
    check_invariants();
}

void scheduler_run::collect_reports() {
    for (const auto& report : platform_.poll())
        leader_->observe(state_, report, now_);
    if (!demand)
        return;
    for (const auto& item : demand(now_))
        leader_->observe(item, now_);
}

// Decides, commits and sends commands. Returns false if the leader crashed before the end.
bool scheduler_run::decide_and_commit() {
    const auto batch = leader_->decide(state_, now_, hour_of_day);
    bool matches = crash_.has_value() && crash_->decision.empty();
    for (const auto& entry : batch) {
        if (crash_ && decision_name(format_action(entry.what)) == crash_->decision)
            matches = true;
    }
    std::size_t committed = 0;
    for (const auto& entry : batch) {
        if (matches && committed == crash_->after_decisions)
            return false;
        commit(entry);
        ++committed;
    }
    if (matches && committed == crash_->after_decisions)
        return false;
    for (const auto& item : leader_->commands(state_, now_))
        platform_.send(item.payload, {term_, item.index});
    return true;
}

void scheduler_run::commit(const decision& entry) {
    ++index_;
    if (!apply(state_, entry, index_))
        return;
    const auto text = format_action(entry.what);
    signature_ = hash64(text, signature_);
    ++counts_[std::string(decision_name(text))];
    // From the committed start on, a further start of an at-most-once job is a violation.
    if (const auto* start = std::get_if<start_job>(&entry.what)) {
        if (state_.jobs.at(start->job).request.kind == job_kind::at_most_once)
            platform_.expect_at_most_once(start->job);
    }
}

job_id scheduler_run::submit(const submit_job& job) {
    const auto id = state_.next_job;
    commit({job, "submitted", now_});
    return id;
}

void scheduler_run::cancel(job_id job) {
    commit({request_cancel{job}, "cancelled by operator", now_});
    cancelling_.push_back(job);
}

int scheduler_run::count(std::string_view name) const {
    const auto it = counts_.find(name);
    return it == counts_.end() ? 0 : it->second;
}

void scheduler_run::check_invariants() {
    std::vector<int> owners(state_.vms.size());
    for (const auto& pool : state_.pools) {
        for (const auto id : pool.members)
            ++owners[id];
    }
    CLEMENTINE_INVARIANT(std::ranges::all_of(owners, [](int n) { return n == 1; }),
                         "vm_in_exactly_one_pool");
    std::erase_if(cancelling_, [&](job_id id) {
        const auto* job = state_.find_job(id);
        if (job == nullptr || job->phase != job_phase::ended)
            return false;
        platform_.cancel_answered(id);
        return true;
    });
}

} // namespace clementine::scheduler
