/// \file
/// RESP arrays of bulk strings, and the field lists that stand in them. No I/O. Source: the Redis
/// serialization protocol.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::net {

/// One array; it views the bytes that it was read from.
struct RespArray {
  std::vector<std::string_view> words;  ///< its strings
  std::size_t used = 0;                 ///< bytes that it took, 0 while it is not whole
};
/// Reads the array that `bytes` begins with. Throws InputError for what cannot become one, or claims more
/// than `max_words` strings or `max_bytes` bytes in all; `into.used` is 0 then.
void read_resp_array(std::string_view bytes, std::size_t max_words, std::size_t max_bytes, RespArray& into);

/// The array of these strings, as bytes.
std::string resp_array_text(std::initializer_list<std::string_view> words);

/// The value of a field in "name=value,name=value" (or "-"); nullopt if it is not there. Throws InputError
/// for a part without '=' before it.
std::optional<std::string_view> field(std::string_view fields, std::string_view name);

/// What the fields of an answer tell beside it.
struct AnswerReport {
  Seconds fill_wait = 0;  ///< until its source's first byte or failure, 0 where it is not told
  double load = -1;       ///< the share of its capacity in use that it reports, -1 where it does not
};
/// Parses it; nonsense reads as not told. Throws InputError for a part without '='.
AnswerReport parse_answer_report(std::string_view fields);

}  // namespace walkpaddle::net
