// Admin interface: /metrics, /health and /ready. Performs no I/O.
#pragma once

#include "proxy/api_server.h"
#include "proxy/context.h"

namespace clementine::proxy {

// Answers one admin request. /health succeeds while the process runs, /ready while it accepts
// callers.
api_response handle_admin(const proxy_context& context, const api_request& request);

} // namespace clementine::proxy
