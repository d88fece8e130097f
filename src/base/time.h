/// \file
/// The representation of times in all parts of the program.
#pragma once

namespace walkpaddle {

/// A duration or a point in time, in seconds with fractions.
using Seconds = double;

/// Later than any time that occurs. Finite, so that differences of times stay ordinary numbers.
constexpr Seconds kNever = 1e15;
/// Earlier than any time that occurs; finite as well.
constexpr Seconds kLongAgo = -kNever;

}  // namespace walkpaddle
