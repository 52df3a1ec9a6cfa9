#include "catkintack/base/hooks.hpp"

#include <ctime>
#include <random>

namespace catkintack::base {

clock_hook system_clock_hook() {
  return [] { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); };
}

clock_hook boot_clock_hook() {
  return [] {
    timespec now{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now);  // Cannot fail for this clock on Linux.
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                        std::chrono::nanoseconds(now.tv_nsec)));
  };
}

wall_clock_hook system_wall_clock_hook() {
  return [] { return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now()); };
}

random_hook seeded_random_hook(std::uint64_t seed) {
  return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

std::uint64_t entropy_seed() {
  std::random_device device;
  constexpr int word_bits = 32;
  return (std::uint64_t{device()} << word_bits) | device();
}

}  // namespace catkintack::base
