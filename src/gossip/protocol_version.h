/// \file
/// The protocol versions of this program. The channel versions must equal those in schemas/rules.json, which
/// the test compat_kept checks.
#pragma once

#include "compat/announcement.h"

namespace walkpaddle::gossip {

constexpr int kProtocolVersion = 1;  ///< stated in the hello message of a link and in every datagram
/// The version of each channel that this program reads, in the order of compat::AnnouncedChannel.
constexpr int kChannelVersions[compat::kAnnouncedChannels] = {1, 2, 1, 1, 1};

}  // namespace walkpaddle::gossip
