#pragma once

#include "dispatch/permitkeeper.h"
#include "wire/framecodec.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace briarhinge::forwarding
{

/** Answers the requests of entries for permits. All methods must be called on one thread. */
class PermitServer
{
public:
    /** @param keepers returns the number of processes that share each limit; 0 if this one has no share */
    explicit PermitServer(std::function<std::size_t()> keepers);

    /**
     * Handles a message of an entry.
     *
     * @param message the message
     * @return the answer; nothing if the message is of another kind
     */
    std::optional<wire::MessageUnion> handleMessage(const wire::MessageUnion &message);

private:
    const std::function<std::size_t()> m_keepers;
    dispatch::PermitKeeper m_keeper;
};

}
