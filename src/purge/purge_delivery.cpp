#include "purge/purge_delivery.h"

#include <algorithm>

namespace walkpaddle::purge {

PurgeDelivery::CacheServer& PurgeDelivery::at(int server) {
  const auto index = static_cast<std::size_t>(server);
  if (index >= servers_.size()) servers_.resize(index + 1);
  return servers_[index];
}

void PurgeDelivery::connection_lost(int server) {
  auto& s = at(server);
  if (s.state != State::unsupported) s.state = State::unknown;
  s.sent = s.confirmed;
  s.retry_at = 0;
}

void PurgeDelivery::postpone(int server, Seconds now) {
  // Connecting takes a few milliseconds; if it has not succeeded by then, it will not for a while.
  constexpr Seconds kConnectTime = 0.05;
  auto& s = at(server);
  s.sent = s.confirmed;
  s.retry_at = now + kConnectTime;
  if (s.state != State::delivering) s.state = State::unknown;
}

void PurgeDelivery::cursor_reported(int server, std::uint64_t position) {
  auto& s = at(server);
  s.state = State::delivering;
  // A cursor past the end of the log is of a log that was lost, or garbled: all purges are sent again.
  s.confirmed = position <= log_.last_position() ? position : 0;
  s.sent = s.confirmed;
  s.retry_at = 0;
}

void PurgeDelivery::confirmed(int server, std::uint64_t position, Seconds now) {
  auto& s = at(server);
  if (s.state != State::delivering || position > s.sent) return;  // from an earlier connection
  s.confirmed = std::max(s.confirmed, position);
  s.retry_at = s.sent > s.confirmed ? now + kRetryAfter : 0;
}

std::optional<PurgeDelivery::Message> PurgeDelivery::next(Seconds now) {
  for (std::size_t n = 0; n < servers_.size(); ++n)
    if (auto message = next_for(static_cast<int>(n), now)) return message;
  return std::nullopt;
}

std::optional<PurgeDelivery::Message> PurgeDelivery::next_for(int server, Seconds now) {
  auto& s = at(server);
  if (!s.listed || s.state == State::unsupported) return std::nullopt;
  if (s.state != State::delivering) {
    if (now < s.retry_at || log_.size() == 0) return std::nullopt;
    s.state = State::cursor_requested;
    s.retry_at = now + kRetryAfter;
    return Message{server, nullptr};
  }
  if (s.sent == s.confirmed && now < s.retry_at) return std::nullopt;
  if (s.sent > s.confirmed && now >= s.retry_at) s.sent = s.confirmed;  // no answer: resend
  if (s.sent >= s.confirmed + kMaxUnconfirmed) return std::nullopt;
  const auto* entry = log_.at_or_after(s.sent + 1);
  if (entry == nullptr) {
    if (s.sent == s.confirmed) {  // the log dropped all later entries; nothing is left to confirm
      s.confirmed = log_.last_position();
      s.sent = s.confirmed;
    }
    return std::nullopt;
  }
  if (entry->position > allowed_) return std::nullopt;
  if (s.sent == s.confirmed) s.retry_at = now + kRetryAfter;
  s.sent = entry->position;
  return Message{server, entry};
}

std::vector<int> PurgeDelivery::unconfirmed(std::uint64_t position) const {
  std::vector<int> servers;
  for (std::size_t n = 0; n < servers_.size(); ++n)
    if (servers_[n].listed && servers_[n].state != State::unsupported && servers_[n].confirmed < position)
      servers.push_back(static_cast<int>(n));
  return servers;
}

std::uint64_t PurgeDelivery::confirmed_by(int server) const {
  const auto index = static_cast<std::size_t>(server);
  return index < servers_.size() ? servers_[index].confirmed : 0;
}

}  // namespace walkpaddle::purge
