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

constexpr Seconds kStartWarmUp = 5;   // of a start; a document says how long after a step of its own
constexpr Seconds kCatchUpLimit = 2;  // a started program is ready by then, whether it has caught up or not

std::string read_whole(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw InputError("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

compat::Release read_release(const fs::path& folder) {
  std::vector<std::string> schemas;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.path().extension() == ".bin") schemas.push_back(read_whole(entry.path()));
  if (error) throw InputError("cannot read the folder " + folder.string());
  return compat::read_release(schemas, read_whole(folder / "rules.json"));
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

// An epoch of counters: microseconds, so that each is later than the one before.
std::uint64_t epoch_of(Seconds now) { return static_cast<std::uint64_t>(now * 1e6); }

}  // namespace

std::optional<rollout::RolloutCoordinator::Setup> RolloutAgent::changes_setup() {
  const auto& rollouts = parts_.operators.rollouts;
  if (!rollouts.enabled) return std::nullopt;
  const char* handed_generation = std::getenv(kGenerationVariable);
  const std::string generation = handed_generation != nullptr ? handed_generation : rollouts.generation;
  // What a predecessor handed on stands in the configuration already.
  if (const char* lines = std::getenv(kSettingsVariable)) settings_lines_ = lines;
  generations_[generation] = settings_lines_;
  rollout::RolloutCoordinator::Setup setup{
      .name = parts_.operators.fleet.name,
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
  for (const auto& peer : parts_.operators.fleet.peers) setup.peers.push_back({peer.name, peer.site});
  const Seconds now = parts_.scheduler.now();
  parts_.dispatcher.begin_metrics(epoch_of(now), now + kStartWarmUp);
  return setup;
}

void RolloutAgent::turn_ends() {
  if (ready_ || !rollouts_on() || parts_.lifecycle.phase() != Phase::serving) return;
  const bool caught_up = !replication_->gossip().catching_up();
  if (caught_up || parts_.scheduler.now() > replication_->started() + kCatchUpLimit) started_program_ready();
}

// The alarm is the one that the predecessor set: past it the kernel ends a start that hangs.
void RolloutAgent::started_program_ready() {
  ready_ = true;
  ::alarm(0);
  parts_.log("change", "this router runs {}", replication_->rollouts()->rollout().running());
  reload_documents();
}

// All of the folder, or nothing of it and one line that says why.
void RolloutAgent::reload_documents() {
  if (!rollouts_on()) return;
  const Seconds now = parts_.scheduler.now();
  const auto& folder = parts_.operators.rollouts.folder;
  try {
    const auto documents = admin::read_change_documents(folder, now);
    auto& calendar = replication_->rollouts()->calendar();
    auto& rollout = replication_->rollouts()->rollout();
    for (const auto& window : documents.windows) calendar.declare(window);
    for (const auto& [window, version] : documents.withdrawals) calendar.withdraw(window, version);
    for (const auto& exception : documents.exceptions) calendar.add_exception(exception);
    for (const auto& document : documents.changes) rollout.propose(document, now);
    for (const auto& [change, reason] : documents.stops) rollout.stop(change, reason, now);
    parts_.log("change", "{}: {} windows, {} changes", folder, documents.windows.size(),
               documents.changes.size());
  } catch (const InputError& e) {
    parts_.log("change", "kept as it was: {}", e.what());
  }
}

void RolloutAgent::carry_out(const rollout::GenerationMove& move) {
  if (parts_.lifecycle.phase() != Phase::serving) return;  // it ends, and no other program begins for it
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
    return rollout.move_failed("'" + program + "' is no program here");
  }
  successor_ = Successor{move, program, settings_lines_, Fd()};
  parts_.signals.wake();
}

// The policy takes settings between two turns: no request notices. What the platform configured stays under
// them, so that going back is handing over what was before.
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
  parts_.dispatcher.begin_metrics(epoch_of(now), now + move.plan.warm_up);
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
  parts_.log("change", "makes way for {}", successor_->move.to);
  successor_->listener = std::move(listener);
}

}  // namespace walkpaddle::server
