/// \file
/// Small readers of text that the parsers share: fields cut from the left, numbers that must fill their
/// field.
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

/// Throws InputError: `name` says what was read, `value` is what stood there.
[[noreturn]] inline void throw_bad_value(std::string_view name, std::string_view value) {
  constexpr std::size_t kLongestValue = 60;  // bytes that a message repeats
  throw InputError("bad " + std::string(name) + " '" + std::string(value.substr(0, kLongestValue)) + "'");
}

/// The number that fills all of `text`. Throws InputError for anything else, infinities and NaN included.
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

/// The same for what only informs: text that is no number reads as `absent`.
template <class Number>
Number parse_or(std::string_view text, Number absent) try {
  return parse<Number>(text, "");
} catch (const InputError&) {
  return absent;
}

/// Takes the field before the next `separator` off the front of `rest`, and the separator too.
inline std::string_view take_field(std::string_view& rest, char separator) {
  const auto at = rest.find(separator);
  const auto head = rest.substr(0, at);
  rest = at == std::string_view::npos ? std::string_view() : rest.substr(at + 1);
  return head;
}

/// The value that `name` has among `known`, or `otherwise`.
template <class Value>
Value value_of_name(std::string_view name, std::initializer_list<std::pair<std::string_view, Value>> known,
                    Value otherwise) {
  for (const auto& [known_name, value] : known)
    if (known_name == name) return value;
  return otherwise;
}

}  // namespace walkpaddle
