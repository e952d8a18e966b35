#pragma once

#include <compare>
#include <cstdint>

namespace briarhead {

/// A number of milliseconds: either a point in time on CLOCK_BOOTTIME or a duration.
/// CLOCK_BOOTTIME keeps advancing while the machine is suspended, so a lease also expires during a suspend.
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

/// The current time on CLOCK_BOOTTIME. Only tasks call this; decision functions take the time as an argument.
millis bootNow();

/// Milliseconds since the Unix epoch, for timestamps in history entries. Must not be used in decisions, since
/// the wall clock can be set back.
millis wallNow();

}
