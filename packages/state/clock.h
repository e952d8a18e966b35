#pragma once

#include <compare>
#include <cstdint>

namespace briarhead {

/// The one clock type: a count of milliseconds, either a point on CLOCK_BOOTTIME or a span.
/// CLOCK_BOOTTIME goes on while the machine is suspended, so a lease also runs out during a freeze.
struct millis
{
    std::int64_t count = 0;

    // clang-tidy 14 takes the zero in the generated comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(millis, millis) = default;
    friend constexpr millis operator+(millis a, millis b)
    {
        return {a.count + b.count};
    }
    friend constexpr millis operator-(millis a, millis b)
    {
        return {a.count - b.count};
    }
};

/// Now, on CLOCK_BOOTTIME. Only tasks read it; decisions take the time as an argument.
millis bootNow();

/// Milliseconds since the Unix epoch, for history entries that people read. Never used to decide.
millis wallNow();

}
