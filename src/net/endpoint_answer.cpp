#include "net/endpoint_answer.h"

#include <algorithm>
#include <optional>

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

}  // namespace

EndpointAnswer parse_endpoint_answer(const std::vector<std::string_view>& words) {
  EndpointAnswer answer;
  answer.id = parse<std::uint64_t>(words[0], "id", 16);
  answer.outcome = parse_outcome(words[1]);
  answer.not_modified = words[1] == "still_good";
  if (words.size() > 2) answer.fields = words[2];
  if (words.size() > 3) answer.body = words[3];
  answer.fill = parse_fill(field(answer.fields, "tell").value_or(""));
  if (const auto age = field(answer.fields, "age"))
    answer.age = std::max(0.0, parse<double>(*age, "age") / 1e3);
  answer.etag = field(answer.fields, "etag").value_or("");
  return answer;
}

void store_answer(const EndpointAnswer& answer, AttemptResult& result) {
  constexpr std::size_t kMaxTags = 32;  // more than the purge index remembers of an object
  result.fill = answer.fill;
  result.report = parse_answer_report(answer.fields);
  result.not_modified = answer.not_modified;
  result.etag = answer.etag;
  result.age = answer.age;
  if (auto tags = field(answer.fields, "tags")) {
    result.tags_reported = true;
    while (!tags->empty() && result.tags.size() < kMaxTags)
      result.tags.push_back(stable_hash(take_field(*tags, '+')));
  }
  result.body = answer.body;
}

}  // namespace walkpaddle::net
