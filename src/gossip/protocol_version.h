/// \file
/// The versions that this program speaks. schemas/rules.json says the same; the test compat_kept holds them
/// together.
#pragma once

#include "compat/announcement.h"

namespace walkpaddle::gossip {

constexpr int kProtocolVersion = 1;  ///< as every message and datagram names it
/// What this program reads of each channel, in the order of compat::AnnouncedChannel.
constexpr int kChannelVersions[compat::kAnnouncedChannels] = {1, 2, 1, 1, 1};

}  // namespace walkpaddle::gossip
