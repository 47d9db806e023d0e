// Admin interface: /metrics, /health and /ready. Performs no I/O.
#pragma once

#include "proxy/context.h"
#include "proxy/simple_server.h"

namespace clementine::proxy {

// Answers one admin request. /health succeeds while the process runs, /ready while it accepts
// callers.
simple_response handle_admin(const proxy_context& context, const simple_request& request);

} // namespace clementine::proxy
