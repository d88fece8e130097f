#include "io/log.h"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace walkpaddle {

namespace {

// What tells of the router's own course; all other kinds tell of something that went wrong.
constexpr std::string_view kCourse[] = {"start", "phase", "reload", "purge"};

// A pipe whose reader stands still is full at some time. Guards against a router that stands still with it.
bool would_block() {
  pollfd out{STDERR_FILENO, POLLOUT, 0};
  return ::poll(&out, 1, 0) == 0;
}

}  // namespace

Log::Log(std::string name, Format form) : name_(std::move(name)), form_(form) {
  out_ = std::make_unique<spdlog::logger>(name_, std::make_shared<spdlog::sinks::stderr_sink_st>());
  out_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      form == Format::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                           : "%Y-%m-%dT%H:%M:%S.%eZ %n %v",
      spdlog::pattern_time_type::utc));
}

Log::~Log() = default;

int Log::admit(std::string_view kind) {
  constexpr int kASecond = 5;  // enough to see who is concerned; a lost location has a handful of members
  const Seconds second = static_cast<Seconds>(
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
          .count());
  auto it = kinds_.find(kind);
  if (it == kinds_.end()) it = kinds_.emplace(std::string(kind), Kind{}).first;
  auto& k = it->second;
  if (k.second != second) {
    k.second = second;
    k.lines = 0;
  }
  if (++k.lines > kASecond || would_block()) {
    ++k.left_out;
    return -1;
  }
  return std::exchange(k.left_out, 0);
}

void Log::write(std::string_view kind, const std::string& text, int left_out) {
  const auto level =
      std::ranges::find(kCourse, kind) != std::end(kCourse) ? spdlog::level::info : spdlog::level::warn;
  if (form_ == Format::json) {
    using nlohmann::json;
    const auto quoted = [](std::string_view s) {
      return json(s).dump(-1, ' ', false, json::error_handler_t::replace);
    };
    out_->log(level, "\"part\":{},\"event\":{},\"fields\":{{\"text\":{},\"left_out\":{}}}", quoted(name_),
              quoted(kind), quoted(text), left_out);
  } else if (left_out > 0) {
    out_->log(level, "{}: {} ({} such lines left out before)", kind, text, left_out);
  } else {
    out_->log(level, "{}: {}", kind, text);
  }
}

}  // namespace walkpaddle
