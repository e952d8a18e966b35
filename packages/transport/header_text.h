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

/// Whether a text is a token (RFC 9110, 5.6.2), as the names of fields are.
bool isToken(std::string_view text);

/// Whether a status is one that a response may have, interim ones included. 101 is not: no request asks for
/// another protocol.
bool isResponseStatus(int status);

/// The status code of a line like "HTTP/1.1 200 OK"; nullopt if it is not a status line.
std::optional<int> parseStatusLine(std::string_view line);

/// Adds a "Name: value" line. The values of a repeated header are joined with a comma.
void addHeader(std::map<std::string, std::string> &headers, std::string_view line);

/// The heads and trailers of one response, checked line by line.
struct head_check
{
    std::optional<std::string> length; ///< of the current head
    bool hasTransferCoding = false;
    bool inTrailers = false; ///< the head of the final response has ended
    int status = 0; ///< of the current head; 0 before its first line
};

/// Checks the next line, which ends with a line break. Returns what is wrong with it, or null: two readers
/// could take such a message for different ones (RFC 9112, 5 and 6.3).
const char *findFault(head_check &check, std::string_view line);

}
