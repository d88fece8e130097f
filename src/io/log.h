// Lines to standard error, by spdlog: as text, or as JSON objects of one line (time, level, part, event,
// fields). Lines of one kind are bounded: past a few a second, and while nobody reads what was written, they
// are counted, and the count stands in the next one that is written.
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

class Log {
 public:
  enum class Format { text, json };
  explicit Log(std::string name, Format form = Format::text);
  ~Log();

  template <class... Args>
  void operator()(std::string_view kind, fmt::format_string<Args...> form, Args&&... args) {
    if (const int left_out = admit(kind); left_out >= 0)
      write(kind, fmt::format(form, std::forward<Args>(args)...), left_out);
  }

 private:
  struct Kind {
    Seconds second = 0;
    int lines = 0, left_out = 0;
  };
  int admit(std::string_view kind);  // lines left out before this one, -1 if it is left out too
  void write(std::string_view kind, const std::string& text, int left_out);

  const std::string name_;
  const Format form_;
  std::unique_ptr<spdlog::logger> out_;
  std::map<std::string, Kind, std::less<>> kinds_;
};

}  // namespace walkpaddle
