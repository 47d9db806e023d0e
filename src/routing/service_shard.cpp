#include "routing/service_shard.h"

#include "base/hash.h"
#include "base/invariant.h"
#include "base/log.h"

#include <algorithm>

namespace clementine::routing {

namespace {

// Weight of the newest sample in the moving average of the service time.
constexpr double service_time_smoothing = 0.05;
// Windows of the demand peaks that are reported to peers. Queues must be reported soon. With 250 ms
// for slots in use as well, noise moved slots back and forth under a steady load.
constexpr time_ms queue_peak_window{250};
constexpr time_ms in_use_peak_window{1'000};

// Rounds up to the next of 0 to 4, 6, 8, 12, 16, 24 and so on, so that small changes cause no
// messages.
int round_up_to_step(int value) {
    if (value <= 4)
        return value;
    int step = 4;
    while (true) {
        if (value <= step + step / 2)
            return step + step / 2;
        if (value <= 2 * step)
            return 2 * step;
        step *= 2;
    }
}

// Next reported value: rises at once, and falls only when the rounded peak is at most half of it.
int with_hysteresis(int reported, int peak) {
    const int value = round_up_to_step(peak);
    return value > reported || 2 * value <= reported ? value : reported;
}

} // namespace

void run_callbacks(pending_callbacks callbacks) {
    for (auto& callback : callbacks)
        callback.done(std::move(callback.result));
}

service_shard::service_shard(const dispatcher_settings& settings, std::string name)
    : name_(std::move(name)), random_(settings.seed ^ hash64(name_)), table_(settings, name_),
      queue_(0), retry_budget_(0) {}

void service_shard::configure(const manifest::service& service,
                              const std::vector<manifest::workspace>& workspaces) {
    std::lock_guard lock(mutex_);
    std::map<std::string, int> weights;
    for (const auto& workspace : workspaces)
        weights[workspace.name] = static_cast<int>(workspace.weight);
    queue_.set_weights(std::move(weights));
    queue_.set_capacity(static_cast<std::size_t>(service.queue_length));
    retry_budget_.set_fraction(service.retry_budget);
    table_.set_max_request_time(service.timeout);
}

slot service_shard::allocate_slot(server_entry& entry) {
    ++entry.in_use;
    const std::uint64_t id = ++last_slot_id_;
    slots_[id] = entry.data.id;
    sample_demand();
    return {id, name_, entry.data.id, entry.data.instance, entry.data.address, entry.data.port};
}

void service_shard::admit(admission request, admission_handler done, time_ms now,
                          pending_callbacks& callbacks) {
    std::lock_guard lock(mutex_);
    if (request.avoid.empty())
        retry_budget_.count_first_attempt(now);
    if (request.deadline <= now) {
        callbacks.push_back({std::move(done), refusal::deadline_passed});
        return;
    }
    if (queue_.empty()) {
        if (auto* entry = table_.choose(request.avoid, random_, now)) {
            callbacks.push_back({std::move(done), allocate_slot(*entry)});
            return;
        }
    }
    if (queue_.full()) {
        callbacks.push_back({std::move(done), refusal::queue_full});
        return;
    }
    const int total = table_.total_slots(now);
    const double wait =
        total == 0 ? 0 : static_cast<double>(queue_.size()) * mean_service_ms_ / total;
    if (static_cast<double>(now) + wait > static_cast<double>(request.deadline)) {
        callbacks.push_back({std::move(done), refusal::deadline_unreachable});
        return;
    }
    queue_.push({std::move(request), std::move(done), now});
    sample_demand();
}

bool service_shard::withdraw(std::uint64_t request_id) {
    std::lock_guard lock(mutex_);
    return queue_.remove(request_id).has_value();
}

bool service_shard::may_start(const slot& slot, time_ms now) const {
    std::lock_guard lock(mutex_);
    const auto* entry = table_.find(slot.backend_server);
    return entry && slots_.count(slot.id) != 0 && entry->data.instance == slot.instance &&
           table_.usable_slots(*entry, now) > 0;
}

void service_shard::release(const slot& slot, attempt_result result, time_ms duration, time_ms now,
                            pending_callbacks& callbacks) {
    std::lock_guard lock(mutex_);
    const bool held = slots_.erase(slot.id) == 1;
    CLEMENTINE_INVARIANT(held, "slot_released_once");
    if (!held)
        return;
    if (auto* entry = table_.find(slot.backend_server)) {
        --entry->in_use;
        CLEMENTINE_INVARIANT(entry->in_use >= 0, "slots_in_use_not_negative");
        if (entry->data.instance == slot.instance)
            entry->health.record(result, now);
    }
    if (result == attempt_result::answered || result == attempt_result::failed)
        mean_service_ms_ +=
            service_time_smoothing * (static_cast<double>(duration) - mean_service_ms_);
    serve_queue(now, callbacks);
}

void service_shard::serve_queue(time_ms now, pending_callbacks& callbacks) {
    for (auto& item : queue_.remove_expired(now))
        callbacks.push_back({std::move(item.done), refusal::deadline_passed});
    while (auto item = queue_.pop()) {
        auto* entry = table_.choose(item->request.avoid, random_, now);
        if (!entry) {
            queue_.push_front(std::move(*item));
            return;
        }
        callbacks.push_back({std::move(item->done), allocate_slot(*entry)});
    }
}

bool service_shard::take_retry(time_ms now) {
    std::lock_guard lock(mutex_);
    return retry_budget_.take(now);
}

int service_shard::connection_limit(const std::string& id, time_ms now) const {
    std::lock_guard lock(mutex_);
    return table_.connection_limit(id, now);
}

void service_shard::mark_leaving(const std::string& id) {
    std::lock_guard lock(mutex_);
    table_.mark_leaving(id);
}

announce_reply service_shard::announce(const announcement& message,
                                       const std::optional<live_claim>& other_claim, time_ms now,
                                       pending_callbacks& callbacks) {
    std::lock_guard lock(mutex_);
    auto reply = table_.announce(message, other_claim, now);
    update_demand();
    table_.advance(demand_, now);
    serve_queue(now, callbacks);
    return reply;
}

announce_reply service_shard::leave(const std::string& id,
                                    const std::optional<live_claim>& other_claim, time_ms now) {
    std::lock_guard lock(mutex_);
    return table_.leave(id, other_claim, now);
}

announce_reply service_shard::describe(const std::string& id,
                                       const std::optional<live_claim>& other_claim,
                                       time_ms now) const {
    std::lock_guard lock(mutex_);
    return table_.describe(id, other_claim, now);
}

void service_shard::release_homes() {
    std::lock_guard lock(mutex_);
    table_.release_homes();
}

void service_shard::sample_demand() {
    queued_peak_.sample(static_cast<int>(queue_.size()));
    in_use_peak_.sample(static_cast<int>(slots_.size()));
}

// Updates the reported demand from the peaks. Noise around a steady load causes no messages.
void service_shard::update_demand() {
    demand_.queued = with_hysteresis(demand_.queued, queued_peak_.value());
    demand_.in_use = with_hysteresis(demand_.in_use, in_use_peak_.value());
}

void service_shard::collect(const std::string& peer, const peer_link& link, std::uint64_t sequence,
                            tick_content& content, time_ms now) {
    std::lock_guard lock(mutex_);
    table_.collect(peer, link, sequence, content, now);
    update_demand();
    if (demand_.queued > 0 || demand_.in_use > 0)
        content.demand[name_] = {name_, demand_.queued, demand_.in_use};
}

void service_shard::receive(const std::string& peer, const peer_link& link,
                            const tick_effect& effect, time_ms now, pending_callbacks& callbacks) {
    std::lock_guard lock(mutex_);
    table_.receive(peer, link, effect, now);
    update_demand();
    table_.advance(demand_, now);
    serve_queue(now, callbacks);
}

void service_shard::advance(time_ms now, pending_callbacks& callbacks) {
    std::lock_guard lock(mutex_);
    if (now - queue_window_began_at_ >= queue_peak_window) {
        queue_window_began_at_ = now;
        queued_peak_.start_window(static_cast<int>(queue_.size()));
    }
    if (now - in_use_window_began_at_ >= in_use_peak_window) {
        in_use_window_began_at_ = now;
        in_use_peak_.start_window(static_cast<int>(slots_.size()));
    }
    update_demand();
    table_.advance(demand_, now);
    serve_queue(now, callbacks);
}

void service_shard::close(refusal reason, pending_callbacks& callbacks) {
    std::lock_guard lock(mutex_);
    for (auto& item : queue_.remove_all())
        callbacks.push_back({std::move(item.done), reason});
    table_.mark_all_leaving();
}

service_demand service_shard::current_demand() const {
    std::lock_guard lock(mutex_);
    return {name_, static_cast<int>(queue_.size()), static_cast<int>(slots_.size())};
}

int service_shard::in_flight() const {
    std::lock_guard lock(mutex_);
    return static_cast<int>(slots_.size());
}

} // namespace clementine::routing
