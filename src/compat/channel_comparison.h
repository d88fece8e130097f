/// \file
/// The comparison of one channel of a release with the same of one that runs. No I/O.
#pragma once

#include <string>
#include <vector>

#include "compat/compatibility.h"
#include "compat/release.h"

namespace walkpaddle::compat {

/// What does not fit on one channel, without the router's name.
std::vector<Finding> compare_channel(const Release& next, const Release& running, const std::string& channel);

}  // namespace walkpaddle::compat
