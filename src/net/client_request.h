/// \file
/// The requests of clients, parsed from EXEC messages. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "config/platform_config.h"
#include "guard/request_ids.h"
#include "io/buffer_budget.h"
#include "routing/output_admission.h"

namespace walkpaddle::net {

/// One request. Values that are forwarded unchanged are kept as the client wrote them.
struct Request {
  std::string tag;              ///< the client's tag, which the answer repeats
  std::string class_name;       ///< name of the request class, as received
  std::string id_text;          ///< the request's id, as received
  std::string object_text;      ///< the object's id, as received
  std::string part_text;        ///< the part of the object, as received
  std::string idempotency_key;  ///< empty if there is none
  std::string etag;             ///< ETag of the client's copy; empty if it has none
  std::string body;             ///< body of a write
  std::uint64_t id = 0;         ///< the request's id as a number
  int class_index = 0;          ///< index among the settings' request classes
  int part = 0;                 ///< the part as a number
  std::uint32_t group = 0;      ///< the object's group, for purges
  bool uncacheable = false;     ///< requests of the class bypass the caches
  bool has_effect = false;      ///< requests of the class are not idempotent
  Seconds read_at = 0;          ///< when it was read, on the scheduler's clock
  Seconds deadline = 0;         ///< end of the client's time limit, on the scheduler's clock
  guard::RequestIds::Reservation id_reservation;     ///< reserves the id until the request has ended
  BufferBudget::Lease body_memory;                   ///< counts the body
  routing::OutputAdmission::StartedRequest started;  ///< counts the request once it was started
};

/// Parses the words of an EXEC message: command, tag, class, fields and body. Only requests without an effect
/// may lack the body. The client's time limit runs from `sent_at`. Throws InputError for a malformed message.
/// The id is not reserved yet.
Request parse_request(const std::vector<std::string_view>& words,
                      const std::vector<config::RequestClassName>& classes, Seconds sent_at);

}  // namespace walkpaddle::net
