#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhead {

/// The three outcomes a caller can be told, and never a fourth.
/// Done: the whole answer was delivered. NotRun: it is certain that no engine began the request.
/// Unknown: it was handed over and its outcome cannot be had.
enum class outcome : std::uint8_t
{
    Done,
    NotRun,
    Unknown,
};

/// The name used in answers and metrics: "done", "not_run", "unknown".
std::string_view nameOf(outcome value);

/// Why a request ended the way it did, with the time after which coming back helps (0: no hint).
struct request_result
{
    outcome result = outcome::NotRun;
    error why;
    millis retryAfter;
};

/// The identity of one attempt at a request: unique over instances, restarts and time.
struct request_id
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    // clang-tidy 14 takes the zero in the generated comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const request_id &, const request_id &) = default;
    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, sequence);
    }
};

/// "instance.incarnation.sequence", as sent in X-Request-Id.
std::string toString(const request_id &id);

/// An adapter at one version. Written "adapter:version" on the engines' wire.
struct adapter_ref
{
    std::string adapter;
    std::uint32_t version = 0;

    // clang-tidy 14 takes the zero in the generated comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const adapter_ref &, const adapter_ref &) = default;
    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(adapter, version);
    }
};

/// "adapter:version".
std::string toString(const adapter_ref &ref);

}
