#pragma once

#include <unistd.h>

#include <utility>

namespace walkpaddle {

/// Owns a file descriptor and closes it on destruction. A default-constructed or moved-from Fd is invalid.
class Fd {
 public:
  Fd() = default;
  /// Takes ownership of `fd`; -1 gives an invalid Fd.
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (const Fd old(std::exchange(fd_, -1)); this != &other) fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  ~Fd() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace walkpaddle
