/// \file
/// Parses what an endpoint answers to an attempt. No I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/types.h"

namespace walkpaddle::net {

struct AttemptResult;

/// What every answer has, and what tells whose it is. It views the words that it was parsed from.
struct EndpointAnswer {
  std::uint64_t id = 0;                            ///< of the request
  AttemptOutcome outcome = AttemptOutcome::error;  ///< how the attempt ended
  FillOutcome fill = FillOutcome::none;            ///< what the answer tells of its fill
  bool not_modified = false;                       ///< the client's copy is current
  Seconds age = -1;                                ///< of the copy, -1 where it is not told
  std::string_view etag;                           ///< of the copy, empty where it is not told
  std::string_view fields;                         ///< all of them
  std::string_view body;                           ///< empty where none came
};

/// Parses the words of an answer: the request's id, a word for the outcome, fields, a body. Throws
/// InputError.
EndpointAnswer parse_endpoint_answer(const std::vector<std::string_view>& words);

/// Takes what goes on to the client out of an answer, with the rest of its fields. The outcome is left out.
/// Throws InputError for a field that is none.
void store_answer(const EndpointAnswer& answer, AttemptResult& result);

}  // namespace walkpaddle::net
