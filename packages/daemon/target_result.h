#pragma once

#include "daemon/request_record.h"
#include "state/burn.h"
#include "state/config.h"

#include <cstdint>
#include <optional>

namespace briarhead {

/// Whether a request that counts for a target met it.
struct target_result
{
    bool missed = false;
    burn_cause cause = burn_cause::Other; ///< of the miss
};

/// Whether a target applies to this request. A target without an adapter pattern also applies to plain
/// services; "*" matches every adapter and no service.
bool appliesTo(const target_config &target, const config &configuration, const request_record &request);

/// Evaluates a request. Returns nothing if it failed by the caller's own fault, in which case no server
/// could have answered. Such a request must not dilute the share of misses either.
std::optional<target_result> evaluate(const target_config &target, const request_record &request);

}
