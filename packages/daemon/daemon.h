#pragma once

#include "state/error.h"
#include "state/settings.h"

#include <memory>

namespace briarhead {

/// One daemon: all of its tasks, connected by the bus.
class daemon
{
public:
    /// Opens the ports and starts the tasks. On failure, returns nullptr and sets `why`.
    static std::unique_ptr<daemon> start(const settings &daemonSettings, error &why);
    virtual ~daemon() = default;
    /// Runs until the daemon has shut down. Returns the exit code: 0 after a graceful shutdown, 1 if requests
    /// were cut off.
    virtual int run() = 0;
};

}
