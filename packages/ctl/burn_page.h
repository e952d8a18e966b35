#pragma once

#include "state/burn.h"
#include "state/clock.h"

#include <string>

namespace briarhead {

/// Renders the burn report as a self-contained HTML page: styles and plots are inline, and no external
/// resource is loaded. `generatedAt` is the time shown on the page, in ms since the Unix epoch (see
/// wallNow()).
std::string burnPage(const burn_report &report, millis generatedAt);

}
