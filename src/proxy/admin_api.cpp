#include "proxy/admin_api.h"

namespace clementine::proxy {

namespace {

api_response readiness(const proxy_context& context) {
    if (context.draining)
        return {.status = 503, .body = "draining\n"};
    if (!context.manifest.get())
        return {.status = 503, .body = "no manifest in force\n"};
    return {.body = "ready\n"};
}

} // namespace

api_response handle_admin(const proxy_context& context, const api_request& request) {
    if (request.method != "GET" && request.method != "HEAD") {
        api_response response{.status = 405, .body = "method not allowed\n"};
        response.fields.emplace_back("Allow", "GET, HEAD");
        return response;
    }
    if (request.target == "/health")
        return {.body = "healthy\n"};
    if (request.target == "/ready")
        return readiness(context);
    if (request.target == "/metrics")
        return {.content_type = "text/plain; version=0.0.4", .body = context.counters.render()};
    return {.status = 404, .body = "unknown path\n"};
}

} // namespace clementine::proxy
