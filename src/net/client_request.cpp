#include "net/client_request.h"

#include <algorithm>

#include "base/text.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

namespace {

// Parses exactly 16 hexadecimal digits, the form that cache servers accept.
std::uint64_t parse_hex16(std::string_view text, std::string_view name) {
  constexpr std::size_t kDigits = 16;
  if (text.size() != kDigits) throw_bad_value(name, text);
  return parse<std::uint64_t>(text, name, 16);
}

// Parses a whole number from `least` to `most`, written as digits without a sign.
int parse_whole(std::string_view text, std::string_view name, int least, int most) {
  const int value = parse<int>(text, name);
  if (value < least || value > most || text.front() == '-') throw_bad_value(name, text);
  return value;
}

// Checks that the text can be a value in a list of fields: printable ASCII without ',', '=' and spaces, so
// that even a lax parser does not take a part of it for the end of the message.
std::string_view checked_value(std::string_view text, std::string_view name) {
  constexpr std::size_t kMaxBytes = 64;  // twice the length of a usual key
  const auto is_allowed = [](char c) { return c > ' ' && c <= '~' && c != ',' && c != '='; };
  if (text.empty() || text.size() > kMaxBytes || !std::ranges::all_of(text, is_allowed))
    throw_bad_value(name, text);
  return text;
}

std::string_view required_field(std::string_view fields, std::string_view name) {
  const auto value = field(fields, name);
  if (!value) throw_bad_value("request: missing field", name);
  return *value;
}

}  // namespace

Request parse_request(const std::vector<std::string_view>& words,
                      const std::vector<config::RequestClassName>& classes, Seconds sent_at) {
  constexpr int kMaxLimitMs = 3'600'000;         // far above the limit of any client
  constexpr int kMaxPart = 1'000'000;            // far above the number of parts of any object
  constexpr std::size_t kMaxBodyBytes = 48'000;  // body of a write
  constexpr std::size_t kLeastWords = 4;         // without a body
  constexpr std::size_t kMostWords = 5;
  if (words.size() < kLeastWords || words.size() > kMostWords)
    throw_bad_value("number of words", std::to_string(words.size()));
  Request request;
  request.tag = words[1];
  request.class_name = words[2];
  const auto request_class = std::ranges::find(classes, words[2], &config::RequestClassName::name);
  if (request_class == classes.end()) throw_bad_value("class", words[2]);
  request.class_index = static_cast<int>(request_class - classes.begin());
  request.uncacheable = request_class->uncacheable;
  request.has_effect = request_class->effect;
  // A missing body may be one that a wrong number of words cuts off. An empty body is a word too.
  if (request.has_effect && words.size() < kMostWords)
    throw_bad_value("number of words of a write", std::to_string(words.size()));
  const auto fields = words[3];
  check_fields(fields);
  request.id_text = required_field(fields, "txn");
  request.id = parse_hex16(request.id_text, "txn");
  request.deadline = sent_at + parse_whole(required_field(fields, "limit"), "limit", 1, kMaxLimitMs) / 1e3;
  request.object_text = required_field(fields, "item");
  parse_hex16(request.object_text, "item");
  request.part_text = required_field(fields, "seg");
  request.part = parse_whole(request.part_text, "seg", 0, kMaxPart);
  request.group = static_cast<std::uint32_t>(parse_whole(required_field(fields, "bucket"), "bucket", 0, 255));
  if (request_class->keyed || field(fields, "unique"))
    request.idempotency_key = checked_value(required_field(fields, "unique"), "unique");
  if (const auto etag = field(fields, "etag")) request.etag = checked_value(*etag, "etag");
  if (words.size() == kMostWords) request.body = words[kMostWords - 1];
  if (request.body.size() > kMaxBodyBytes)
    throw_bad_value("size of body", std::to_string(request.body.size()));
  return request;
}

}  // namespace walkpaddle::net
