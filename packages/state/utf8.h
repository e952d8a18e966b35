#pragma once

#include <string_view>

namespace briarhead {

/// Whether a text is valid UTF-8 (RFC 3629): no overlong forms, no surrogates, nothing beyond U+10FFFF. JSON
/// can carry no other text.
bool isUtf8(std::string_view text);

}
