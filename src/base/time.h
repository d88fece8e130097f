/// \file
/// Times as every part of the program holds them.
#pragma once

namespace walkpaddle {

/// A span of time or a point on the monotonic clock, in seconds with fractions.
using Seconds = double;

}  // namespace walkpaddle
