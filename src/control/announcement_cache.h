// Announcements of workers that the leader knows already, kept at the control node that receives
// them. Performs no input or output.
//
// Load pattern: each of hundreds of workers announces itself every 1.5 s to any control node, and
// nearly all announcements repeat the previous one. The leader needs a repetition only to tell that
// the worker is still there, which it also sees from the worker's answers to holds.
#pragma once

#include "base/clock.h"
#include "workload/types.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace clementine::control {

class announcement_cache {
  public:
    // True if the leader of `term` has acknowledged the same announcement recently.
    bool covers(const workload::worker_report& report, std::uint64_t term, time_ms now) const;
    // Records an acknowledgement by the leader of `term`.
    void acknowledged(const workload::worker_report& report, std::uint64_t term, time_ms now);
    void erase(const std::string& worker) { known_.erase(worker); }
    // Drops entries that no longer cover anything.
    void drop_expired(time_ms now);
    std::size_t size() const { return known_.size(); }

  private:
    struct known_announcement {
        workload::worker_report report;
        std::uint64_t term = 0;
        time_ms acknowledged_at{0};
    };

    std::unordered_map<std::string, known_announcement> known_; // by worker id
};

} // namespace clementine::control
