#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarhead::detail {

/// A header's name in lower case. Only ASCII letters change, whatever the locale says.
std::string lowerCase(std::string_view text);

/// Whether a text holds control characters other than the tab, which no part of a request may.
bool hasControlBytes(std::string_view text);

/// The status of a line like "HTTP/1.1 200 OK", or nothing if it is no status line.
std::optional<int> parseStatusLine(std::string_view line);

/// Adds a "Name: value" line. The values of a repeated header are joined by a comma.
void addHeader(std::map<std::string, std::string> &headers, std::string_view line);

}
