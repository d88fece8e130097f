#include "rollout/messages.h"

#include <xxhash.h>

#include <algorithm>

#include "base/error.h"
#include "base/text.h"
#include "change/change.capnp.h"
#include "replica/capnp_message.h"
#include "replica/replicated_state.h"

namespace walkpaddle::rollout {

namespace {

namespace schema = change::schema;

constexpr double kMaxMemoryMb = 1e9;

void write_metrics(schema::Counters::Builder counters, const RolloutMetrics& metrics) {
  counters.setEpoch(metrics.epoch);
  counters.setTxns(metrics.requests);
  counters.setRefused(metrics.rejected);
  counters.setFailed(metrics.failed);
  counters.setLate(metrics.late);
  counters.setHops(metrics.attempts);
  counters.setFills(metrics.fills);
  counters.setTurnedAway(metrics.rejected_attempts);
  counters.setBreaches(metrics.invariant_violations);
  counters.setMemoryMb(static_cast<float>(metrics.memory_mb));
  counters.setCpuS(metrics.cpu_time);
  auto latency = counters.initTook(RolloutMetrics::kLatencyBuckets);
  for (unsigned n = 0; n < metrics.latency.size(); ++n) latency.set(n, metrics.latency[n]);
}

RolloutMetrics read_metrics(const schema::Counters::Reader& counters) {
  RolloutMetrics metrics{.epoch = counters.getEpoch(),
                         .requests = counters.getTxns(),
                         .rejected = counters.getRefused(),
                         .failed = counters.getFailed(),
                         .late = counters.getLate(),
                         .attempts = counters.getHops(),
                         .fills = counters.getFills(),
                         .rejected_attempts = counters.getTurnedAway(),
                         .invariant_violations = counters.getBreaches(),
                         .memory_mb = counters.getMemoryMb(),
                         .cpu_time = replica::checked_time(counters.getCpuS())};
  const bool memory_in_range = metrics.memory_mb >= 0 && metrics.memory_mb < kMaxMemoryMb;
  if (!memory_in_range) throw_bad_value("memory", std::to_string(metrics.memory_mb));
  const auto latency = counters.getTook();
  const auto buckets = std::min<unsigned>(latency.size(), RolloutMetrics::kLatencyBuckets);
  for (unsigned n = 0; n < buckets; ++n) metrics.latency[n] = latency[n];
  return metrics;
}

DriverRequest read_request(const schema::Ask::Reader& ask) {
  return {.rollout = ask.getChange(),
          .term = ask.getTerm(),
          .kind = ask.getVote() ? RequestKind::vote : RequestKind::report,
          .decided_stage = ask.getStage(),
          .wanted_stage = ask.getWanted(),
          .turns = ask.getTurn()};
}

std::optional<RolloutMessage> read_report(const schema::Report::Reader& report, std::uint64_t driven) {
  if (report.getPhase() > static_cast<int>(RouterPhase::held))
    throw_bad_value("phase", std::to_string(report.getPhase()));
  if (driven == 0 || report.getChange() != driven) return std::nullopt;
  return RouterReport{.rollout = report.getChange(),
                      .term = report.getTerm(),
                      .vote_granted = report.getGranted(),
                      .agreed_stage = report.getAcked(),
                      .agreed_term = report.getAckedUnder(),
                      .phase = static_cast<RouterPhase>(report.getPhase()),
                      .metrics = read_metrics(report.getCounters()),
                      .sent = report.getSent()};
}

}  // namespace

std::uint64_t message_id(std::string_view rollout) { return XXH3_64bits(rollout.data(), rollout.size()) | 1; }

std::string encode(const DriverRequest& request) {
  capnp::MallocMessageBuilder message;
  auto ask = message.initRoot<schema::Letter>().initAsk();
  ask.setChange(request.rollout);
  ask.setTerm(request.term);
  ask.setVote(request.kind == RequestKind::vote);
  ask.setStage(request.decided_stage);
  ask.setWanted(request.wanted_stage);
  ask.setTurn(request.turns);
  return replica::message_bytes(message);
}

std::string encode(const RouterReport& report) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<schema::Letter>().initReport();
  out.setChange(report.rollout);
  out.setTerm(report.term);
  out.setGranted(report.vote_granted);
  out.setAcked(report.agreed_stage);
  out.setAckedUnder(report.agreed_term);
  out.setPhase(static_cast<std::uint8_t>(report.phase));
  out.setSent(report.sent);
  write_metrics(out.initCounters(), report.metrics);
  return replica::message_bytes(message);
}

std::optional<RolloutMessage> decode_message(std::string_view bytes, std::uint64_t driven) {
  constexpr auto kMaxBytes = replica::ReplicatedState::kMaxItemBytes;
  if (bytes.size() > kMaxBytes) throw_bad_value("message of length", std::to_string(bytes.size()));
  return replica::read_root<schema::Letter>(
      bytes, kMaxBytes, [&](const schema::Letter::Reader& letter) -> std::optional<RolloutMessage> {
        switch (letter.which()) {
          case schema::Letter::ASK:
            return read_request(letter.getAsk());
          case schema::Letter::REPORT:
            return read_report(letter.getReport(), driven);
        }
        return std::nullopt;
      });
}

}  // namespace walkpaddle::rollout
