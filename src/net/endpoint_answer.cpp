#include "net/endpoint_answer.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "base/text.h"
#include "net/attempt.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

namespace {

AttemptOutcome parse_outcome(std::string_view word) {
  const auto outcome = value_of_name<std::optional<AttemptOutcome>>(word,
                                                                    {{"served", AttemptOutcome::served},
                                                                     {"still_good", AttemptOutcome::served},
                                                                     {"not_here", AttemptOutcome::not_cached},
                                                                     {"overload", AttemptOutcome::rejected},
                                                                     {"crashed", AttemptOutcome::error},
                                                                     {"nobody", AttemptOutcome::not_sent}},
                                                                    std::nullopt);
  if (!outcome) throw_bad_value("answer", word);
  return *outcome;
}

FillOutcome parse_fill(std::string_view word) {
  return value_of_name<FillOutcome>(word,
                                    {{"mem", FillOutcome::hit},
                                     {"parent", FillOutcome::filled},
                                     {"origin", FillOutcome::from_origin},
                                     {"shared", FillOutcome::coalesced},
                                     {"old", FillOutcome::stale_copy},
                                     {"denied", FillOutcome::source_rejected},
                                     {"unreached", FillOutcome::source_unreachable},
                                     {"absent", FillOutcome::source_not_cached},
                                     {"crowded", FillOutcome::no_fill_capacity},
                                     {"behind", FillOutcome::origin_failed}},
                                    FillOutcome::none);
}

std::vector<std::uint64_t> parse_tags(std::string_view text) {
  constexpr std::size_t kMaxTags = 32;  // more than the purge index remembers of an object
  std::vector<std::uint64_t> tags;
  while (!text.empty() && tags.size() < kMaxTags) tags.push_back(stable_hash(take_field(text, '+')));
  return tags;
}

// A result comes with its fields, and with its body unless the client's copy is current. Other outcomes may
// lack both.
void check_size(const std::vector<std::string_view>& words) {
  constexpr std::size_t kMostWords = 4;
  const auto least_words = value_of_name<std::size_t>(words[1], {{"served", 4}, {"still_good", 3}}, 2);
  if (words.size() < least_words || words.size() > kMostWords)
    throw_bad_value("number of words of an answer", std::to_string(words.size()));
}

}  // namespace

EndpointAnswer parse_endpoint_answer(const std::vector<std::string_view>& words) {
  EndpointAnswer answer;
  answer.id = parse<std::uint64_t>(words[0], "id", 16);
  answer.outcome = parse_outcome(words[1]);
  answer.not_modified = words[1] == "still_good";
  check_size(words);
  if (words.size() > 2) answer.fields = words[2];
  if (words.size() > 3) answer.body = words[3];
  check_fields(answer.fields);
  answer.fill = parse_fill(field(answer.fields, "tell").value_or(""));
  if (const auto age = field(answer.fields, "age"))
    answer.age = std::max(0.0, parse<double>(*age, "age") / 1e3);
  answer.etag = field(answer.fields, "etag").value_or("");
  answer.report = parse_answer_report(answer.fields);
  if (const auto tags = field(answer.fields, "tags")) answer.tags = parse_tags(*tags);
  return answer;
}

void store_answer(EndpointAnswer answer, AttemptResult& result) {
  result.fill = answer.fill;
  result.report = answer.report;
  result.not_modified = answer.not_modified;
  result.etag = answer.etag;
  result.age = answer.age;
  result.tags_reported = answer.tags.has_value();
  result.tags = std::move(answer.tags).value_or(std::vector<std::uint64_t>());
  result.body = answer.body;
}

}  // namespace walkpaddle::net
