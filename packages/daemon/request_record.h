#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/error.h"
#include "state/outcome.h"

#include <cstdint>
#include <string>

namespace briarhead {

/// The result of a request, as seen by the entry that responded to it.
struct request_record
{
    std::string caller; ///< empty: not authenticated
    std::string adapter; ///< empty: a plain service
    std::string server; ///< the last backend server it was sent to; empty: none
    bool service = false;
    outcome result = outcome::NotRun;
    error_kind why = error_kind::None;
    priority rank = priority::Normal;
    millis firstToken; ///< time from acceptance to the first token; meaningless without tokens
    millis endToEnd; ///< time from acceptance to the end
    millis stall; ///< time spent waiting for the adapter to be loaded
    millis queued; ///< time spent waiting otherwise, before the engine started it
    std::uint32_t tokens = 0;
};

}
