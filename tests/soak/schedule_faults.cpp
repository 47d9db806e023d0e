#include "soak/schedule.h"

#include <algorithm>

namespace clementine::consensus {

namespace {

constexpr true_time millisecond = 1'000;
constexpr true_time second = 1'000 * millisecond;
// Probability that a disk loss may leave no majority. Nothing can be committed then, but the safety
// invariants must still hold.
constexpr double majority_loss_probability = 0.03;
constexpr double fastest_clock = 1.1;

} // namespace

true_time schedule::random_duration(true_time longest) {
    return static_cast<true_time>(random_.below(static_cast<std::uint64_t>(longest)));
}

void schedule::inject_next_fault() {
    if (faults_ended_)
        return;
    inject(static_cast<fault>(random_.below(fault_names.size())));
    schedule_after(100 * millisecond + random_duration(1'800 * millisecond),
                   [this] { inject_next_fault(); });
}

void schedule::inject(fault kind) {
    const auto host = random_host();
    bool injected = false;
    switch (kind) {
    case fault::machine_crash:
    case fault::process_kill:
    case fault::freeze:
        injected = inject_host_fault(kind, host);
        break;
    case fault::crash_in_write:
    case fault::disk_loss:
    case fault::second_disk_loss:
    case fault::flipped_bit:
    case fault::failed_sync:
    case fault::full_disk:
        injected = inject_disk_fault(kind, host);
        break;
    case fault::one_way_partition:
    case fault::two_way_partition:
    case fault::leader_cut_off:
    case fault::bad_network:
        injected = inject_network_fault(kind, host);
        break;
    case fault::clock_rate:
    case fault::clock_step:
        injected = inject_clock_fault(kind, host);
        break;
    case fault::member_removed:
    case fault::leadership_transfer:
        injected = inject_membership_fault(kind);
        break;
    case fault::power_loss:
        start_power_loss(); // counted when it happens
        break;
    case fault::lease_race:
        injected = start_lease_race();
        break;
    }
    if (injected)
        ++report_.faults[static_cast<std::size_t>(kind)];
}

bool schedule::inject_host_fault(fault kind, std::size_t host) {
    auto& target = *hosts_[host];
    if (!target.running())
        return false;
    if (kind == fault::freeze)
        target.frozen_until = now_ + 100 * millisecond + random_duration(5 * second);
    else
        stop_host(host, kind == fault::machine_crash,
                  50 * millisecond + random_duration(6 * second));
    return true;
}

bool schedule::inject_disk_fault(fault kind, std::size_t host) {
    auto& target = *hosts_[host];
    if (!target.running())
        return false;
    switch (kind) {
    case fault::crash_in_write:
        target.files.crash_after_changes = static_cast<int>(random_.below(12));
        return true;
    case fault::failed_sync:
        target.files.fail_sync_after_calls = static_cast<int>(random_.below(5));
        return true;
    case fault::full_disk:
        target.files.disk_full = true;
        return true;
    default:
        break;
    }
    if (!may_lose_disk(host))
        return false;
    if (kind == fault::flipped_bit) {
        stop_host(host, true, random_duration(3 * second));
        return target.files.flip_bit("data/");
    }
    lose_disk(host);
    if (kind == fault::second_disk_loss)
        lose_disk_after_repair(host);
    return true;
}

bool schedule::majority_alive(const std::set<std::size_t>& without) const {
    bool any = false;
    for (const auto& host : hosts_) {
        const auto& members = host->known_members();
        if (!members.is_voter(host->id()))
            continue;
        std::size_t alive = 0;
        for (const auto& each : members.members) {
            const auto host_index = host_of(each.id);
            const bool intact = host_index && !without.contains(*host_index) &&
                                hosts_[*host_index]->id() == each.id &&
                                !hosts_[*host_index]->files.empty();
            alive += each.voter && intact ? 1 : 0;
        }
        if (alive < members.quorum())
            return false;
        any = true;
    }
    return any;
}

bool schedule::may_lose_disk(std::size_t host) {
    return majority_alive({host}) || chance(majority_loss_probability);
}

void schedule::lose_disk(std::size_t host) {
    stop_host(host, true, 50 * millisecond + random_duration(4 * second));
    hosts_[host]->files.wipe();
}

// Loses another disk as soon as the replacement on `host` has become a voter.
void schedule::lose_disk_after_repair(std::size_t host) {
    if (faults_ended_)
        return;
    const auto leader = leading_host();
    const auto id = hosts_[host]->id();
    const bool repaired = leader && hosts_[host]->running() &&
                          hosts_[*leader]->known_members().is_voter(id) &&
                          !hosts_[host]->wants_to_join();
    if (!repaired) {
        schedule_after(20 * millisecond, [this, host] { lose_disk_after_repair(host); });
        return;
    }
    const auto next = (host + 1 + random_.below(hosts_.size() - 1)) % hosts_.size();
    if (hosts_[next]->running() && may_lose_disk(next))
        lose_disk(next);
}

// For a membership change, a lost disk comes first, whose replacement then joins.
void schedule::start_power_loss() {
    awaited_cause_ = static_cast<power_loss_cause>(random_.below(power_loss_cause_count));
    const auto host = random_host();
    if (awaited_cause_ == power_loss_cause::membership_changed && hosts_[host]->running() &&
        may_lose_disk(host))
        lose_disk(host);
}

void schedule::power_loss_due(power_loss_cause cause) {
    if (faults_ended_ || awaited_cause_ != cause)
        return;
    awaited_cause_.reset();
    const auto delay =
        chance(0.3) ? 0 : random_duration(chance(0.5) ? 5 * millisecond : 100 * millisecond);
    schedule_after(delay, [this] { run_power_loss(); });
}

// Half of the time the oldest voters lose their disks: first ids are lower than random ones.
void schedule::run_power_loss() {
    if (faults_ended_)
        return;
    ++report_.faults[static_cast<std::size_t>(fault::power_loss)];
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        order.insert(order.begin() + static_cast<std::ptrdiff_t>(random_.below(i + 1)), i);
    if (chance(0.5))
        std::ranges::sort(order, {}, [this](std::size_t host) { return hosts_[host]->id(); });
    std::set<std::size_t> lost;
    for (const auto host : order) {
        auto with = lost;
        with.insert(host);
        if (lost.size() < (voter_hosts_ - 1) / 2 && majority_alive(with))
            lost = with;
    }
    const auto longest = chance(0.5) ? second : 6 * second;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        stop_host(i, true, 50 * millisecond + random_duration(longest));
        hosts_[i]->frozen_until = 0;
        if (lost.contains(i))
            hosts_[i]->files.wipe();
    }
}

void schedule::cut_link(std::size_t from, std::size_t to, true_time duration) {
    auto& end = link_cuts_[{from, to}];
    end = std::max(end, now_ + duration);
}

// Cuts the links between a host and all other hosts, but not those to clients.
void schedule::isolate(std::size_t host, true_time duration) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (i == host)
            continue;
        cut_link(i, host, duration);
        cut_link(host, i, duration);
    }
}

void schedule::transfer(std::size_t leader, std::size_t to) {
    if (!hosts_[leader]->running())
        return;
    hosts_[leader]->core()->transfer_leadership(hosts_[to]->id());
    process_ready(leader);
}

// One follower loses contact with the leader and asks for votes while the others renew the lease.
// Later the leader is isolated, so that it does not learn of a new term. Clients only read
// meanwhile: with new entries the follower's log would be too old to get a vote.
bool schedule::start_lease_race() {
    const auto leader = leading_host();
    if (!leader)
        return false;
    const auto isolated_follower = (*leader + 1 + random_.below(hosts_.size() - 1)) % hosts_.size();
    const auto kind = static_cast<lease_race_kind>(random_.below(lease_race_kind_count));
    no_writes_until_ = now_ + 5 * second;
    schedule_after(second, [this, kind, at = *leader, isolated_follower] {
        if (kind != lease_race_kind::late_transfer) {
            cut_link(at, isolated_follower, 6 * second);
            cut_link(isolated_follower, at, 6 * second);
        }
        schedule_after(
            400 * millisecond + random_duration(2'500 * millisecond),
            [this, kind, at, isolated_follower] { run_lease_race(kind, at, isolated_follower); });
    });
    return true;
}

void schedule::run_lease_race(lease_race_kind kind, std::size_t leader,
                              std::size_t isolated_follower) {
    if (faults_ended_ || !hosts_[leader]->holds_lease())
        return;
    constexpr true_time isolation_time = 4 * second;
    // Longer than the timeout after which the leader abandons a transfer.
    constexpr true_time transfer_wait = 1'600 * millisecond;
    // More than the longest message delay in a good network, and less than the round trip of a vote
    // request.
    constexpr true_time request_arrives = 1'250;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        auto& voter = *hosts_[i];
        if (i == leader || i == isolated_follower || !voter.running())
            continue;
        if (kind == lease_race_kind::restart)
            stop_host(i, chance(0.5), millisecond + random_duration(30 * millisecond));
        if (kind == lease_race_kind::step_voters && now_ >= voter.frozen_until)
            voter.clock.step(now_, random_.between(1'000, 3'000));
        if (kind == lease_race_kind::transfer)
            transfer(leader, i);
        if (kind == lease_race_kind::late_transfer) {
            transfer(leader, i);
            voter.frozen_until = std::max(voter.frozen_until, now_ + transfer_wait);
            schedule_after(transfer_wait - 5 * millisecond,
                           [this, leader] { isolate(leader, isolation_time); });
            return;
        }
    }
    const bool frozen = now_ < hosts_[leader]->frozen_until;
    if (kind == lease_race_kind::step_leader && !frozen) {
        hosts_[leader]->clock.step(now_, -random_.between(500, 2'000));
        in_process(leader, [this, leader] { hosts_[leader]->tick(); });
    }
    if (kind == lease_race_kind::transfer)
        schedule_after(request_arrives, [this, leader] { isolate(leader, isolation_time); });
    else
        isolate(leader, isolation_time);
}

bool schedule::inject_network_fault(fault kind, std::size_t host) {
    const auto endpoint_count = hosts_.size() + clients_.size();
    const auto duration = 200 * millisecond + random_duration(8 * second);
    if (kind == fault::bad_network) {
        network_quality_ = {.loss_probability = 0.3 * random_.unit(),
                            .duplicate_probability = 0.3 * random_.unit(),
                            .delay = millisecond + random_duration(200 * millisecond),
                            .late_probability = 0.2 * random_.unit()};
        schedule_after(duration, [this] { network_quality_ = {}; });
        return true;
    }
    if (kind == fault::one_way_partition) {
        const auto other = (host + 1 + random_.below(hosts_.size() - 1)) % hosts_.size();
        cut_link(host, other, duration);
        return true;
    }
    if (kind == fault::leader_cut_off) {
        // Clients still reach the leader, so that it could answer from stale state.
        const auto leader = leading_host();
        const auto isolation_time = 5 * second + random_duration(15 * second);
        if (leader)
            isolate(*leader, isolation_time);
        return leader.has_value();
    }
    const auto side_bits = random_.next();
    for (std::size_t a = 0; a < endpoint_count; ++a) {
        for (std::size_t b = 0; b < endpoint_count; ++b) {
            if (((side_bits >> a) & 1) != ((side_bits >> b) & 1))
                cut_link(a, b, duration);
        }
    }
    return true;
}

// The clock of a frozen process is not stepped: a step back could not be told from a shorter
// freeze, because clocks are monotonic meanwhile.
bool schedule::inject_clock_fault(fault kind, std::size_t host) {
    auto& target = *hosts_[host];
    if (kind == fault::clock_rate) {
        target.clock.set_rate(now_, 1 + (fastest_clock - 1) * random_.unit());
        return true;
    }
    if (now_ < target.frozen_until)
        return false;
    const bool forward = chance(0.5);
    const auto by = forward ? random_.between(100, 5'000) : -random_.between(50, 2'000);
    target.clock.step(now_, by);
    in_process(host, [&target] { target.tick(); });
    return true;
}

bool schedule::inject_membership_fault(fault kind) {
    const auto leader = leading_host();
    if (!leader)
        return false;
    auto& core = *hosts_[*leader]->core();
    const auto host = random_host();
    const auto id = hosts_[host]->id();
    if (kind == fault::leadership_transfer) {
        const bool refused = core.transfer_leadership(id).has_value();
        process_ready(*leader);
        return !refused;
    }
    if (host == *leader || !may_lose_disk(host) || !hosts_[host]->running())
        return false;
    remove_member_of(*leader, host);
    return true;
}

// Removes a member, which keeps running with its old id for a while and then loses its disk.
void schedule::remove_member_of(std::size_t leader, std::size_t host) {
    const auto id = hosts_[host]->id();
    hosts_[leader]->change(remove_member{id});
    process_ready(leader);
    schedule_after(500 * millisecond + random_duration(4 * second), [this, host, id] {
        const auto& target = *hosts_[host];
        if (!faults_ended_ && target.running() && target.id() == id && may_lose_disk(host))
            lose_disk(host);
    });
}

void schedule::end_faults() {
    faults_ended_ = true;
    link_cuts_.clear();
    network_quality_ = {};
    for (auto& host : hosts_) {
        host->files.crash_after_changes = -1;
        host->files.fail_sync_after_calls = -1;
        host->files.disk_full = false;
    }
}

} // namespace clementine::consensus
