#pragma once

#include "state/clock.h"
#include "state/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhead {

/// The outcome of a request as reported to its caller. There are only these three.
enum class outcome : std::uint8_t
{
    Done, ///< the complete response was delivered
    NotRun, ///< it is certain that no engine started the request
    Unknown, ///< the request was sent on, and whether it ran cannot be determined
};

/// The name used in responses and metrics: "done", "not_run", "unknown".
std::string_view nameOf(outcome value);

/// How a request ended.
struct request_result
{
    outcome result = outcome::NotRun;
    error why; ///< the reason, unless `result` is Done
    millis retryAfter; ///< how long to wait before a retry can succeed; 0: unknown
};

/// Identifies one attempt at a request. Unique across instances, their restarts and time.
struct request_id
{
    std::string instance;
    std::uint64_t incarnation = 0; ///< of the instance's process
    std::uint64_t sequence = 0; ///< counts the attempts of that process

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

/// An adapter at one version. Written "adapter:version" in requests to engines.
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
