// Scenario tests in given-when-then form, over fleets simulated in memory.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
