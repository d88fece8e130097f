/// \file
/// The items of the replicated calendar, and their Cap'n Proto form (freeze.capnp), in which they are sent to
/// other routers and stored. No I/O.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"
#include "freeze/window.h"

namespace walkpaddle::freeze {

/// The maximum length of a text in an exception or withdrawal, in bytes.
constexpr std::size_t kMaxTextBytes = 200;

/// States that one router holds the withdrawal of a window. The withdrawal is in force once a majority of the
/// fleet holds it.
struct Withdrawal {
  std::string window;         ///< name of the window
  std::uint32_t version = 0;  ///< this version and the earlier ones are withdrawn
  std::uint64_t holder = 0;   ///< stable hash of the router's name
  /// Compares field by field, in the order of their declaration.
  auto operator<=>(const Withdrawal&) const = default;
};

/// Permits one change during one window until the exception ends. Two people have to approve it and give a
/// reason.
struct Exception {
  std::string change;                      ///< name of the rollout
  std::string window;                      ///< name of the window
  std::string reason;                      ///< for people
  std::array<std::string, 2> approvers{};  ///< names of the two people who approve it
  std::uint32_t version = 1;               ///< a later version replaces an earlier one
  Seconds until = 0;                       ///< end of the exception, Unix time
  /// Compares field by field, in the order of their declaration.
  auto operator<=>(const Exception&) const = default;
};

/// Why the exception is invalid, as a message for its author; nullopt if it is valid.
std::optional<std::string> refusal(const Exception& exception, Seconds now);

/// A decoded item.
using CalendarItem = std::variant<Window, Withdrawal, Exception>;

/// Encodes an item; equal values have equal bytes.
std::string encode(const Window& window);
/// Encodes an item; see above.
std::string encode(const Withdrawal& withdrawal);
/// Encodes an item; see above.
std::string encode(const Exception& exception);

/// Decodes an item without validating it. Throws InputError if it cannot be read; nullopt if it is of a kind
/// that only newer routers know.
std::optional<CalendarItem> decode_item(std::string_view bytes);

}  // namespace walkpaddle::freeze
