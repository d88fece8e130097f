#pragma once

#include <fmt/core.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"

namespace spdlog {
class logger;
}

namespace walkpaddle {

/// Writes log lines to standard error through spdlog, as text or as JSON objects (time, level, part, event,
/// fields), one per line. The rate of each kind of line is limited: lines over the limit, and lines that
/// would block because nobody reads standard error, are dropped and counted. The next line of that kind
/// reports the count.
class Log {
 public:
  /// The format of a line.
  enum class Format { text, json };
  /// `name`: the logger's name, part of every line.
  explicit Log(std::string name, Format format = Format::text);
  ~Log();

  /// Writes a line of this kind unless the rate limit drops it. `format` and `args` as for fmt::format.
  template <class... Args>
  void operator()(std::string_view kind, fmt::format_string<Args...> format, Args&&... args) {
    if (const int dropped = admit(kind); dropped >= 0)
      write(kind, fmt::format(format, std::forward<Args>(args)...), dropped);
  }

 private:
  struct KindState {
    Seconds second = 0;
    int lines = 0, dropped = 0;
  };
  // Returns the number of lines dropped since the last written line of this kind, or -1 if this line is to be
  // dropped too.
  int admit(std::string_view kind);
  void write(std::string_view kind, const std::string& text, int dropped);

  const std::string name_;
  const Format format_;
  std::unique_ptr<spdlog::logger> out_;
  std::map<std::string, KindState, std::less<>> kinds_;
};

}  // namespace walkpaddle
