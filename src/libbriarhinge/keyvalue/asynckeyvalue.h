#pragma once

#include "keyvalue/keyvalue.h"

#include <concepts>
#include <functional>
#include <string>

namespace briarhinge::keyvalue
{

/** Called exactly once with the outcome of a write. */
using WriteHandler = std::function<void(WriteResult)>;

/** A client of a key-value service whose calls don't block. Each call counts against the service's rate limit. */
template <class T>
concept AsyncKeyValueService = requires(T &service, const std::string &key, const std::string &value,
                                        KeyVersion expected, WriteHandler onWritten)
{
    service.write(key, value, expected, onWritten);
};

}
