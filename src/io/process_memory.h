/// \file
/// The memory of this process, as the kernel counts it.
#pragma once

namespace walkpaddle {

/// Resident memory of this process in MB (2^20 bytes), from /proc/self/statm (proc(5)); 0 if it cannot be
/// read.
double resident_megabytes();

}  // namespace walkpaddle
