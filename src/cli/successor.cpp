#include "cli/successor.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <filesystem>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"

namespace walkpaddle::cli {

namespace {

using Variables = std::vector<std::pair<std::string, std::string>>;

Variables successor_variables(const server::Successor& successor) {
  return {{server::kGenerationVariable, successor.move.to},
          {server::kPredecessorVariable, std::filesystem::read_symlink("/proc/self/exe").string()},
          {server::kSettingsVariable, successor.settings_lines},
          {server::kListenerVariable, std::to_string(successor.listener.get())}};
}

// The environment of this process with `variables` added; they replace existing ones of the same name.
std::vector<std::string> environment_with(const Variables& variables) {
  std::vector<std::string> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const auto replaced = [&](const auto& variable) {
      return std::string_view(*entry).starts_with(variable.first + "=");
    };
    if (std::ranges::none_of(variables, replaced)) environment.emplace_back(*entry);
  }
  for (const auto& [name, value] : variables) {
    auto& entry = environment.emplace_back(name);
    entry.append("=").append(value);
  }
  return environment;
}

// A null-terminated array for execve(2), pointing into `texts`.
std::vector<char*> null_terminated_pointers(std::vector<std::string>& texts) {
  std::vector<char*> all;
  all.reserve(texts.size() + 1);
  for (auto& text : texts) all.push_back(text.data());
  all.push_back(nullptr);
  return all;
}

}  // namespace

void exec_successor(const server::Successor& successor, const std::string& operator_file) {
  auto environment = environment_with(successor_variables(successor));
  std::vector<std::string> arguments = {successor.program, "run", "--file", operator_file};
  const auto environment_pointers = null_terminated_pointers(environment);
  const auto argument_pointers = null_terminated_pointers(arguments);
  constexpr int kInheritOnExec = 0;  // without FD_CLOEXEC
  ::fcntl(successor.listener.get(), F_SETFD, kInheritOnExec);
  ::alarm(static_cast<unsigned>(std::ceil(successor.move.plan.ready_within)));
  ::execve(successor.program.c_str(), argument_pointers.data(), environment_pointers.data());
  const int error_number = errno;
  throw SystemError("cannot run " + successor.program, error_number);
}

}  // namespace walkpaddle::cli
