#include "base/ini.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace clementine {

namespace {

std::string_view trim(std::string_view text) {
    constexpr std::string_view whitespace = " \t\r";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    const auto last = text.find_last_not_of(whitespace);
    return text.substr(first, last - first + 1);
}

// Splits the text "kind name" of a section header.
ini_section parse_header(std::string_view content, std::size_t line) {
    ini_section section;
    section.line = line;
    const auto separator = content.find_first_of(" \t");
    section.kind = content.substr(0, separator);
    if (separator != std::string_view::npos)
        section.name = trim(content.substr(separator));
    return section;
}

class ini_parser {
  public:
    ini_document parse(std::string_view text) {
        std::size_t line = 0;
        while (!text.empty()) {
            const auto end = text.find('\n');
            ++line;
            parse_line(trim(text.substr(0, end)), line);
            text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        }
        return std::move(document_);
    }

  private:
    void parse_line(std::string_view text, std::size_t line) {
        if (text.empty() || text.front() == '#' || text.front() == ';')
            return;
        if (text.front() == '[')
            parse_section(text, line);
        else
            parse_value(text, line);
    }

    void parse_section(std::string_view text, std::size_t line) {
        if (text.back() != ']' || trim(text.substr(1, text.size() - 2)).empty()) {
            fail(line, std::string(text),
                 "malformed section header; expected [kind] or [kind name]");
            return;
        }
        auto section = parse_header(trim(text.substr(1, text.size() - 2)), line);
        if (!section_names_.insert(section.kind + ' ' + section.name).second)
            fail(line, std::string(text), "repeated section");
        document_.sections.push_back(std::move(section));
    }

    void parse_value(std::string_view text, std::size_t line) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            fail(line, std::string(text), "expected key = value");
            return;
        }
        ini_value value{std::string(trim(text.substr(0, equals))),
                        std::string(trim(text.substr(equals + 1))), line};
        if (value.key.empty()) {
            fail(line, std::string(text), "empty key");
            return;
        }
        if (document_.sections.empty()) {
            fail(line, value.key, "key before the first section");
            return;
        }
        auto& section = document_.sections.back();
        if (section.find(value.key) != nullptr) {
            fail(line, value.key, "repeated key");
            return;
        }
        section.values.push_back(std::move(value));
    }

    void fail(std::size_t line, std::string key, std::string reason) {
        document_.faults.push_back({line, std::move(key), std::move(reason)});
    }

    ini_document document_;
    std::set<std::string> section_names_;
};

std::string format_range(long long min_value, long long max_value) {
    return "allowed values: " + std::to_string(min_value) + " to " + std::to_string(max_value);
}

} // namespace

std::string format_fault(std::string_view file, const ini_fault& fault) {
    std::string out(file);
    if (fault.line > 0)
        out += ':' + std::to_string(fault.line);
    if (!fault.key.empty())
        out += ": " + fault.key;
    return out + ": " + fault.reason;
}

const ini_value* ini_section::find(std::string_view key) const {
    const auto it = std::ranges::find(values, key, &ini_value::key);
    return it == values.end() ? nullptr : &*it;
}

const ini_section* ini_document::find(std::string_view kind) const {
    const auto it = std::ranges::find(sections, kind, &ini_section::kind);
    return it == sections.end() ? nullptr : &*it;
}

ini_document parse_ini(std::string_view text) {
    return ini_parser{}.parse(text);
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream out;
    out << in.rdbuf();
    if (in.bad())
        return std::nullopt;
    return std::move(out).str();
}

const ini_value* ini_reader::find_value(std::string_view key) {
    read_keys_.emplace_back(key);
    const auto* value = section_.find(key);
    if (value != nullptr && value->value.empty()) {
        fail(key, "empty value");
        return nullptr;
    }
    return value;
}

std::string ini_reader::text(std::string_view key) {
    if (section_.find(key) == nullptr) {
        read_keys_.emplace_back(key);
        fail(key, "missing key");
        return {};
    }
    const auto* value = find_value(key);
    return value == nullptr ? std::string{} : value->value;
}

std::string ini_reader::text_or(std::string_view key, std::string_view default_value) {
    const auto* value = find_value(key);
    return std::string(value == nullptr ? default_value : std::string_view(value->value));
}

long long ini_reader::parse_number(const ini_value& value, long long min_value,
                                   long long max_value) {
    long long number = 0;
    const char* end = value.value.data() + value.value.size();
    const auto [parsed_end, error] = std::from_chars(value.value.data(), end, number);
    if (error != std::errc{} || parsed_end != end || number < min_value || number > max_value) {
        fail(value.key, "not a whole number in range; " + format_range(min_value, max_value));
        return min_value;
    }
    return number;
}

long long ini_reader::number_or(std::string_view key, long long default_value, long long min_value,
                                long long max_value) {
    const auto* value = find_value(key);
    return value == nullptr ? default_value : parse_number(*value, min_value, max_value);
}

long long ini_reader::number(std::string_view key, long long min_value, long long max_value) {
    if (section_.find(key) == nullptr) {
        read_keys_.emplace_back(key);
        fail(key, "missing key");
        return min_value;
    }
    return number_or(key, min_value, min_value, max_value);
}

double ini_reader::decimal_or(std::string_view key, double default_value, double min_value,
                              double max_value) {
    const auto* value = find_value(key);
    if (value == nullptr)
        return default_value;
    double number = 0;
    const char* end = value->value.data() + value->value.size();
    const auto [parsed_end, error] = std::from_chars(value->value.data(), end, number);
    if (error != std::errc{} || parsed_end != end ||
        !(number >= min_value && number <= max_value)) {
        std::ostringstream reason;
        reason << "not a number in range; allowed values: " << min_value << " to " << max_value;
        fail(key, reason.str());
        return min_value;
    }
    return number;
}

bool ini_reader::flag_or(std::string_view key, bool default_value) {
    const auto* value = find_value(key);
    if (value == nullptr)
        return default_value;
    if (value->value != "yes" && value->value != "no")
        fail(key, "not a flag; allowed values: yes, no");
    return value->value == "yes";
}

std::vector<std::string> ini_reader::list_or(std::string_view key,
                                             std::vector<std::string> default_value) {
    const auto* value = find_value(key);
    if (value == nullptr)
        return default_value;
    std::vector<std::string> items;
    std::string_view remaining = value->value;
    while (true) {
        const auto comma = remaining.find(',');
        const auto item = trim(remaining.substr(0, comma));
        if (item.empty())
            fail(key, "empty item in list");
        else
            items.emplace_back(item);
        if (comma == std::string_view::npos)
            break;
        remaining = remaining.substr(comma + 1);
    }
    return items;
}

void ini_reader::fail(std::string_view key, std::string reason) {
    const auto* value = section_.find(key);
    const auto line = value == nullptr ? section_.line : value->line;
    faults_.push_back({line, std::string(key), std::move(reason)});
}

void ini_reader::finish() {
    for (const auto& value : section_.values) {
        if (std::ranges::find(read_keys_, value.key) == read_keys_.end())
            fail(value.key, "unknown key");
    }
}

std::optional<endpoint_text> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    const auto digits = text.substr(colon + 1);
    endpoint_text out{std::string(address), 0};
    const auto [parsed_end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
    if (error != std::errc{} || parsed_end != digits.data() + digits.size())
        return std::nullopt;
    boost::system::error_code bad_address;
    boost::asio::ip::make_address(out.address, bad_address);
    if (bad_address)
        return std::nullopt;
    return out;
}

} // namespace clementine
