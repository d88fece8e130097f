/// \file
/// The items of the replicated calendar, and their Cap'n Proto form (freeze.capnp), in which they go over the
/// wire and into the store. No I/O.
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

/// Texts of exceptions and withdrawals are at most so long.
constexpr std::size_t kMaxTextBytes = 200;

/// A router holds a window's withdrawal; it is in force once a majority of the fleet does.
struct Withdrawal {
  std::string window;         ///< its name
  std::uint32_t version = 0;  ///< this version and the earlier ones are withdrawn
  std::uint64_t holder = 0;   ///< stable hash of the router's name
  /// Field by field, in the order of the declarations.
  auto operator<=>(const Withdrawal&) const = default;
};

/// One change may go on in one window until it ends: by two people, with a reason.
struct Exception {
  std::string change;                      ///< name of the rollout
  std::string window;                      ///< name of the window
  std::string reason;                      ///< for people
  std::array<std::string, 2> approvers{};  ///< two people
  std::uint32_t version = 1;               ///< a later one replaces an earlier one
  Seconds until = 0;                       ///< Unix time
  /// Field by field, in the order of the declarations.
  auto operator<=>(const Exception&) const = default;
};

/// What is wrong with an exception, in words for its author; nullopt: nothing.
std::optional<std::string> refusal(const Exception& exception, Seconds now);

/// What an item says.
using CalendarItem = std::variant<Window, Withdrawal, Exception>;

/// The bytes of an item; equal values have equal bytes.
std::string encode(const Window& window);
/// As above.
std::string encode(const Withdrawal& withdrawal);
/// As above.
std::string encode(const Exception& exception);

/// Reads an item, unchecked; throws InputError where it cannot be read. nullopt: an item of a newer router.
std::optional<CalendarItem> decode_item(std::string_view bytes);

}  // namespace walkpaddle::freeze
