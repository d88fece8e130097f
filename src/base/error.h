/// \file
/// The exceptions of the program. The message says what went wrong and where, and quotes the invalid value;
/// the class tells where the fault lies: in the input, in the store or in the system.
///
///     Error
///       InputError       invalid text or bytes from outside the program
///         ConfigError    an invalid configuration file: file, line, key, value and allowed values
///         ProtocolError  an invalid message of another process: its sender and the position of the fault
///       StoreError       the store on disk cannot be opened, read or written
///       SystemError      a system call failed, with its errno
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace walkpaddle {

/// The base class of all exceptions of the program.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Invalid text or bytes from outside the program. Thrown directly where the origin is not known.
class InputError : public Error {
 public:
  using Error::Error;
};

/// An invalid configuration. Fields that do not apply are empty; `line` is then 0.
class ConfigError : public InputError {
 public:
  /// The place of an error in a configuration.
  struct Location {
    /// Path of the file.
    std::string file{};
    int line = 0;  ///< line number from 1; 0 if the format of the file provides none
    /// The key within the file; empty if the error concerns no single key.
    std::string key{};
  };
  /// An error that concerns no single value, such as a missing section or two that contradict each other.
  ConfigError(Location where, const std::string& what);
  /// A value that is not allowed. `allowed` describes the allowed ones for the operator, such as "1 to 100".
  ConfigError(Location where, std::string_view value, std::string allowed);
  /// A value that is not allowed, with a message of its own.
  ConfigError(Location where, const std::string& what, std::string value, std::string allowed);

  /// File, line and key of the error.
  const Location& where() const { return where_; }
  /// The invalid value in full; empty if no single value is.
  const std::string& value() const { return value_; }
  /// The allowed values, as described in the message.
  const std::string& allowed() const { return allowed_; }

 private:
  Location where_;
  std::string value_;
  std::string allowed_;
};

/// A message of another process that violates the protocol.
class ProtocolError : public InputError {
 public:
  /// Stands for a position that is not known.
  static constexpr std::size_t kUnknownPosition = ~std::size_t{};

  /// `peer`: address or name of the sender, empty if not known. `position`: offset of the fault in bytes from
  /// the beginning of the message.
  explicit ProtocolError(const std::string& what, std::string peer = {},
                         std::size_t position = kUnknownPosition);

  const std::string& peer() const { return peer_; }  ///< address or name of the sender; empty if not known
  /// Offset of the fault in bytes from the beginning of the message.
  std::size_t position() const { return position_; }

 private:
  std::string peer_;
  std::size_t position_;
};

/// The store on disk cannot be used: it belongs to another router, is damaged, full, or of a later version.
class StoreError : public Error {
 public:
  using Error::Error;
};

/// A system call failed.
class SystemError : public Error {
 public:
  /// `action`: what was attempted, for the operator, such as "listen on 127.0.0.1:6565". `error_number`:
  /// errno.
  SystemError(const std::string& action, int error_number);
  int error_number() const { return error_number_; }  ///< errno after the call

 private:
  int error_number_;
};

}  // namespace walkpaddle
