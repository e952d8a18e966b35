#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhead {

/// Every kind of failure the project reports. Functions that can fail return std::optional and
/// leave the last reason in an `error &why` argument.
enum class error_kind : std::uint8_t
{
    None,
    BadSettings,
    BadPatch,
    StalePatch,
    UnknownVersion,
    BadRequest,
    Unauthorised,
    Forbidden,
    UnknownAdapter,
    UnknownService,
    TooLarge,
    Overloaded,
    DeadlineTooShort,
    NotReady,
    NoServer,
    LoadFailed,
    NotOwner,
    StaleFencing,
    Timeout,
    ConnectionLost,
    ServiceDown,
    KeyInProgress,
    KeyUnknown,
    EndsServers,
    BadFrame,
    Internal,
};

/// One row of the table of names: the stable code that callers and scripts see, and the remedy.
struct error_text
{
    std::string_view code;
    std::string_view remedy;
};

/// The table row of a kind.
const error_text &textOf(error_kind kind);

/// A failure: its kind, the place it was found at (file and path, field, server) and what was seen.
struct error
{
    error_kind kind = error_kind::None;
    std::string where;
    std::string detail;
};

/// "where: detail. remedy", one line, for logs and answers.
std::string message(const error &why);

}
