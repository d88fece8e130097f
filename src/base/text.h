/// \file
/// Helpers shared by the parsers: splitting text into fields and reading numbers.
#pragma once

#include <charconv>
#include <cmath>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>
#include <utility>

#include "base/error.h"

namespace walkpaddle {

/// Throws InputError for an invalid value. `name`: what was parsed; `value`: the text that was found.
[[noreturn]] inline void throw_bad_value(std::string_view name, std::string_view value) {
  constexpr std::size_t kMaxValueBytes = 60;  // of the value, as quoted in the message
  throw InputError("bad " + std::string(name) + " '" + std::string(value.substr(0, kMaxValueBytes)) + "'");
}

/// Parses all of `text` as a number. Throws InputError for anything else, including infinities and NaN;
/// `name` says in the message what was parsed.
template <class Number>
Number parse(std::string_view text, std::string_view name, int base = 10) {
  Number value{};
  std::from_chars_result result{};
  const char* const end = text.data() + text.size();
  if constexpr (std::is_floating_point_v<Number>)
    result = std::from_chars(text.data(), end, value);
  else
    result = std::from_chars(text.data(), end, value, base);
  if (result.ec != std::errc() || result.ptr != end) throw_bad_value(name, text);
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(value)) throw_bad_value(name, text);
  }
  return value;
}

/// Like parse(), but returns `absent` for text that is not a number. For values that are only informative.
template <class Number>
Number parse_or(std::string_view text, Number absent) try {
  return parse<Number>(text, "");
} catch (const InputError&) {
  return absent;
}

/// Removes the text up to and including the next `separator` from the front of `rest` and returns it without
/// the separator; all of `rest` if there is none.
inline std::string_view take_field(std::string_view& rest, char separator) {
  const auto at = rest.find(separator);
  const auto head = rest.substr(0, at);
  rest = at == std::string_view::npos ? std::string_view() : rest.substr(at + 1);
  return head;
}

/// Looks up `name` among the known names and returns its value, or `otherwise` if it is not one of them.
template <class Value>
Value value_of_name(std::string_view name, std::initializer_list<std::pair<std::string_view, Value>> known,
                    Value otherwise) {
  for (const auto& [known_name, value] : known)
    if (known_name == name) return value;
  return otherwise;
}

}  // namespace walkpaddle
