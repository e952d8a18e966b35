#pragma once

#include "daemon/request_record.h"
#include "state/burn.h"
#include "state/config.h"

#include <cstdint>
#include <optional>

namespace briarhead {

/// Whether a request met a target, and if not, why.
struct judgement
{
    bool missed = false;
    burn_cause cause = burn_cause::Other; ///< why it missed the target
};

/// Whether a target applies to this request. A target without an adapter pattern also applies to plain
/// services; "*" matches every adapter and no service.
bool concerns(const target_config &target, const config &configuration, const request_record &request);

/// Evaluates a request against a target. Returns nothing for a request that failed by the caller's own fault:
/// no server could have completed it, and it must not dilute the fraction of misses either.
std::optional<judgement> judge(const target_config &target, const request_record &request);

}
