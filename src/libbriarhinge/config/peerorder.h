#pragma once

#include "base/ids.h"
#include "wire/address.h"

#include <string>
#include <vector>

namespace briarhinge::config
{

/** Another process of the system, as the VM list names it. */
struct Peer
{
    std::string name;
    base::ZoneName zone;
    wire::Address address;

    bool operator==(const Peer &) const = default;
};

/** @return whether @p left stands before @p right: a total order by a hash of the name, the same for every process */
bool standsBefore(const Peer &left, const Peer &right);

/**
 * The priority list of a process, after Garcia-Molina and Kogan, "An Implementation of Reliable Broadcast Using an
 * Unreliable Multicast Facility" (CS-TR-170-88), section 4.1.
 *
 * It holds every peer that stands before the process. Of any two processes one is on the list of the other (jointly
 * complete), and who asks whom has no cycle (acyclic), also while their views of the VM list differ. Nearest first;
 * among equally near ones each process has an order of its own, so that the tree of who asks whom is random: its depth
 * and the number of askers of one process grow with the logarithm of the number of processes.
 *
 * @param self the process
 * @param peers the other processes
 * @return whom to ask, the most wanted first
 */
std::vector<Peer> priorityList(const Peer &self, const std::vector<Peer> &peers);

/**
 * @param self the process
 * @param peers the other processes
 * @param watchersPerZone how many processes of each zone watch the key-value service
 * @return whether the process is one of the first of its zone
 */
bool isWatcher(const Peer &self, const std::vector<Peer> &peers, std::size_t watchersPerZone);

/** @return every peer, those of the own zone first, each group in an order of the process's own */
std::vector<Peer> nearestFirst(const Peer &self, const std::vector<Peer> &peers);

}
