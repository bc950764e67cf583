#pragma once

#include "accounts/usagekeeper.h"
#include "base/ids.h"
#include "wire/framecodec.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace briarhinge::forwarding
{

/** Answers the requests of entries for permits of client accounts. All methods must be called on one thread. */
class UsageServer
{
public:
    /**
     * @param tolerance how far caps may be exceeded
     * @param keepers returns the number of processes that share each cap; 0 if this one has no share
     * @param isUnderWay returns whether a program has begun
     */
    UsageServer(const accounts::UsageTolerance &tolerance, std::function<std::size_t()> keepers,
                std::function<bool(const base::ProgramId &)> isUnderWay);

    /**
     * Handles a message of an entry.
     *
     * @param message the message
     * @return the answer; nothing if the message is of another kind
     */
    std::optional<wire::MessageUnion> handleMessage(const wire::MessageUnion &message);

private:
    const std::function<std::size_t()> m_keepers;
    const std::function<bool(const base::ProgramId &)> m_isUnderWay;
    accounts::UsageKeeper m_keeper;
};

}
