// RESP arrays of bulk strings, and the field lists that stand in them. No I/O.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::net {

// The words of the array that `bytes` begins with, and how many bytes it took: 0 while it is not whole. What
// cannot become one, or claims more than `most_words` words or `most_bytes` bytes in all, is InputError.
struct Words {
  std::vector<std::string_view> words;
  std::size_t used = 0;
};
void read_words(std::string_view bytes, std::size_t most_words, std::size_t most_bytes, Words& into);

std::string words_text(std::initializer_list<std::string_view> words);

// The value of a field in "name=value,name=value" (or "-"); nullopt if it is not there. A part without '=' is
// InputError.
std::optional<std::string_view> field(std::string_view fields, std::string_view name);

// What the fields of an answer tell beside it; nonsense reads as not told.
struct AnswerReport {
  Seconds fill_wait = 0;  // until its source's first byte or failure, 0 where it is not told
  double load = -1;       // the share of its capacity in use that it reports, -1 where it does not
};
AnswerReport parse_answer_report(std::string_view fields);

}  // namespace walkpaddle::net
