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

// Kinds that report the router's normal operation; all other kinds report that something went wrong.
constexpr std::string_view kInfoKinds[] = {"start", "phase", "reload", "purge"};

// A pipe whose reader has stalled fills up. Prevents the router from blocking on a write to it.
bool would_block() {
  pollfd out{STDERR_FILENO, POLLOUT, 0};
  return ::poll(&out, 1, 0) == 0;
}

}  // namespace

Log::Log(std::string name, Format format) : name_(std::move(name)), format_(format) {
  out_ = std::make_unique<spdlog::logger>(name_, std::make_shared<spdlog::sinks::stderr_sink_st>());
  out_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      format == Format::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                             : "%Y-%m-%dT%H:%M:%S.%eZ %n %v",
      spdlog::pattern_time_type::utc));
}

Log::~Log() = default;

int Log::admit(std::string_view kind) {
  // Enough to show which endpoints are affected: a location that is lost has only a handful.
  constexpr int kMaxLinesPerSecond = 5;
  const Seconds second = static_cast<Seconds>(
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
          .count());
  auto it = kinds_.find(kind);
  if (it == kinds_.end()) it = kinds_.emplace(std::string(kind), KindState{}).first;
  auto& state = it->second;
  if (state.second != second) {
    state.second = second;
    state.lines = 0;
  }
  if (++state.lines > kMaxLinesPerSecond || would_block()) {
    ++state.dropped;
    return -1;
  }
  return std::exchange(state.dropped, 0);
}

void Log::write(std::string_view kind, const std::string& text, int dropped) {
  const auto level =
      std::ranges::find(kInfoKinds, kind) != std::end(kInfoKinds) ? spdlog::level::info : spdlog::level::warn;
  if (format_ == Format::json) {
    using nlohmann::json;
    const auto quoted = [](std::string_view s) {
      return json(s).dump(-1, ' ', false, json::error_handler_t::replace);
    };
    out_->log(level, "\"part\":{},\"event\":{},\"fields\":{{\"text\":{},\"left_out\":{}}}", quoted(name_),
              quoted(kind), quoted(text), dropped);
  } else if (dropped > 0) {
    out_->log(level, "{}: {} ({} earlier lines of this kind dropped)", kind, text, dropped);
  } else {
    out_->log(level, "{}: {}", kind, text);
  }
}

}  // namespace walkpaddle
