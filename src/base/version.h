// Version number shared by all programs.
#pragma once

namespace clementine {

inline constexpr const char* version_text = "0.1.0";

} // namespace clementine
