#include "soak/schedule.h"

#include "base/hash.h"
#include "base/invariant.h"

#include <algorithm>

namespace clementine::consensus {

namespace {

constexpr true_time millisecond = 1'000;
constexpr true_time second = 1'000 * millisecond;
// Time without faults at the end, within which the cluster must make progress again. An election
// may need several rounds of up to 2 s, and a replacement reports to join every 500 ms.
constexpr true_time recovery_time = 25 * second;
constexpr true_time join_interval = 500 * millisecond;
// Ratio of the fastest clock to the slowest; the specified limit is 10%.
constexpr double fastest_clock = 1.1;
constexpr int max_send_attempts = 60;
constexpr std::size_t max_spares = 4;

} // namespace

schedule::schedule(std::uint64_t seed) : random_(seed) {
    environment_.now = [this] { return now_; };
    environment_.answer = [this](std::size_t host, std::size_t client,
                                 const client_answer& answer) {
        transmit(host, hosts_.size() + client,
                 [this, client, answer] { handle_answer(client, answer); });
    };
    environment_.checker = &checker_;
    environment_.random = &random_;
    environment_.durable_index = [this](replica_id id) -> std::optional<index_t> {
        const auto host = host_of(id);
        if (!host || !hosts_[*host]->running() || hosts_[*host]->id() != id)
            return std::nullopt;
        return hosts_[*host]->durable_index();
    };
    host_tuning tuning;
    tuning.snapshot_interval = 5 + random_.below(60);
    tuning.trailing_entries = random_.below(20);
    tuning.segment_bytes = 256 + random_.below(4'096);
    tuning.snapshot_padding = chance(0.1) ? snapshot_chunk_bytes * 2 : 0;
    voter_hosts_ = chance(0.7) ? 3 : 5;
    environment_.max_voters = voter_hosts_;
    environment_.promote_before_removal = chance(0.5);
    immediate_probability_ = chance(0.2) ? 0 : random_.unit();
    const auto count = voter_hosts_ + (chance(0.3) ? 1 + random_.below(max_spares) : 0);
    for (std::size_t i = 0; i < count; ++i) {
        hosts_.push_back(std::make_unique<soak_host>(i, environment_, tuning, random_.next()));
        hosts_[i]->files.short_transfers = chance(0.2);
        hosts_[i]->clock.set_rate(0, 1 + (fastest_clock - 1) * random_.unit());
    }
    clients_.resize(3 + random_.below(3));
    fault_end_ = static_cast<true_time>(20 + random_.below(25)) * second;
    initial_violations_ = 0;
    for (const auto& [name, violations] : violation_counts())
        initial_violations_ += violations;
}

void schedule::schedule_after(true_time delay, std::function<void()> action) {
    events_.push({now_ + delay, event_number_++, std::move(action)});
}

schedule_report schedule::run() {
    start_cluster();
    for (std::size_t i = 0; i < clients_.size(); ++i)
        schedule_after(static_cast<true_time>(random_.below(2 * second)),
                       [this, i] { begin_operation(i); });
    schedule_after(3 * second, [this] { inject_next_fault(); });
    schedule_after(fault_end_, [this] { end_faults(); });
    while (!events_.empty() && now_ < fault_end_ + recovery_time && !checker_.failed()) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
        ++report_.steps;
        check_step();
    }
    if (!checker_.failed())
        check_progress();
    report_.checks = checker_.check_count();
    report_.elections = checker_.elections();
    report_.writes = checker_.accepted_writes();
    report_.operations = checker_.finished_operations();
    for (const auto& host : hosts_) {
        report_.snapshot_installs += host->snapshot_installs;
        report_.corrupt_starts += host->corrupt_starts;
    }
    report_.violation = checker_.failed_invariant();
    report_.details = checker_.details();
    return report_;
}

void schedule::start_cluster() {
    membership initial;
    for (std::size_t i = 0; i < voter_hosts_; ++i)
        initial.members.push_back({.id = i + 1, .node = hosts_[i]->node(), .voter = true});
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (i < voter_hosts_)
            hosts_[i]->start(std::pair(replica_id{i + 1}, bootstrap_snapshot(initial)));
        else
            hosts_[i]->start(std::nullopt);
        host_by_replica_[hosts_[i]->id()] = i;
        tick_host(i);
        report_joining(i);
    }
}

std::optional<std::size_t> schedule::host_of(replica_id id) const {
    const auto found = host_by_replica_.find(id);
    return found == host_by_replica_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::size_t> schedule::lease_holder() const {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i]->holds_lease())
            return i;
    }
    return std::nullopt;
}

std::optional<std::size_t> schedule::leading_host() const {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i]->running() && hosts_[i]->core()->role() == replica_role::leader)
            return i;
    }
    return std::nullopt;
}

void schedule::check_step() {
    int holders = 0;
    std::string details;
    for (const auto& host : hosts_) {
        if (host->holds_lease()) {
            ++holders;
            details += host->node() + " term " + std::to_string(host->core()->term()) + " ";
        }
    }
    checker_.expect(holders <= 1, "one_lease_holder", details);
    check_program_invariants();
}

void schedule::check_program_invariants() {
    std::uint64_t all = 0;
    std::string names;
    for (const auto& [name, violations] : violation_counts()) {
        all += violations;
        names += name + " ";
    }
    checker_.expect(all == initial_violations_, "program_invariant", names);
}

void schedule::check_progress() {
    if (!majority_alive({}))
        return;
    checker_.expect(lease_holder().has_value(), "leader_after_heal", describe());
    checker_.expect(operations_after_faults_ > 0, "progress_after_heal", describe());
}

// State of all replicas, for violation reports.
std::string schedule::describe() const {
    std::string out;
    for (const auto& host : hosts_) {
        out += "\n  " + host->node() + " id=" + std::to_string(host->id());
        if (!host->running()) {
            out += " down";
            continue;
        }
        const auto status = host->core()->status();
        out += " role=" + std::string(to_name(status.role)) +
               " term=" + std::to_string(status.term) + " last=" + std::to_string(status.last) +
               " commit=" + std::to_string(status.commit) + " members=";
        for (const auto& each : status.membership.members)
            out += std::to_string(each.id) + (each.voter ? "v," : "l,");
    }
    return out;
}

void schedule::transmit(std::size_t from, std::size_t to, std::function<void()> action) {
    const auto cut_link = link_cuts_.find({from, to});
    if (cut_link != link_cuts_.end() && now_ < cut_link->second)
        return;
    const int copies = chance(network_quality_.duplicate_probability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (chance(network_quality_.loss_probability))
            continue;
        auto delay = 200 + static_cast<true_time>(
                               random_.below(static_cast<std::uint64_t>(network_quality_.delay)));
        if (chance(network_quality_.late_probability))
            delay += static_cast<true_time>(random_.below(2 * second));
        schedule_after(delay, action);
    }
}

void schedule::in_process(std::size_t host, std::function<void()> action) {
    if (!hosts_[host]->running())
        return;
    if (now_ < hosts_[host]->frozen_until) {
        const auto wait = hosts_[host]->frozen_until - now_;
        schedule_after(wait,
                       [this, host, action = std::move(action)] { in_process(host, action); });
        return;
    }
    action();
    process_ready(host);
}

void schedule::send_all(std::size_t from, const std::vector<message>& messages) {
    for (const auto& each : messages) {
        const auto to = host_of(each.to);
        if (!to)
            continue;
        const auto target = *to;
        transmit(from, target, [this, target, each] {
            in_process(target, [this, target, each] {
                report_.signature = hash64(std::to_string(now_) + "/" + std::to_string(each.to) +
                                               "/" + std::to_string(estimated_bytes(each)),
                                           report_.signature);
                hosts_[target]->receive(each);
            });
        });
    }
}

void schedule::send_immediate(std::size_t host) {
    if (chance(immediate_probability_))
        send_all(host, hosts_[host]->do_immediate_work());
}

// Saves the pending work of a replica. A sync takes 0.5 to 10.5 ms, or up to 1 s more on a stalled
// disk.
void schedule::process_ready(std::size_t host) {
    auto& target = *hosts_[host];
    send_immediate(host);
    while (target.take_work()) {
        const auto incarnation = target.incarnation();
        if (target.work_has_writes()) {
            // A disk that stalls at the end could depose the leader, which would be no error.
            auto latency = 500 + static_cast<true_time>(random_.below(10 * millisecond));
            // So disks do not stall after the faults have ended.
            if (!faults_ended_ && chance(0.01))
                latency += static_cast<true_time>(random_.below(second));
            schedule_after(latency, [this, host, incarnation] { finish_save(host, incarnation); });
            send_immediate(host);
            return;
        }
        finish_save(host, incarnation);
    }
}

void schedule::finish_save(std::size_t host, std::uint64_t incarnation) {
    auto& target = *hosts_[host];
    if (target.incarnation() != incarnation || !target.running())
        return;
    if (now_ < target.frozen_until) {
        schedule_after(target.frozen_until - now_,
                       [this, host, incarnation] { finish_save(host, incarnation); });
        return;
    }
    std::vector<message> outgoing;
    const auto result = target.finish_work(outgoing);
    if (result != save_result::saved) {
        const bool lose_unsynced = result == save_result::machine_crashed;
        stop_host(host, lose_unsynced, static_cast<true_time>(random_.below(3 * second)));
        return;
    }
    send_all(host, outgoing);
    process_ready(host);
}

// Stops a host and restarts it after `downtime`.
void schedule::stop_host(std::size_t host, bool lose_unsynced, true_time downtime) {
    hosts_[host]->stop(lose_unsynced);
    const auto incarnation = hosts_[host]->incarnation();
    schedule_after(downtime, [this, host, incarnation] {
        auto& target = *hosts_[host];
        if (target.incarnation() != incarnation)
            return;
        target.start(std::nullopt);
        if (target.running())
            host_by_replica_[target.id()] = host;
        else
            stop_host(host, false, second);
    });
}

void schedule::tick_host(std::size_t host) {
    schedule_after(5 * millisecond + static_cast<true_time>(random_.below(10 * millisecond)),
                   [this, host] { tick_host(host); });
    auto& target = *hosts_[host];
    if (!target.running() || now_ < target.frozen_until)
        return;
    target.tick();
    process_ready(host);
    if (target.running() && target.core()->status().change_pending)
        power_loss_due(power_loss_cause::membership_changed);
}

void schedule::report_joining(std::size_t host) {
    schedule_after(join_interval, [this, host] { report_joining(host); });
    const auto& target = *hosts_[host];
    if (!target.running() || now_ < target.frozen_until || !target.wants_to_join())
        return;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto id = target.id();
        transmit(host, i, [this, i, id, node = target.node()] {
            in_process(i, [this, i, id, node] { hosts_[i]->join(id, node); });
        });
    }
}

void schedule::begin_operation(std::size_t number) {
    auto& client_state = clients_[number];
    const auto request_id = next_request_++;
    const bool write = now_ >= no_writes_until_ && chance(0.6);
    client_state.current =
        operation{.request_id = request_id, .write = write, .base = client_state.known_version};
    checker_.operation_started(request_id, now_);
    send_attempt(number, request_id, 0);
}

// Sends the current operation, unless it was sent again after attempt number `attempts`.
void schedule::send_attempt(std::size_t number, std::uint64_t request_id, int attempts) {
    auto& client_state = clients_[number];
    if (!client_state.current || client_state.current->request_id != request_id ||
        client_state.current->attempts != attempts)
        return;
    if (++client_state.current->attempts > max_send_attempts) {
        begin_operation(number); // the outcome of the old one stays unknown
        return;
    }
    if (client_state.current->attempts > 1 && chance(0.7))
        client_state.target = random_host();
    const client_request request{.client = number,
                                 .request_id = request_id,
                                 .write = client_state.current->write,
                                 .base = client_state.current->base};
    const auto target = client_state.target;
    transmit(hosts_.size() + number, target, [this, target, request] {
        in_process(target, [this, target, request] { hosts_[target]->serve(request); });
    });
    if (request.write)
        power_loss_due(power_loss_cause::write_sent);
    schedule_after(static_cast<true_time>(200 + random_.below(800)) * millisecond,
                   [this, number, request_id, made = attempts + 1] {
                       send_attempt(number, request_id, made);
                   });
}

void schedule::handle_answer(std::size_t number, const client_answer& answer) {
    auto& client_state = clients_[number];
    const bool current =
        client_state.current && client_state.current->request_id == answer.request_id;
    if (answer.redirect) {
        const auto leader = host_of(*answer.redirect);
        if (current && leader && *leader != client_state.target) {
            client_state.target = *leader;
            schedule_after(20 * millisecond, [this, number, id = answer.request_id,
                                              made = client_state.current->attempts] {
                send_attempt(number, id, made);
            });
        }
        return;
    }
    if (answer.write)
        checker_.write_finished(answer.request_id, answer.result, now_);
    if (answer.write && answer.result.accepted)
        power_loss_due(power_loss_cause::write_accepted);
    if (!current)
        return;
    if (!answer.write)
        checker_.read_finished(answer.request_id, answer.result.version, answer.result.writer,
                               now_);
    client_state.known_version = std::max(client_state.known_version, answer.result.version);
    if (faults_ended_)
        ++operations_after_faults_;
    const auto done = *client_state.current;
    client_state.current.reset();
    // Models answers that are lost on the way to the client, which repeats the request later.
    if (done.write && chance(0.2)) {
        const client_request request{
            .client = number, .request_id = done.request_id, .write = true, .base = done.base};
        schedule_after(static_cast<true_time>(random_.below(10 * second)), [this, request] {
            const auto target = random_host();
            transmit(hosts_.size() + request.client, target, [this, target, request] {
                in_process(target, [this, target, request] { hosts_[target]->serve(request); });
            });
        });
    }
    schedule_after(static_cast<true_time>(random_.below(150 * millisecond)),
                   [this, number] { begin_operation(number); });
}

} // namespace clementine::consensus
