#include "state/outcome.h"

#include <array>

namespace briarhead {

namespace {

constexpr std::array<std::string_view, 3> outcomeNames{"done", "not_run", "unknown"};
static_assert(outcomeNames.size() == static_cast<std::size_t>(outcome::Unknown) + 1);

}

std::string_view nameOf(outcome value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < outcomeNames.size() ? outcomeNames[index] : outcomeNames.back();
}

std::string toString(const request_id &id)
{
    return id.instance + '.' + std::to_string(id.incarnation) + '.' + std::to_string(id.sequence);
}

std::string toString(const adapter_ref &ref)
{
    return ref.adapter + ':' + std::to_string(ref.version);
}

}
