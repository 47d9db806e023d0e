// Conversion between enumerators and their names in settings, messages and logs.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace clementine {

// Names of the enumerators of an enum, in order, starting at value 0. The table of an enum is
// returned by a constexpr overload `names_of(Enum)` in its namespace, found by argument-dependent
// lookup.
template <std::size_t N>
using name_table = std::array<std::string_view, N>;

// Name of a value; "?" if the value is outside the table.
template <class Enum>
constexpr std::string_view to_name(Enum value) {
    const auto& table = names_of(value);
    const auto index = static_cast<std::size_t>(value);
    return index < table.size() ? table[index] : std::string_view{"?"};
}

// Value of a name; nullopt if the table has no such name.
template <class Enum>
constexpr std::optional<Enum> from_name(std::string_view name) {
    const auto& table = names_of(Enum{});
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (table[i] == name)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

// All names of an enum as "a, b, c", for error messages that list the allowed values.
template <class Enum>
std::string allowed_names() {
    std::string out;
    for (std::string_view name : names_of(Enum{})) {
        if (!out.empty())
            out += ", ";
        out += name;
    }
    return out;
}

} // namespace clementine
