/// \file
/// Parses the answers of endpoints to attempts. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "net/resp_parser.h"
#include "routing/types.h"

namespace walkpaddle::net {

struct AttemptResult;

/// One answer. Its texts point into the words that it was parsed from.
struct EndpointAnswer {
  std::uint64_t id = 0;                            ///< id of the request
  AttemptOutcome outcome = AttemptOutcome::error;  ///< outcome of the attempt
  FillOutcome fill = FillOutcome::none;            ///< outcome of the fill, as the answer reports it
  bool not_modified = false;                       ///< the client's copy is current
  Seconds age = -1;                                ///< age of the copy; -1 if not reported
  std::string_view etag;                           ///< ETag of the copy; empty if not reported
  std::string_view fields;                         ///< the whole list of fields
  AnswerReport report;                             ///< reported measurements
  /// Stable hashes of the copy's tags; nullopt if not reported.
  std::optional<std::vector<std::uint64_t>> tags;
  std::string_view body;  ///< empty if there is none
};

/// Parses the words of an answer: the request's id, the outcome, fields and body. Only an outcome without a
/// result may lack fields and body. Throws InputError if words are missing or too many, or if the id, the
/// outcome or any entry of the fields is malformed.
EndpointAnswer parse_endpoint_answer(const std::vector<std::string_view>& words);

/// Stores the answer in `result`; only the outcome is left as it is.
void store_answer(EndpointAnswer answer, AttemptResult& result);

}  // namespace walkpaddle::net
