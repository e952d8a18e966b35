#pragma once

#include "state/burn.h"
#include "state/clock.h"

#include <string>

namespace briarhead {

/// The burn report as one HTML page with inline styles and plots, that loads nothing from elsewhere.
/// `at` is the wall clock (see wallNow()) to put on it.
std::string burnPage(const burn_report &report, millis at);

}
