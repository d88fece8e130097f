// The adapter between the routing policy and a simulator: reads the simulator's messages from standard input,
// line by line, and answers each batch on standard output.
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "simulator/simulator_adapter.h"

namespace {

int fail(long line_number, std::string_view line, const char* what) {
  const std::string name(line.substr(0, line.find(' ')).substr(0, 40));
  std::fprintf(stderr, "walkpaddle_simulator: line %ld: %s: %s\n", line_number, name.c_str(), what);
  return 1;
}

}  // namespace

int main() {
  walkpaddle::simulator::SimulatorAdapter adapter;
  std::vector<char> buffer(1 << 20);
  std::size_t begin = 0;
  std::size_t end = 0;
  long line_number = 0;
  for (;;) {
    auto* start = buffer.data() + begin;
    auto* eol = static_cast<char*>(std::memchr(start, '\n', end - begin));
    if (eol == nullptr) {
      std::memmove(buffer.data(), start, end - begin);
      end -= begin;
      begin = 0;
      if (end == buffer.size()) buffer.resize(buffer.size() * 2);
      const ssize_t got = ::read(0, buffer.data() + end, buffer.size() - end);
      if (got > 0) {
        end += static_cast<std::size_t>(got);
        continue;
      }
      if (end != 0) return fail(line_number + 1, {buffer.data(), end}, "input ends within a line");
      if (adapter.inside_batch()) return fail(line_number, "END", "input ends within a batch");
      return 0;
    }
    std::string_view line(start, static_cast<std::size_t>(eol - start));
    begin += line.size() + 1;
    ++line_number;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    try {
      if (adapter.handle_line(line)) {
        std::fwrite(adapter.reply().data(), 1, adapter.reply().size(), stdout);
        std::fflush(stdout);
      }
    } catch (const std::exception& e) {
      return fail(line_number, line, e.what());
    }
  }
}
