#include "soak/spoilt_message.h"

#include <fmt/core.h>

#include <vector>

#include "net/resp_parser.h"

namespace walkpaddle::soak {

namespace {

constexpr std::size_t kMaxWords = 8;
constexpr std::size_t kMaxBytes = 1 << 20;

int draw(int least, int most, std::mt19937& random) {
  return std::uniform_int_distribution<>(least, most)(random);
}

// A number near `sound`, and another one.
std::size_t draw_wrong(std::size_t sound, std::mt19937& random) {
  constexpr int kMostOff = 6;
  const auto off = static_cast<std::size_t>(draw(1, kMostOff, random));
  return draw(0, 1, random) == 0 && off <= sound ? sound - off : sound + off;
}

std::string with_noise(const std::vector<std::string_view>& words, std::size_t noisy) {
  std::string text = fmt::format("*{}\r\n", words.size());
  for (std::size_t n = 0; n < words.size(); ++n) {
    const auto word = std::string(words[n]) + (n == noisy ? ",noise###" : "");
    text += fmt::format("${}\r\n{}\r\n", word.size(), word);
  }
  return text;
}

}  // namespace

std::string spoil_message(const std::string& message, std::size_t fields_index, std::mt19937& random) {
  enum class Kind { noise_in_front, noise_in_fields, number_of_strings, length_of_string };
  net::RespArray array;
  net::read_resp_array(message, kMaxWords, kMaxBytes, array);
  const auto& words = array.words;
  const auto kind = static_cast<Kind>(draw(0, static_cast<int>(Kind::length_of_string), random));
  if (kind == Kind::noise_in_front) return "*3\r\n$oops\r\n" + message;
  if (kind == Kind::noise_in_fields) return with_noise(words, fields_index);
  auto count = words.size();
  if (kind == Kind::number_of_strings) count = draw_wrong(count, random);
  const auto wrong = static_cast<std::size_t>(draw(0, static_cast<int>(words.size()) - 1, random));
  std::string text = fmt::format("*{}\r\n", count);
  for (std::size_t n = 0; n < words.size(); ++n) {
    const bool is_wrong = kind == Kind::length_of_string && n == wrong;
    const auto length = is_wrong ? draw_wrong(words[n].size(), random) : words[n].size();
    text += fmt::format("${}\r\n{}\r\n", length, words[n]);
  }
  return text;
}

}  // namespace walkpaddle::soak
