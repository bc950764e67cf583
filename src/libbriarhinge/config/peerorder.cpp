#include "config/peerorder.h"

#include "base/digest.h"

#include <algorithm>
#include <tuple>

namespace briarhinge::config
{

bool precedes(const Peer &left, const Peer &right)
{
    return std::pair(base::stableHash(left.name), left.name) < std::pair(base::stableHash(right.name), right.name);
}

std::vector<Peer> priorityList(const Peer &self, const std::vector<Peer> &peers)
{
    std::vector<Peer> list = sortedByProximity(self, peers);
    std::erase_if(list, [&](const Peer &peer) {
        return !precedes(peer, self);
    });
    return list;
}

bool isWatcher(const Peer &self, const std::vector<Peer> &peers, std::size_t watchersPerZone)
{
    const auto predecessors = std::count_if(peers.begin(), peers.end(), [&](const Peer &peer) {
        return peer.zone == self.zone && precedes(peer, self);
    });
    return static_cast<std::size_t>(predecessors) < watchersPerZone;
}

std::vector<Peer> sortedByProximity(const Peer &self, const std::vector<Peer> &peers)
{
    std::vector<Peer> list = peers;
    std::sort(list.begin(), list.end(), [&](const Peer &left, const Peer &right) {
        const auto rank = [&](const Peer &peer) {
            return std::tuple(peer.zone != self.zone, base::stableHash(self.name + "/" + peer.name), peer.name);
        };
        return rank(left) < rank(right);
    });
    return list;
}

}
