#include "routing/output_admission.h"

#include <algorithm>
#include <optional>

#include "routing/admission.h"

namespace walkpaddle::routing {

namespace {

constexpr std::size_t kLargestAnswerBytes = 240'000;
// Unsent and expected bytes of one client. The most is enough for a client that reads fast to be kept busy
// for a few round trips. With the least, answers follow one another while the kernel still has some to send.
constexpr double kMaxWindowBytes = 1 << 20;
constexpr double kMinWindowBytes = kLargestAnswerBytes;
// What the kernel holds for a client while it accepts no more: twice the size that was set for its buffer, as
// Linux has it (socket(7), SO_SNDBUF). It accepts output again once a third of it is free.
constexpr double kKernelBytes = 512 * 1024;
constexpr double kKernelStepBytes = kKernelBytes / 3;

// The highest rate at which the client may be reading, in bytes per second; nullopt: not known yet, or its
// answers are sent as fast as they come.
std::optional<double> max_read_rate(const ClientOutput& output) {
  constexpr Seconds kMinObservation = 0.5;
  if (output.backlog_duration < kMinObservation) return std::nullopt;
  return (static_cast<double>(output.backlog_taken) + kKernelStepBytes) / output.backlog_duration;
}

// Whether the client needs more than this time for so many bytes, and those that the kernel holds before
// them.
bool takes_longer(const ClientOutput& output, double bytes, Seconds time) {
  constexpr Seconds kClientDelay = 0.25;  // for what was sent and the client has not read
  const auto rate = max_read_rate(output);
  return rate && (bytes + kKernelBytes) / *rate + kClientDelay > time;
}

// Bytes that the client may have unsent and expected.
double window_bytes(const ClientOutput& output, double free_bytes) {
  constexpr Seconds kWindowTime = 0.25;  // some round trips to an endpoint
  constexpr double kShareOfFree = 0.5;   // so that as much stays free as two busy clients have
  double window = free_bytes * kShareOfFree;
  if (output.backlog_duration > 0) window = std::min(window, max_read_rate(output).value_or(0) * kWindowTime);
  return std::clamp(window, kMinWindowBytes, kMaxWindowBytes);
}

}  // namespace

void OutputAdmission::answered(std::size_t body_bytes) {
  constexpr double kWeight = 0.05;  // of one answer in the mean
  const auto bytes = static_cast<double>(body_bytes);
  if (mean_body_bytes_ < 0) mean_body_bytes_ = bytes;
  mean_body_bytes_ += (bytes - mean_body_bytes_) * kWeight;
}

double OutputAdmission::body_bytes() const {
  return mean_body_bytes_ < 0 ? static_cast<double>(kLargestAnswerBytes) : mean_body_bytes_;
}

double OutputAdmission::expected_bytes(const ClientOutput& output, std::size_t requests) const {
  return static_cast<double>(output.unsent_bytes) +
         static_cast<double>(output.open_requests + requests) * body_bytes();
}

bool OutputAdmission::would_be_late(const ClientOutput& output, std::size_t requests_before,
                                    Seconds time_left) const {
  return time_left < kMinAttemptDuration ||
         takes_longer(output, expected_bytes(output, requests_before + 1), time_left);
}

bool OutputAdmission::answer_is_late(const ClientOutput& output, std::size_t body_bytes, Seconds time_left) {
  return takes_longer(output, static_cast<double>(output.unsent_bytes + body_bytes), time_left);
}

OutputAdmission::Verdict OutputAdmission::decide(const ClientOutput& output, std::size_t requests_before,
                                                 std::size_t free_bytes, Seconds deadline,
                                                 Seconds now) const {
  if (would_be_late(output, requests_before, deadline - now)) return Verdict::reject;
  const bool has_read_all = output.unsent_bytes == 0 && output.open_requests + requests_before == 0;
  const double set_aside = static_cast<double>(started_) * body_bytes();
  const double window = window_bytes(output, static_cast<double>(free_bytes) - set_aside);
  const bool fits = expected_bytes(output, requests_before + 1) <= window;
  return has_read_all || fits ? Verdict::start : Verdict::wait;
}

}  // namespace walkpaddle::routing
