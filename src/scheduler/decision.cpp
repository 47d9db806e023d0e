#include "scheduler/decision.h"

namespace clementine::scheduler {

namespace {

// Builds a line of the form "name key=value key=value".
class line_builder {
  public:
    explicit line_builder(std::string_view name) : text_(name) {}

    line_builder& with(std::string_view key, std::uint64_t value) {
        text_ += ' ';
        text_ += key;
        text_ += '=' + std::to_string(value);
        return *this;
    }

    line_builder& with(std::string_view key, std::string_view value) {
        text_ += ' ';
        text_ += key;
        text_ += '=';
        text_ += value;
        return *this;
    }

    std::string text() { return std::move(text_); }

  private:
    std::string text_;
};

std::string pool_or_all(pool_id pool) {
    return pool == no_pool ? "all" : std::to_string(pool);
}

struct action_formatter {
    std::string operator()(const begin_move& a) const {
        return line_builder("begin-move")
            .with("vm", a.vm)
            .with("from", a.from)
            .with("to", a.to)
            .with("serve", a.serve ? "yes" : "no")
            .text();
    }
    std::string operator()(const confirm_empty& a) const {
        return line_builder("confirm-empty").with("vm", a.vm).text();
    }
    std::string operator()(const reassign_vm& a) const {
        return line_builder("reassign-vm")
            .with("vm", a.vm)
            .with("from", a.from)
            .with("to", a.to)
            .text();
    }
    std::string operator()(const cancel_move& a) const {
        return line_builder("cancel-move").with("vm", a.vm).text();
    }
    std::string operator()(const hold_buffer& a) const {
        return line_builder("hold-buffer").with("vms", a.vms).text();
    }
    std::string operator()(const submit_job& a) const {
        return line_builder("submit-job").with("team", a.team).with("kind", to_name(a.kind)).text();
    }
    std::string operator()(const request_cancel& a) const {
        return line_builder("request-cancel").with("job", a.job).text();
    }
    std::string operator()(const start_job& a) const {
        return line_builder("start-job")
            .with("job", a.job)
            .with("attempt", a.attempt)
            .with("worker", a.worker)
            .with("borrowed", a.borrowed ? "yes" : "no")
            .text();
    }
    std::string operator()(const preempt_job& a) const {
        return line_builder("preempt-job").with("job", a.job).with("attempt", a.attempt).text();
    }
    std::string operator()(const throttle_job& a) const {
        return line_builder("throttle-job")
            .with("job", a.job)
            .with("attempt", a.attempt)
            .with("percent", static_cast<std::uint64_t>(a.percent))
            .text();
    }
    std::string operator()(const requeue_job& a) const {
        return line_builder("requeue-job")
            .with("job", a.job)
            .with("attempt", a.attempt)
            .with("checkpoint", a.checkpoint)
            .text();
    }
    std::string operator()(const end_job& a) const {
        return line_builder("end-job")
            .with("job", a.job)
            .with("outcome", to_name(a.outcome))
            .text();
    }
    std::string operator()(const quarantine_worker& a) const {
        return line_builder("quarantine-worker").with("worker", a.worker).text();
    }
    std::string operator()(const probe_worker& a) const {
        return line_builder("probe-worker").with("worker", a.worker).with("probe", a.probe).text();
    }
    std::string operator()(const readmit_worker& a) const {
        return line_builder("readmit-worker").with("worker", a.worker).text();
    }
    std::string operator()(const begin_maintenance& a) const {
        return line_builder("begin-maintenance").with("vm", a.vm).text();
    }
    std::string operator()(const reboot_vm& a) const {
        return line_builder("reboot-vm").with("vm", a.vm).text();
    }
    std::string operator()(const finish_maintenance& a) const {
        return line_builder("finish-maintenance").with("vm", a.vm).text();
    }
    std::string operator()(const mark_overdue& a) const {
        return line_builder("mark-overdue").with("vm", a.vm).text();
    }
    std::string operator()(const halt_maintenance& a) const {
        return line_builder("halt-maintenance").with("pool", pool_or_all(a.pool)).text();
    }
    std::string operator()(const resume_maintenance& a) const {
        return line_builder("resume-maintenance").with("pool", pool_or_all(a.pool)).text();
    }
};

} // namespace

std::string format_action(const action& what) {
    return std::visit(action_formatter{}, what);
}

} // namespace clementine::scheduler
