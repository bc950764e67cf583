#include "entry/ownermap.h"

#include "base/digest.h"

#include <algorithm>

namespace briarhinge::entry
{

base::PartitionId partitionOf(const base::ProgramId &root)
{
    return base::PartitionId(static_cast<std::uint32_t>(base::stableHash(root.value()) % partitionCount));
}

std::optional<std::string> rendezvousOwner(base::PartitionId partition, const std::vector<std::string> &entries)
{
    const std::string suffix = "/" + std::to_string(partition.value());
    const auto owner = std::max_element(entries.begin(), entries.end(), [&](const auto &left, const auto &right) {
        return base::stableHash(left + suffix) < base::stableHash(right + suffix);
    });
    return owner == entries.end() ? std::nullopt : std::optional(*owner);
}

void OwnerMap::update(const std::vector<platform::Vm> &vms)
{
    const std::lock_guard lock(m_mutex);
    m_entries.clear();
    std::copy_if(vms.begin(), vms.end(), std::back_inserter(m_entries), [](const platform::Vm &vm) {
        return vm.role == "entry" && !vm.leaving;
    });
}

std::optional<platform::Vm> OwnerMap::ownerOf(const base::ProgramId &root) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const platform::Vm &vm : m_entries) {
        names.push_back(vm.name);
    }
    const auto owner = rendezvousOwner(partitionOf(root), names);
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const platform::Vm &vm) {
        return vm.name == owner;
    });
    return found == m_entries.end() ? std::nullopt : std::optional(*found);
}

}
