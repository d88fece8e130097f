/// \file
/// The requests of clients, parsed from EXEC messages. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/time.h"
#include "config/platform_config.h"
#include "io/buffer_budget.h"
#include "routing/output_admission.h"

namespace walkpaddle::net {

/// Reserves the id of an open request, which is unique over all connections, until the request has ended. The
/// set must outlive it.
class OpenId {
 public:
  using Ids = std::unordered_set<std::uint64_t>;  ///< ids of all open requests
  OpenId() = default;
  /// Adds the id to the set. Throws InputError if a request with this id is already open.
  OpenId(Ids& ids, std::uint64_t id);
  /// Takes over the reservation.
  OpenId(OpenId&& other) noexcept : ids_(std::exchange(other.ids_, nullptr)), id_(other.id_) {}
  /// Swaps the reservations.
  OpenId& operator=(OpenId&& other) noexcept {
    std::swap(ids_, other.ids_);
    std::swap(id_, other.id_);
    return *this;
  }
  OpenId(const OpenId&) = delete;
  OpenId& operator=(const OpenId&) = delete;
  ~OpenId() {
    if (ids_ != nullptr) ids_->erase(id_);
  }

 private:
  Ids* ids_ = nullptr;
  std::uint64_t id_ = 0;
};

/// One request. Values that are forwarded unchanged are kept as the client wrote them.
struct Request {
  std::string tag;                  ///< the client's tag, which the answer repeats
  std::string class_name;           ///< name of the request class, as received
  std::string id_text;              ///< the request's id, as received
  std::string object_text;          ///< the object's id, as received
  std::string part_text;            ///< the part of the object, as received
  std::string idempotency_key;      ///< empty if there is none
  std::string etag;                 ///< ETag of the client's copy; empty if it has none
  std::string body;                 ///< body of a write
  std::uint64_t id = 0;             ///< the request's id as a number
  int class_index = 0;              ///< index among the settings' request classes
  int part = 0;                     ///< the part as a number
  std::uint32_t group = 0;          ///< the object's group, for purges
  bool uncacheable = false;         ///< requests of the class bypass the caches
  bool has_effect = false;          ///< requests of the class are not idempotent
  Seconds deadline = 0;             ///< end of the client's time limit, on the scheduler's clock
  OpenId open_id;                   ///< reserves the id until the request has ended
  BufferBudget::Lease body_memory;  ///< counts the body
  routing::OutputAdmission::StartedRequest started;  ///< counts the request once it was started
};

/// Parses the words of an EXEC message: command, tag, class, fields, and optionally a body. The client's time
/// limit runs from `sent_at`. Throws InputError for a malformed message and for an id that is already open.
Request parse_request(const std::vector<std::string_view>& words,
                      const std::vector<config::RequestClassName>& classes, OpenId::Ids& open_ids,
                      Seconds sent_at);

}  // namespace walkpaddle::net
