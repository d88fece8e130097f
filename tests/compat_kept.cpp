// What routers publish now beside what they published at earlier landings: a commit that breaks a router of
// one of them fails here. A line for each, and its reasons.
//   compat_kept FOLDER FOLDER...    the present first; each with *.bin (requests of the schema compiler),
//   rules.json
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "compat/compatibility.h"
#include "gossip/protocol_version.h"

using namespace walkpaddle::compat;

namespace {

std::string text_of(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

Release release_in(const std::filesystem::path& folder) {
  std::vector<std::string> requests;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == ".bin") requests.push_back(text_of(entry.path()));
  return read_release(requests, text_of(folder / "rules.json"));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const auto now = release_in(argv[1]);
  // What this program announces to read is what its rules say.
  const char* names[] = {"links", "gossip", "calendar", "changes", "store.purges"};
  bool good = true;
  for (int n = 0; n < kAnnouncedChannels; ++n) {
    const int says = walkpaddle::gossip::kChannelVersions[n], is = now.channels.at(names[n]).version;
    std::printf("%s: announced %d, by its rules %d\n", names[n], says, is);
    good = good && says == is;
  }
  for (int n = 2; n < argc; ++n) {
    const auto kept = release_in(argv[n]);
    const auto v = check_compatibility(now, {{"a router of " + kept.name, &kept, false}});
    const bool unsupported = now.unsupported_releases.contains(kept.name);
    std::printf("%s beside %s: %s\n", now.name.c_str(), kept.name.c_str(),
                unsupported                              ? "given up, as its rules say"
                : v.compatibility == Compatibility::safe ? "safe"
                : v.may_start()                          ? "safe, as the new is written only once all read it"
                : v.compatibility == Compatibility::conditional ? "NOT SAFE YET"
                                                                : "BREAKS");
    for (const auto& r : v.findings) std::printf("  %s\n", r.text().c_str());
    good = good && (unsupported || v.may_start());
  }
  return good ? 0 : 1;
}
