/// \file
/// Times as every part of the program holds them.
#pragma once

namespace walkpaddle {

/// A span of time or a point on the monotonic clock, in seconds with fractions.
using Seconds = double;

/// Later than any time that occurs, and earlier. Finite, so that differences of them stay ordinary numbers.
constexpr Seconds kNever = 1e15;
/// Earlier than any time that occurs.
constexpr Seconds kLongAgo = -kNever;

}  // namespace walkpaddle
