#pragma once

#include "coordination/quota_bucket.h"
#include "state/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// The limits that backend servers name in their answers: requests a second, from all daemons together.
namespace briarhead {

/// As a daemon has heard of it.
struct named_limit
{
    double perSecond = 0;
    millis heard; ///< last
};

using named_limits = std::map<std::string, named_limit>; ///< by server

enum class limit_change : std::uint8_t
{
    None,
    Named,
    Changed,
    Ended,
};

std::string_view nameOf(limit_change value);

/// Takes in what an answer says. `limit`: as named; none: the answer names none. Only the answer to a request
/// that was sent after the limit was last heard of ends it: an earlier one may have been written before it.
limit_change hearLimit(
    named_limits &limits, const std::string &server, std::optional<double> limit, millis sentAt, millis now);

}
