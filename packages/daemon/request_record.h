#pragma once

#include "state/clock.h"
#include "state/config.h"
#include "state/error.h"
#include "state/outcome.h"

#include <cstdint>
#include <string>

namespace briarhead {

/// What is known of a request once it has ended, as the entry that answered it saw it.
struct request_record
{
    std::string caller; ///< empty if it was not authenticated
    std::string adapter; ///< empty for a plain service
    std::string server; ///< the last backend server it was handed to, or empty
    bool service = false;
    outcome result = outcome::NotRun;
    error_kind why = error_kind::None;
    priority rank = priority::Normal;
    millis firstToken; ///< from acceptance; meaningless without tokens
    millis whole; ///< from acceptance to the end
    millis stall; ///< spent waiting for an adapter to be loaded
    millis queued; ///< spent waiting otherwise, before the engine took it
    std::uint32_t tokens = 0;
};

}
