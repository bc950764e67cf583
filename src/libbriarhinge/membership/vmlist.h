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

/** One VM as the platform lists it; the list lags. */
struct Vm
{
    std::string name;
    base::ZoneName zone;
    /** "entry" or "runner". */
    std::string role;
    /** Where our process on it listens for frames. */
    wire::Address address;
    base::PoolName pool;
    std::vector<base::TargetName> serves;
    bool leaving = false;

    bool operator==(const Vm &) const = default;
};

using VmListResult = std::variant<std::vector<Vm>, keyvalue::PlatformUnavailable>;

/** Reads the platform's list of live and leaving VMs by HTTP. */
class VmListClient
{
public:
    /** @param url address of the list @param timeout longest wait for an answer */
    VmListClient(const std::string &url, base::Milliseconds timeout);
    ~VmListClient();

    /** @return the list as the platform knows it now */
    VmListResult read();

    /** @return bytes of the last answer that was a list */
    std::size_t lastBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
