#include "net/message_intake.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::net {

std::size_t MessageIntake::max_read_bytes() const {
  if (holds_memory()) return std::max(missing_.bytes, kReadBytes);
  if (awaits_memory()) return rest_has_arrived() ? missing_.bytes : 0;
  return kReadBytes;
}

bool MessageIntake::rest_has_arrived() const {
  return missing_.completes_array && stream_.available(missing_.bytes) >= missing_.bytes;
}

// The reservation covers what was read as well, since that stays in memory until the message is complete.
void MessageIntake::messages_consumed() {
  const auto received = stream_.in().size();
  arrived_ = 0;
  if (received == 0) return memory_.release();
  missing_ = missing_resp_bytes(stream_.in());
  const auto message_bytes = received + missing_.bytes;
  if (message_bytes <= kUnreservedBytes) return;
  if (!awaits_memory() && memory_.bytes() < message_bytes) memory_.request(message_bytes);
  // A buffer that grows with each part would take up to twice the size of the message.
  if (holds_memory()) stream_.expect(message_bytes);
}

std::size_t MessageIntake::take_arrived() {
  if (!awaits_memory()) return 0;
  const auto before = std::exchange(arrived_, stream_.available(missing_.bytes));
  return arrived_ - std::min(arrived_, before);
}

bool MessageIntake::may_have_unread_message() const {
  return awaits_memory() ? rest_has_arrived() : stream_.has_input();
}

}  // namespace walkpaddle::net
