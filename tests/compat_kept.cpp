// Checks the present release against the releases that are kept from earlier: a commit that is incompatible
// with a router of one of them fails here. Prints a line for each kept release, followed by the findings.
//   compat_kept FOLDER FOLDER...
// The first folder is the present release. Each folder holds *.bin (requests of the schema compiler) and
// rules.json.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "compat/compatibility.h"
#include "gossip/protocol_version.h"

using namespace walkpaddle::compat;

namespace {

std::string read_file(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

Release read_release_folder(const std::filesystem::path& folder) {
  std::vector<std::string> requests;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == ".bin") requests.push_back(read_file(entry.path()));
  return read_release(requests, read_file(folder / "rules.json"));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const auto present = read_release_folder(argv[1]);
  // The versions that this program announces have to be those in its rules.
  const char* names[] = {"links", "gossip", "calendar", "changes", "store.purges"};
  bool good = true;
  for (int n = 0; n < kAnnouncedChannels; ++n) {
    const int announced = walkpaddle::gossip::kChannelVersions[n],
              in_rules = present.channels.at(names[n]).version;
    std::printf("%s: announced %d, in its rules %d\n", names[n], announced, in_rules);
    good = good && announced == in_rules;
  }
  for (int n = 2; n < argc; ++n) {
    const auto kept = read_release_folder(argv[n]);
    const auto report = check_compatibility(present, {{"a router of " + kept.name, &kept, false}});
    const bool unsupported = present.unsupported_releases.contains(kept.name);
    std::printf("%s with %s: %s\n", present.name.c_str(), kept.name.c_str(),
                unsupported                                   ? "not supported, by its rules"
                : report.compatibility == Compatibility::safe ? "safe"
                : report.may_start() ? "safe, as the new form is written only once all routers read it"
                : report.compatibility == Compatibility::conditional ? "NOT SAFE YET"
                                                                     : "BREAKS");
    for (const auto& finding : report.findings) std::printf("  %s\n", finding.text().c_str());
    good = good && (unsupported || report.may_start());
  }
  return good ? 0 : 1;
}
