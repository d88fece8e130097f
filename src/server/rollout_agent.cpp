#include "server/rollout_agent.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>
#include <vector>

#include "admin/change_documents.h"
#include "base/error.h"
#include "compat/release.h"
#include "freeze/window.h"

namespace walkpaddle::server {

namespace {

namespace fs = std::filesystem;

// Counters are ignored for this long after a start; plans set their own time after a move.
constexpr Seconds kStartupWarmUp = 5;
// A started router counts as ready after this time even if it has not caught up.
constexpr Seconds kCatchUpLimit = 2;

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw InputError("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

compat::Release read_release(const fs::path& folder) {
  std::vector<std::string> schemas;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.path().extension() == ".bin") schemas.push_back(read_file(entry.path()));
  if (error) throw InputError("cannot read the folder " + folder.string());
  return compat::read_release(schemas, read_file(folder / "rules.json"));
}

std::vector<compat::Release> read_releases(const std::string& folder) {
  std::vector<compat::Release> releases;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.is_directory()) releases.push_back(read_release(entry.path()));
  return releases;
}

compat::Release read_release_of(const std::string& folder, const std::string& generation) {
  if (folder.empty()) throw InputError("the operator's file names no protocol folder");
  return read_release(fs::path(folder) / generation);
}

// Number of a counting epoch: the time in microseconds, so that each epoch's number exceeds the one before.
std::uint64_t counter_epoch(Seconds now) { return static_cast<std::uint64_t>(now * 1e6); }

}  // namespace

std::optional<rollout::RolloutCoordinator::Setup> RolloutAgent::coordinator_setup() {
  const auto& rollouts = parts_.operator_config.rollouts;
  if (!rollouts.enabled) return std::nullopt;
  const char* handed_generation = std::getenv(kGenerationVariable);
  const std::string generation = handed_generation != nullptr ? handed_generation : rollouts.generation;
  // parts_.config already includes the settings that a predecessor handed over.
  if (const char* lines = std::getenv(kSettingsVariable)) settings_lines_ = lines;
  generations_[generation] = settings_lines_;
  rollout::RolloutCoordinator::Setup setup{
      .name = parts_.operator_config.fleet.name,
      .site = rollouts.site,
      .generation = generation,
      .peers = {},
      .seed = fold_seed(parts_.config.seed),
      .kept_releases = [folder = rollouts.protocol_folder] { return read_releases(folder); },
      .release_of =
          [folder = rollouts.protocol_folder](const std::string& generation_name) {
            return read_release_of(folder, generation_name);
          },
      .carry_out = [this](const rollout::GenerationMove& move) { carry_out(move); },
      .metrics = [this] { return parts_.metrics.rollout_counters(); }};
  for (const auto& peer : parts_.operator_config.fleet.peers) setup.peers.push_back({peer.name, peer.site});
  const Seconds now = parts_.scheduler.now();
  parts_.dispatcher.begin_metrics(counter_epoch(now), now + kStartupWarmUp);
  return setup;
}

void RolloutAgent::on_turn_end() {
  if (ready_ || !rollouts_enabled() || parts_.lifecycle.phase() != Phase::serving) return;
  const bool caught_up = !replication_->gossip().catching_up();
  if (caught_up || parts_.scheduler.now() > replication_->started() + kCatchUpLimit) finish_start();
}

// Cancels the alarm that the predecessor set, by which the kernel ends a successor that does not become
// ready.
void RolloutAgent::finish_start() {
  ready_ = true;
  ::alarm(0);
  parts_.log("change", "this router runs {}", replication_->rollouts()->rollout().running());
  reload_documents();
}

// Applies all documents of the folder, or none if one is invalid, and logs the reason.
void RolloutAgent::reload_documents() {
  if (!rollouts_enabled()) return;
  const Seconds now = parts_.scheduler.now();
  const auto& folder = parts_.operator_config.rollouts.folder;
  try {
    const auto documents = admin::read_change_documents(folder, now);
    auto& calendar = replication_->rollouts()->calendar();
    auto& rollout = replication_->rollouts()->rollout();
    for (const auto& window : documents.windows) calendar.declare(window);
    for (const auto& [window, version] : documents.withdrawals) calendar.withdraw(window, version);
    for (const auto& exception : documents.exceptions) calendar.add_exception(exception);
    for (const auto& document : documents.changes) rollout.propose(document, now);
    for (const auto& [change, reason] : documents.stops) rollout.stop(change, reason, now);
    parts_.log("change", "read {}: {} freeze windows, {} changes", folder, documents.windows.size(),
               documents.changes.size());
  } catch (const InputError& e) {
    parts_.log("change", "documents not applied: {}", e.what());
  }
}

void RolloutAgent::carry_out(const rollout::GenerationMove& move) {
  if (parts_.lifecycle.phase() != Phase::serving) return;  // the process is ending; no move is executed
  if (move.plan.work == freeze::kRelease)
    request_successor(move);
  else
    apply_generation(move);
}

void RolloutAgent::request_successor(const rollout::GenerationMove& move) {
  const char* predecessor = std::getenv(kPredecessorVariable);
  std::string program;
  if (!move.is_rollback)
    program = move.plan.body;
  else if (predecessor != nullptr)
    program = predecessor;
  if (program.empty() || ::access(program.c_str(), X_OK) != 0) {
    auto& rollout = replication_->rollouts()->rollout();
    return rollout.move_failed("'" + program + "' is not an executable file on this router");
  }
  successor_ = Successor{move, program, settings_lines_, Fd()};
  parts_.signals.wake();
}

// The policy takes new settings between two turns, without interrupting requests. The generation's settings
// are added to the platform's each time, so that a rollback only has to apply the earlier generation's
// settings.
void RolloutAgent::apply_generation(const rollout::GenerationMove& move) {
  auto& rollout = replication_->rollouts()->rollout();
  const Seconds now = parts_.scheduler.now();
  const auto& lines = settings_of(move);
  try {
    auto settings = parts_.config.settings;
    settings.put_lines(lines);
    config::check_settings(settings);
    parts_.dispatcher.settings_changed(settings);
  } catch (const InputError& e) {
    return rollout.move_failed(e.what());
  }
  settings_lines_ = lines;
  parts_.dispatcher.begin_metrics(counter_epoch(now), now + move.plan.warm_up);
  rollout.moved();
}

const std::string& RolloutAgent::settings_of(const rollout::GenerationMove& move) {
  auto& lines = generations_[move.to];
  if (!move.is_rollback) {
    lines = generations_[move.plan.before];
    lines += (lines.empty() ? "" : "\n") + move.plan.body;
  }
  return lines;
}

void RolloutAgent::take_listener(Fd listener) {
  parts_.log("change", "hands over to {}", successor_->move.to);
  successor_->listener = std::move(listener);
}

}  // namespace walkpaddle::server
