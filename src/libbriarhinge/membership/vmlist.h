#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "keyvalue/keyvalue.h"
#include "wire/address.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::membership
{

/** A VM as listed by the platform. The list lags behind the actual state. */
struct Vm
{
    std::string name;
    base::ZoneName zone;
    /** "entry" or "runner". */
    std::string role;
    /** Address on which the process on the VM listens for frames. */
    wire::Address address;
    base::PoolName pool;
    std::vector<base::TargetName> serves;
    bool leaving = false;

    bool operator==(const Vm &) const = default;
};

using VmListResult = std::variant<std::vector<Vm>, keyvalue::PlatformUnavailable>;

/** HTTP client for the platform's list of live and leaving VMs. */
class VmListClient
{
public:
    /**
     * @param url URL of the list service
     * @param timeout maximum wait for a response, in milliseconds
     */
    VmListClient(const std::string &url, base::Milliseconds timeout);
    ~VmListClient();

    /** @return the current list, or the reason why it could not be read */
    VmListResult read();

    /** @return the size of the last valid list, in bytes */
    std::size_t lastListBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
