#pragma once

#include "daemon/request_record.h"
#include "state/burn.h"
#include "state/config.h"

#include <cstdint>
#include <optional>

namespace briarhead {

/// Whether a request that counts for a target met it.
struct judgement
{
    bool missed = false;
    burn_cause cause = burn_cause::Other; ///< of the miss
};

/// Whether a target speaks of this request. A target without an adapter pattern speaks of plain services
/// too; "*" takes in every adapter and no service.
bool concerns(const target_config &target, const config &at, const request_record &request);

/// Judges a request by a target; nothing for one that failed by the caller's own fault, which no server
/// could have answered. Such a request must not dilute the share of misses either.
std::optional<judgement> judge(const target_config &target, const request_record &request);

}
