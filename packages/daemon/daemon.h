#pragma once

#include "state/error.h"
#include "state/settings.h"

#include <memory>

namespace briarhead {

/// One daemon: all of its tasks, wired to each other by the bus.
class daemon
{
public:
    /// Opens the ports and starts the tasks; `why` tells what failed.
    static std::unique_ptr<daemon> start(const settings &given, error &why);
    virtual ~daemon() = default;
    /// Runs until a graceful shutdown ended (0) or was cut short (1).
    virtual int run() = 0;
};

}
