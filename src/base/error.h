/// \file
/// The exceptions that the program throws. Each says what went wrong, where, and the offending value; the
/// class says who can do something about it.
///
///     Error
///       InputError       text or bytes from outside that cannot be used
///         ConfigError    ... from a configuration file: file, line, key, value, what is allowed
///         ProtocolError  ... from another process: who sent it, and where in what it sent
///       StoreError       the store on disk cannot be opened, read or written
///       SystemError      a system call failed, with its errno
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace walkpaddle {

/// What all exceptions of this program derive from.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Text or bytes from outside that cannot be used, where it is not known here whose they are.
class InputError : public Error {
 public:
  using Error::Error;
};

/// A configuration that cannot be used. The fields that do not apply are empty, `line` is then 0.
class ConfigError : public InputError {
 public:
  /// Where the error stands.
  struct Location {
    /// Its path.
    std::string file{};
    int line = 0;  ///< from 1; 0 where the form of the file tells no lines
    /// Within the file; empty where no key is at fault.
    std::string key{};
  };
  /// An error that is no single value's: a section that is missing, two that contradict each other.
  ConfigError(Location where, const std::string& what);
  /// A value that is not among those allowed. `allowed` names them as an operator reads it: "1 to 100".
  ConfigError(Location where, std::string_view value, std::string allowed);
  /// The same where the message has words of its own.
  ConfigError(Location where, const std::string& what, std::string value, std::string allowed);

  /// File, line and key.
  const Location& where() const { return where_; }
  /// The offending value, all of it; empty where none is at fault.
  const std::string& value() const { return value_; }
  /// What would be allowed, as the message says it.
  const std::string& allowed() const { return allowed_; }

 private:
  Location where_;
  std::string value_;
  std::string allowed_;
};

/// Bytes of another process that are not what the protocol allows.
class ProtocolError : public InputError {
 public:
  /// Where it is not known.
  static constexpr std::size_t kUnknownPosition = ~std::size_t{};

  /// `position`: bytes from the beginning of the message.
  explicit ProtocolError(const std::string& what, std::string peer = {},
                         std::size_t position = kUnknownPosition);

  const std::string& peer() const { return peer_; }  ///< its address or name; empty where it is not known
  /// Bytes from the beginning of the message.
  std::size_t position() const { return position_; }

 private:
  std::string peer_;
  std::size_t position_;
};

/// The store on disk cannot be used: it is another's, damaged, full, or of a later version.
class StoreError : public Error {
 public:
  using Error::Error;
};

/// A system call failed.
class SystemError : public Error {
 public:
  /// `action`: what was tried, for the operator: "listen on 127.0.0.1:6565".
  SystemError(const std::string& action, int error_number);
  int error_number() const { return error_number_; }  ///< errno, as the call left it

 private:
  int error_number_;
};

}  // namespace walkpaddle
