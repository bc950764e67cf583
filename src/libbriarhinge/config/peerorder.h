#pragma once

#include "base/ids.h"
#include "wire/address.h"

#include <string>
#include <vector>

namespace briarhinge::config
{

/** Another process of the system, as given by the VM list. */
struct Peer
{
    std::string name;
    base::ZoneName zone;
    wire::Address address;

    bool operator==(const Peer &) const = default;
};

/** @return whether @p left sorts before @p right in a total order by name hash, which is the same in every process */
bool precedes(const Peer &left, const Peer &right);

/**
 * Returns the priority list of a process, as defined by Garcia-Molina and Kogan, "An Implementation of Reliable
 * Broadcast Using an Unreliable Multicast Facility" (CS-TR-170-88), section 4.1.
 *
 * The list contains every peer that precedes the process in the total order. Of any two processes exactly one is on the
 * list of the other (jointly complete), and the graph of requests has no cycle (acyclic), even while the processes have
 * different views of the VM list. Peers in the same zone come first. Within a zone each process uses an order of its
 * own, so the request tree is random: its depth and the fan-in of one process grow with the logarithm of the number of
 * processes.
 *
 * @param self this process
 * @param peers the other processes
 * @return the peers to send requests to, most preferred first
 */
std::vector<Peer> priorityList(const Peer &self, const std::vector<Peer> &peers);

/**
 * @param self this process
 * @param peers the other processes
 * @param watchersPerZone number of processes in each zone that watch the key-value service
 * @return whether @p self is among the first @p watchersPerZone processes of its zone in the total order
 */
bool isWatcher(const Peer &self, const std::vector<Peer> &peers, std::size_t watchersPerZone);

/** @return all peers, those in the zone of @p self first, each group in a pseudorandom order specific to @p self */
std::vector<Peer> sortedByProximity(const Peer &self, const std::vector<Peer> &peers);

}
