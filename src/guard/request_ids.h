/// \file
/// The ids of requests. An id is new with each request, also with a client's retry, so one that returns names
/// a request that was sent before: it must not run again. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <tl/expected.hpp>
#include <unordered_set>
#include <utility>

namespace walkpaddle::guard {

/// Why a request is refused because of its id.
enum class IdRefusal {
  is_open,      ///< a request with this id is open
  may_have_run  ///< a request with this id had an effect, or may have had one
};

/// The ids of all open requests, and of the latest ended ones that must not run again. Must outlive the
/// reservations.
class RequestIds {
 public:
  /// Number of ended requests that are remembered; the oldest are forgotten first.
  static constexpr std::size_t kMaxRemembered = 8192;

  /// Reserves the id of a request until the request has ended.
  class Reservation {
   public:
    Reservation() = default;
    /// Takes over the reservation.
    Reservation(Reservation&& other) noexcept
        : ids_(std::exchange(other.ids_, nullptr)), id_(other.id_), is_remembered_(other.is_remembered_) {}
    /// Swaps the reservations.
    Reservation& operator=(Reservation&& other) noexcept {
      std::swap(ids_, other.ids_);
      std::swap(id_, other.id_);
      std::swap(is_remembered_, other.is_remembered_);
      return *this;
    }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() {
      if (ids_ != nullptr) ids_->release(id_, is_remembered_);
    }
    /// The request has had an effect, or may have had one: its id is remembered when it has ended.
    void remember() { is_remembered_ = true; }

   private:
    friend class RequestIds;
    Reservation(RequestIds& ids, std::uint64_t id) : ids_(&ids), id_(id) {}

    RequestIds* ids_ = nullptr;
    std::uint64_t id_ = 0;
    bool is_remembered_ = false;
  };

  RequestIds() = default;
  RequestIds(const RequestIds&) = delete;
  RequestIds& operator=(const RequestIds&) = delete;

  /// Reserves an id, or says why its request must be refused.
  tl::expected<Reservation, IdRefusal> reserve(std::uint64_t id);
  /// Number of reserved ids.
  std::size_t open() const { return open_.size(); }

 private:
  void release(std::uint64_t id, bool is_remembered);

  std::unordered_set<std::uint64_t> open_;
  std::unordered_set<std::uint64_t> remembered_;
  std::deque<std::uint64_t> by_age_;  // the remembered ones, oldest first
};

}  // namespace walkpaddle::guard
