// Queries that a control node other than the leader answers from its own copy of the state.
// Performs no input or output.
//
// Load pattern: callers ask for the state of each job several times, so in a surge the leader gets
// more queries than submissions. A query may not miss what its caller was told before. Therefore
// the replica asks the leader how far its log reached after the query came, once for all queries
// that wait, and answers when it has applied as much.
#pragma once

#include "base/clock.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace clementine::control {

class replica_reads {
  public:
    using reply_handler = std::function<void(const wire::call_reply&)>;
    struct query {
        wire::call request;
        reply_handler reply;
    };
    struct callbacks {
        std::function<void(const wire::call&, const reply_handler&)> answer;
        // The query goes to the leader instead.
        std::function<void(const wire::call&, const reply_handler&)> decline;
    };

    explicit replica_reads(callbacks handlers) : handlers_(std::move(handlers)) {}

    void add(query value) { waiting_.push_back(std::move(value)); }
    // Sequence number of a request to be sent to the leader now; nullopt if none is needed, or one
    // is under way.
    std::optional<std::uint64_t> next_request(time_ms now);
    // Handles the leader's answer.
    void observe(const wire::read_index& value);
    // Answers what may be answered once the state shows the log up to `applied`.
    void answer(consensus::index_t applied);
    // Declines queries whose request stays unanswered or whose entries do not arrive.
    void check_deadline(time_ms now);
    std::size_t size() const { return waiting_.size() + asked_.size(); }

  private:
    void decline_asked();

    callbacks handlers_;
    std::vector<query> waiting_;
    std::vector<query> asked_; // covered by the request under way
    std::uint64_t sequence_ = 0;
    consensus::index_t index_ = 0; // that `asked_` needs; 0 while unknown
    time_ms asked_at_{0};
};

} // namespace clementine::control
