// Small readers of text, shared by the parsers: fields cut from the left, numbers that must be whole.
#pragma once

#include <charconv>
#include <cmath>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace walkpaddle {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] inline void bad(std::string_view name, std::string_view got) {
  throw Malformed("bad " + std::string(name) + " '" + std::string(got.substr(0, 60)) + "'");
}

template <class T>
T parse(std::string_view text, std::string_view name, int base = 10) {
  T value{};
  std::from_chars_result r{};
  if constexpr (std::is_floating_point_v<T>)
    r = std::from_chars(text.data(), text.data() + text.size(), value);
  else
    r = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (r.ec != std::errc() || r.ptr != text.data() + text.size()) bad(name, text);
  if constexpr (std::is_floating_point_v<T>) {
    if (!std::isfinite(value)) bad(name, text);
  }
  return value;
}

// For what only informs: nonsense reads as absent.
template <class T>
T parse_or(std::string_view text, T absent) try {
  return parse<T>(text, "");
} catch (const Malformed&) {
  return absent;
}

inline std::string_view cut(std::string_view& rest, char mark) {
  const auto at = rest.find(mark);
  const auto head = rest.substr(0, at);
  rest = at == std::string_view::npos ? std::string_view() : rest.substr(at + 1);
  return head;
}

template <class T>
T choose(std::string_view word, std::initializer_list<std::pair<std::string_view, T>> known, T other) {
  for (const auto& [name, value] : known)
    if (name == word) return value;
  return other;
}

}  // namespace walkpaddle
