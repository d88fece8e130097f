/// \file
/// What a client asks to have executed, parsed. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/time.h"
#include "config/platform_config.h"

namespace walkpaddle::net {

/// Holds the id of an open request, over all connections, until the request is over. The set outlives it.
class OpenId {
 public:
  using Ids = std::unordered_set<std::uint64_t>;  ///< of all open requests
  OpenId() = default;
  /// Throws InputError if the id is open already.
  OpenId(Ids& ids, std::uint64_t id);
  /// Takes the id over.
  OpenId(OpenId&& other) noexcept : ids_(std::exchange(other.ids_, nullptr)), id_(other.id_) {}
  /// Takes the id over; its own goes with `other`.
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

/// One request. What goes on unchanged stands as the bytes that came.
struct Request {
  std::string tag;              ///< of the client, for its answer
  std::string class_name;       ///< of its class, as it came
  std::string id_text;          ///< of the request, as it came
  std::string object_text;      ///< the object's id, as it came
  std::string part_text;        ///< which part of the object, as it came
  std::string idempotency_key;  ///< empty for none
  std::string etag;             ///< of the copy that the client has; empty for none
  std::string body;             ///< of a write
  std::uint64_t id = 0;         ///< the id as a number
  int class_index = 0;          ///< among the settings' classes
  int part = 0;                 ///< the part as a number
  std::uint32_t group = 0;      ///< of the object, for purges
  bool uncacheable = false;     ///< its class is passed to the origin
  bool has_effect = false;      ///< its class may not simply run again
  Seconds deadline = 0;         ///< the client's limit, on the scheduler's clock
  OpenId open_id;               ///< held until the request is over
};

/// Parses the words of an EXEC message: verb, tag, class, fields, and a body where there is one. The client's
/// limit runs from `sent_at`. Throws InputError for what is none, and for an id that is open already.
Request parse_request(const std::vector<std::string_view>& words,
                      const std::vector<config::RequestClassName>& classes, OpenId::Ids& open_ids,
                      Seconds sent_at);

}  // namespace walkpaddle::net
