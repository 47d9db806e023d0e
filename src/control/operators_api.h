// The operators' HTTP API of controld (design 4.1).
#pragma once

#include "base/clock.h"
#include "control/decision_loop.h"
#include "control/dissemination.h"
#include "control/http_server.h"
#include "control/replica_host.h"

#include <functional>
#include <string>

namespace clementine::control {

class operators_api {
  public:
    // `operators_address` returns the "IP:port" of a node's operators' API, or an empty string if
    // it is unknown. All referenced objects must outlive the last response.
    operators_api(std::string node, replica_host& host, const dissemination& manifest_dissemination,
                  std::function<std::string(const std::string& node)> operators_address);

    // Provides the scheduler's explanations for /v1/explain. Must be called before the first
    // request.
    void set_decision_loop(const decision_loop* loop) { decision_loop_ = loop; }

    // Handles one request; may be called from any thread.
    void handle(const http_request& request, const http_respond& respond);

  private:
    void apply_manifest(const http_request& request, const http_respond& respond);
    void set_maintenance(store::maintenance_mode mode, const http_request& request,
                         const http_respond& respond);
    void propose(store::command change, const std::string& target, const http_respond& respond);
    void read(const std::string& target, const http_respond& respond,
              std::function<http_response(const store::state&)> render);
    void read_fleet(const std::string& path, const std::string& target,
                    const http_respond& respond);
    http_response render_fleet(const store::state& state, const std::string& path,
                               const std::string& id) const;
    http_response explain(const store::state& state, std::string_view kind,
                          std::string_view name) const;
    http_response refusal_response(host_refusal reason, const std::string& target) const;
    http_response render_status(const store::state& state, const std::string& target) const;

    std::string node_;
    replica_host& host_;
    const dissemination& dissemination_;
    std::function<std::string(const std::string& node)> operators_address_;
    const decision_loop* decision_loop_ = nullptr;
};

} // namespace clementine::control
