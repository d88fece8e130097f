#include "net/resp_parser.h"

#include <algorithm>

#include "base/text.h"

namespace walkpaddle::net {

namespace {

constexpr char kArrayPrefix = '*';
constexpr char kStringPrefix = '$';

// Parses the number of a line such as "*12\r\n" or "$12\r\n" at the start of `rest`, and removes the line.
// False while the line is incomplete.
bool take_length(std::string_view& rest, char prefix, std::size_t max_length, std::size_t& length) {
  constexpr std::size_t kMaxLineBytes = 12;  // prefix, nine digits, CR LF
  if (rest.empty()) return false;
  if (rest.front() != prefix) throw_bad_value("array", rest.substr(0, 1));
  const auto end = rest.substr(0, kMaxLineBytes).find("\r\n");
  if (end == std::string_view::npos) {
    if (rest.size() >= kMaxLineBytes) throw_bad_value("length", rest.substr(0, kMaxLineBytes));
    return false;
  }
  length = parse<std::size_t>(rest.substr(1, end - 1), "length");
  if (length > max_length) throw_bad_value("length", rest.substr(1, end - 1));
  rest.remove_prefix(end + 2);
  return true;
}

}  // namespace

void read_resp_array(std::string_view bytes, std::size_t max_words, std::size_t max_bytes, RespArray& into) {
  into.words.clear();
  into.used = 0;
  auto rest = bytes;
  std::size_t count = 0;
  if (!take_length(rest, kArrayPrefix, max_words, count)) return;
  for (std::size_t n = 0; n < count; ++n) {
    std::size_t length = 0;
    if (!take_length(rest, kStringPrefix, max_bytes, length)) return;
    max_bytes -= length;
    if (rest.size() < length + 2) return;
    if (rest.substr(length, 2) != "\r\n") throw_bad_value("string terminator", rest.substr(length, 2));
    into.words.push_back(rest.substr(0, length));
    rest.remove_prefix(length + 2);
  }
  into.used = bytes.size() - rest.size();
}

bool may_begin_resp_array(std::string_view bytes) { return bytes.empty() || bytes.front() == kArrayPrefix; }

bool begins_resp_string(std::string_view bytes) { return bytes.starts_with(kStringPrefix); }

MissingBytes missing_resp_bytes(std::string_view bytes) {
  constexpr auto kNoMaximum = static_cast<std::size_t>(-1);  // the caller has checked the lengths
  std::size_t count = 0;
  if (!take_length(bytes, kArrayPrefix, kNoMaximum, count)) return {};
  for (std::size_t n = 0; n < count; ++n) {
    std::size_t length = 0;
    if (!take_length(bytes, kStringPrefix, kNoMaximum, length)) return {};
    if (bytes.size() < length + 2) return {length + 2 - bytes.size(), n + 1 == count};
    bytes.remove_prefix(length + 2);
  }
  return {};
}

std::string resp_array_text(std::initializer_list<std::string_view> words) {
  constexpr std::size_t kMaxLengthLineBytes = 16;
  std::size_t size = kMaxLengthLineBytes;
  for (const auto word : words) size += word.size() + kMaxLengthLineBytes;
  std::string text;
  text.reserve(size);
  text += kArrayPrefix;
  text += std::to_string(words.size());
  text += "\r\n";
  for (const auto word : words) {
    text += kStringPrefix;
    text += std::to_string(word.size());
    text += "\r\n";
    text += word;
    text += "\r\n";
  }
  return text;
}

void check_fields(std::string_view fields) {
  if (fields == "-") return;
  while (!fields.empty()) {
    const auto entry = take_field(fields, ',');
    if (entry.find('=') == std::string_view::npos) throw_bad_value("field", entry);
  }
}

std::optional<std::string_view> field(std::string_view fields, std::string_view name) {
  if (fields == "-") return std::nullopt;
  while (!fields.empty()) {
    auto value = take_field(fields, ',');
    if (value.find('=') == std::string_view::npos) throw_bad_value("field", value);
    if (take_field(value, '=') == name) return value;
  }
  return std::nullopt;
}

AnswerReport parse_answer_report(std::string_view fields) {
  AnswerReport report;
  report.fill_wait = std::max(0.0, parse_or(field(fields, "ttfb").value_or(""), 0.0) / 1e3);
  for (auto meter = field(fields, "meter").value_or(""); !meter.empty();) {
    auto value = take_field(meter, ';');
    if (take_field(value, ':') == "util") report.load = parse_or(value, -1.0);
  }
  return report;
}

}  // namespace walkpaddle::net
