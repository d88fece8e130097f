/// \file
/// Arrays of bulk strings in RESP (the Redis serialization protocol), and the field lists in them. No I/O.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::net {

/// One array. Its strings point into the bytes that it was parsed from.
struct RespArray {
  std::vector<std::string_view> words;  ///< the strings of the array
  std::size_t used = 0;                 ///< encoded size in bytes; 0 while the array is incomplete
};
/// Parses the array at the start of `bytes`. Throws InputError, with `into.used` 0, for bytes that are not
/// the start of an array, and for an array with more than `max_words` strings or `max_bytes` bytes of
/// strings.
void read_resp_array(std::string_view bytes, std::size_t max_words, std::size_t max_bytes, RespArray& into);

/// Whether these bytes, received behind an array, may be the start of the next one.
bool may_begin_resp_array(std::string_view bytes);
/// Whether these bytes begin with a string. Behind an array it is one that the array's number of strings left
/// out.
bool begins_resp_string(std::string_view bytes);

/// What is missing from an incomplete array, as far as its lengths are known.
struct MissingBytes {
  std::size_t bytes = 1;         ///< at least so many; 1 if the next bytes must show it
  bool completes_array = false;  ///< these bytes are the last ones of the array
};
/// What is missing from an array whose start was parsed as incomplete by read_resp_array().
MissingBytes missing_resp_bytes(std::string_view bytes);

/// Encodes an array of these strings.
std::string resp_array_text(std::initializer_list<std::string_view> words);

/// Throws InputError unless `fields` is a list such as "name=value,name=value", or "-".
void check_fields(std::string_view fields);

/// The value of a field in a list such as "name=value,name=value", where "-" is the empty list; nullopt if
/// the field is absent. Throws InputError if an entry up to that field has no '='.
std::optional<std::string_view> field(std::string_view fields, std::string_view name);

/// Measurements that an endpoint reports in the fields of an answer.
struct AnswerReport {
  Seconds fill_wait = 0;  ///< time until the fill source sent its first byte or failed; 0 if not reported
  double load = -1;       ///< share of the endpoint's capacity in use; -1 if not reported
};
/// Parses the report from an answer's fields. Values that are no numbers count as not reported. Throws
/// InputError for an entry without '='.
AnswerReport parse_answer_report(std::string_view fields);

}  // namespace walkpaddle::net
