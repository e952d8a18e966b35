#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhead {

/// Every kind of failure that is reported. Functions that can fail return std::optional (or a pointer or
/// bool) and store the reason in an `error &why` argument.
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
    CrashesServers,
    BadFrame,
    Internal,
};

/// The texts for one error kind: the stable code that callers and scripts see, and the suggested remedy.
struct error_text
{
    std::string_view code;
    std::string_view remedy;
};

/// The texts for a kind; those of Internal for a value that is not an enumerator.
const error_text &textOf(error_kind kind);

/// A failure: its kind, where it was found (file and JSON path, field, server) and what was found there.
struct error
{
    error_kind kind = error_kind::None;
    std::string where;
    std::string detail;
};

/// One line, "where: detail. remedy", for logs and response bodies.
std::string message(const error &why);

}
