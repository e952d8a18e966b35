#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace briarhead::detail {

/// Converts ASCII letters to lower case, independent of the locale.
std::string lowerCase(std::string_view text);

/// Whether a text holds control characters other than tab. No part of an HTTP request may contain them.
bool hasControlBytes(std::string_view text);

/// The status code of a line like "HTTP/1.1 200 OK"; nullopt if it is not a status line.
std::optional<int> parseStatusLine(std::string_view line);

/// Adds a "Name: value" line. The values of a repeated header are joined with a comma.
void addHeader(std::map<std::string, std::string> &headers, std::string_view line);

}
