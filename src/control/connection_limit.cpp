#include "control/connection_limit.h"

#include <algorithm>

namespace clementine::control {

bool connection_limit::try_acquire() {
    // Closing an idle connection of another pool releases it.
    if (open_ >= max_ && make_room_)
        make_room_();
    if (open_ >= max_)
        return false;
    ++open_;
    peak_ = std::max(peak_, open_);
    return true;
}

void connection_limit::release() {
    --open_;
    call_next();
}

void connection_limit::wait(urgency kind, std::function<void()> ready) {
    waiting_.emplace(std::pair(kind, ++last_number_), std::move(ready));
}

void connection_limit::call_next() {
    if (waiting_.empty() || open_ >= max_)
        return;
    const auto ready = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    ready();
}

} // namespace clementine::control
