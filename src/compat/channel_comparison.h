/// \file
/// Compares one channel of a new release with the same channel of a running release. No I/O.
#pragma once

#include <string>
#include <vector>

#include "compat/compatibility.h"
#include "compat/release.h"

namespace walkpaddle::compat {

/// Returns the incompatibilities of one channel. Finding::router is left empty.
std::vector<Finding> compare_channel(const Release& next, const Release& running, const std::string& channel);

}  // namespace walkpaddle::compat
