#pragma once

#include "keyvalue/keyvalue.h"

#include <concepts>
#include <functional>
#include <string>

namespace briarhinge::keyvalue
{

/** Gets the outcome of a write; called once. */
using WriteHandler = std::function<void(WriteResult)>;

/** A key-value service that is asked without blocking. Each call counts against the service's rate. */
template <class T>
concept AsyncKeyValueService = requires(T &service, const std::string &key, const std::string &value,
                                        KeyVersion expected, WriteHandler onWritten)
{
    service.write(key, value, expected, onWritten);
};

}
