#include "guard/request_ids.h"

namespace walkpaddle::guard {

tl::expected<RequestIds::Reservation, IdRefusal> RequestIds::reserve(std::uint64_t id) {
  if (remembered_.contains(id)) return tl::unexpected(IdRefusal::may_have_run);
  if (!open_.insert(id).second) return tl::unexpected(IdRefusal::is_open);
  return Reservation(*this, id);
}

void RequestIds::release(std::uint64_t id, bool is_remembered) {
  open_.erase(id);
  if (!is_remembered) return;
  remembered_.insert(id);
  by_age_.push_back(id);
  if (by_age_.size() <= kMaxRemembered) return;
  remembered_.erase(by_age_.front());
  by_age_.pop_front();
}

}  // namespace walkpaddle::guard
