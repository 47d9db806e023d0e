#include "control/node_client.h"

#include "base/invariant.h"
#include "base/log.h"
#include "control/dissemination.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace clementine::control {

namespace asio = boost::asio;

namespace {

// Interval for updating the manifest age, reporting demand and retrying a failed disk write.
constexpr time_ms timer_interval{1'000};

void log_invalid_manifest(std::uint64_t version, const manifest::parse_result& parsed) {
    log_event(log_level::error, "manifest_invalid")
        .field("version", version)
        .field("reason", format_fault("manifest", parsed.faults.front()));
}

} // namespace

node_client::node_client(asio::io_context& context, node_client_settings settings,
                         const clock_source& clock, metrics& metrics, manifest_handler handler)
    : settings_(std::move(settings)), clock_(clock), metrics_(metrics),
      handler_(std::move(handler)), timer_(*client_thread_), links_(settings_.controls.size()) {
    for (std::size_t i = 0; i < links_.size(); ++i) {
        // Work posted after `stop` never runs.
        const auto post_to_client_thread = [thread = client_thread_](auto work) {
            asio::post(*thread, std::move(work));
        };
        wire::channel::handlers channel_handlers;
        channel_handlers.opened = [this, i, post_to_client_thread](const wire::hello&) {
            post_to_client_thread([this, i] { handle_opened(i); });
        };
        channel_handlers.received = [this, i, post_to_client_thread](wire::message&& value) {
            if (auto* state = std::get_if<wire::manifest_state>(&value))
                post_to_client_thread(
                    [this, i, state = std::move(*state)] { handle_state(i, state); });
        };
        channel_handlers.closed = [this, i, post_to_client_thread](const wire::close_info&) {
            post_to_client_thread([this, i] { handle_closed(i); });
        };
        links_[i].channel = std::make_shared<wire::channel>(
            context, settings_.controls[i], settings_.self, settings_.link,
            std::move(channel_handlers), settings_.counters);
    }
}

node_client::~node_client() {
    stop();
}

void node_client::start() {
    last_connected_at_ = clock_.now();
    if (!settings_.data_folder.empty()) {
        file_.emplace(settings_.data_folder);
        if (const auto saved = file_->load()) {
            last_connected_at_ -= saved->age;
            auto parsed = manifest::parse_manifest(saved->text);
            if (parsed.ok())
                put_in_force(saved->version, std::move(parsed.value));
            else
                log_invalid_manifest(saved->version, parsed);
        }
    }
    for (const auto& link : links_)
        link.channel->start();
    asio::post(*client_thread_, [this] {
        update_age();
        report_demand();
        schedule_timer();
    });
}

void node_client::stop() {
    if (stopped_.exchange(true))
        return;
    for (const auto& link : links_)
        link.channel->stop();
    client_thread_->stop();
    client_thread_->join();
}

void node_client::handle_opened(std::size_t index) {
    links_[index].open = true;
    links_[index].channel->send(wire::subscribe{version_});
}

void node_client::handle_closed(std::size_t index) {
    links_[index].open = false;
    last_connected_at_ = clock_.now();
}

void node_client::handle_state(std::size_t index, wire::manifest_state value) {
    auto& answered = links_[index].answered;
    answered = std::max(answered.value_or(0), value.version);
    leader_answered_ = leader_answered_ || value.current;
    if (!value.text.empty() && value.version > candidate_version_ && value.version > version_) {
        candidate_version_ = value.version;
        candidate_text_ = std::move(value.text);
    }
    try_candidate();
}

// A node without a manifest waits until it knows the newest version; otherwise a lagging controld
// could bring an old version back into force after a restart.
void node_client::try_candidate() {
    if (candidate_text_.empty() || (version_ == 0 && !knows_newest_version()))
        return;
    auto parsed = manifest::parse_manifest(candidate_text_);
    if (!parsed.ok()) {
        // The node keeps its current manifest until a newer version arrives, and is reported as
        // missing.
        log_invalid_manifest(candidate_version_, parsed);
        candidate_text_.clear();
        return;
    }
    if (!save(candidate_version_, candidate_text_))
        return;
    candidate_text_.clear();
    put_in_force(candidate_version_, std::move(parsed.value));
    report_version();
}

// Must succeed before the version is put in force, so that a reported version never goes back after
// a restart. The timer retries a failed write.
bool node_client::save(std::uint64_t version, const std::string& text) {
    if (!file_)
        return true;
    const auto problem = file_->save(version, text);
    if (problem.empty())
        return true;
    metrics_.add("clementine_manifest_save_failures_total", {});
    log_event(log_level::error, "manifest_not_saved").field("reason", problem);
    return false;
}

bool node_client::knows_newest_version() {
    if (!majority_answered_at_ && majority_answered())
        majority_answered_at_ = clock_.now();
    return leader_answered_ ||
           (majority_answered_at_ && clock_.now() - *majority_answered_at_ >= majority_wait);
}

bool node_client::majority_answered() const {
    const auto count = std::ranges::count_if(
        links_, [](const control_link& link) { return link.answered.has_value(); });
    return static_cast<std::size_t>(count) >= links_.size() / 2 + 1;
}

void node_client::put_in_force(std::uint64_t version, manifest::manifest value) {
    CLEMENTINE_INVARIANT(version > version_, "version_in_force_rises");
    handler_(version, std::make_shared<const manifest::manifest>(std::move(value)));
    version_ = version;
    log_event(log_level::info, "manifest_in_force").field("version", version);
    metrics_.set("clementine_manifest_version", {}, static_cast<double>(version));
}

void node_client::report_version() {
    for (const auto& link : links_) {
        if (link.open)
            link.channel->send(wire::version_report{version_});
    }
}

// Sends the demand when it changes, and often enough that the last report does not expire.
void node_client::report_demand() {
    if (!settings_.demand || clock_.now() - demand_reported_at_ < demand_interval)
        return;
    auto demand = settings_.demand();
    const bool fresh = clock_.now() - demand_reported_at_ < demand_expiry / 2;
    if (fresh && demand == reported_demand_)
        return;
    demand_reported_at_ = clock_.now();
    reported_demand_ = std::move(demand);
    for (const auto& link : links_) {
        if (link.open)
            link.channel->send(wire::demand_report{reported_demand_});
    }
}

void node_client::schedule_timer() {
    timer_.expires_after(std::chrono::milliseconds(timer_interval));
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        try_candidate();
        update_age();
        report_demand();
        schedule_timer();
    });
}

// The manifest age is 0 while a controld is connected, otherwise the time since the last
// connection. With a data folder it carries over restarts.
void node_client::update_age() {
    const bool connected =
        std::ranges::any_of(links_, [](const control_link& link) { return link.open; });
    if (connected)
        last_connected_at_ = clock_.now();
    metrics_.set("clementine_manifest_age_ms", {},
                 static_cast<double>(clock_.now() - last_connected_at_));
}

} // namespace clementine::control
