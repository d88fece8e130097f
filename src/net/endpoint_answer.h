/// \file
/// Parses the answers of endpoints to attempts. No I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"
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
  std::string_view body;                           ///< empty if there is none
};

/// Parses the words of an answer: the request's id, the outcome, and optionally fields and a body. Throws
/// InputError if the id, the outcome or a field is malformed.
EndpointAnswer parse_endpoint_answer(const std::vector<std::string_view>& words);

/// Copies the answer, with its tags and reported measurements, to `result`; only the outcome is left as it
/// is. Throws InputError for a malformed field.
void store_answer(const EndpointAnswer& answer, AttemptResult& result);

}  // namespace walkpaddle::net
