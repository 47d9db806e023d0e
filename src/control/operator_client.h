// HTTP client of the operators' API. Tries the controlds in turn and follows redirects.
#pragma once

#include "base/clock.h"
#include "base/ini.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace clementine::control {

struct operator_request {
    std::string method = "GET";
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct operator_response {
    unsigned status = 0;
    std::string location; // target of a redirect
    std::string body;
};

// Sends one request to one controld. Empty if that fails or takes longer than `limit`.
std::optional<operator_response> exchange(const endpoint_text& target,
                                          const operator_request& request, time_ms limit);

class operator_client {
  public:
    operator_client(std::vector<endpoint_text> controlds, const clock_source& clock);

    // Repeats the request, with the same request id, until a controld answers with a status other
    // than 503. Empty if none does within the timeout.
    std::optional<operator_response> send(const operator_request& request, time_ms timeout);

  private:
    std::optional<operator_response> send_following_redirects(endpoint_text target,
                                                              const operator_request& request,
                                                              time_ms deadline);

    std::vector<endpoint_text> controlds_;
    const clock_source& clock_;
    std::size_t current_ = 0; // index of the controld that answered last
};

// Creates a random request id.
std::string new_request_id();

} // namespace clementine::control
