#include "base/error.h"

#include <system_error>
#include <utility>

namespace walkpaddle {

namespace {

constexpr std::size_t kMaxValueBytes = 60;  // of an invalid value, as quoted in a message

std::string place_text(const ConfigError::Location& where) {
  std::string text = where.file;
  if (where.line > 0) text.append(":").append(std::to_string(where.line));
  return text.empty() ? text : text + ": ";
}

std::string value_text(const ConfigError::Location& where, std::string_view value,
                       const std::string& allowed) {
  return place_text(where) + where.key + " is '" + std::string(value.substr(0, kMaxValueBytes)) +
         "', expected " + allowed;
}

std::string peer_text(const std::string& peer, const std::string& what) {
  return peer.empty() ? what : peer + ": " + what;
}

}  // namespace

ConfigError::ConfigError(Location where, const std::string& what)
    : InputError(place_text(where) + what), where_(std::move(where)) {}

ConfigError::ConfigError(Location where, std::string_view value, std::string allowed)
    : InputError(value_text(where, value, allowed)),
      where_(std::move(where)),
      value_(value),
      allowed_(std::move(allowed)) {}

ConfigError::ConfigError(Location where, const std::string& what, std::string value, std::string allowed)
    : InputError(place_text(where) + what),
      where_(std::move(where)),
      value_(std::move(value)),
      allowed_(std::move(allowed)) {}

ProtocolError::ProtocolError(const std::string& what, std::string peer, std::size_t position)
    : InputError(peer_text(peer, what)), peer_(std::move(peer)), position_(position) {}

SystemError::SystemError(const std::string& action, int error_number)
    : Error(action + ": " + std::generic_category().message(error_number)), error_number_(error_number) {}

}  // namespace walkpaddle
