// A small logger to standard error. Lines of one kind are bounded: past a few a second they are counted, and
// the count stands in the next one that is written.
#pragma once

#include <fmt/core.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "brain.h"

namespace walkpaddle::net {

class Log {
 public:
  explicit Log(std::string name) : name_(std::move(name)) {}

  template <class... Args>
  void operator()(std::string_view kind, fmt::format_string<Args...> form, Args&&... args) {
    if (const int left_out = admit(kind); left_out >= 0)
      write(kind, fmt::format(form, std::forward<Args>(args)...), left_out);
  }

 private:
  struct Kind {
    Sec second = 0;
    int lines = 0, left_out = 0;
  };
  int admit(std::string_view kind);  // lines left out before this one, -1 if it is left out too
  void write(std::string_view kind, const std::string& text, int left_out);

  std::string name_;
  std::map<std::string, Kind, std::less<>> kinds_;
};

}  // namespace walkpaddle::net
