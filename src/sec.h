// Times are seconds with fractions, everywhere.
#pragma once

namespace walkpaddle {

using Sec = double;

}  // namespace walkpaddle
