// The call /explain-placement of the control nodes: its query, its JSON answer and its text.
#pragma once

#include "workload/explain.h"

#include <boost/json/object.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace clementine::control {

inline constexpr std::string_view placement_path = "/explain-placement";

struct placement_query {
    std::string queue;
    std::string workspace; // empty for none
};

// Target of the call, with the names percent-encoded.
std::string placement_target(const placement_query& query);
// Decodes the query part of such a target. Sets `problem` and returns nothing if it is malformed.
std::optional<placement_query> parse_placement_query(std::string_view target, std::string& problem);

std::string render_placement(const placement_query& query,
                             const workload::placement_explanation& value);
// Prints an answer for people. Members that are missing print as 0 or nothing.
void print_placement(const boost::json::object& answer, std::ostream& out);

} // namespace clementine::control
