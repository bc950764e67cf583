#pragma once

#include "turns/groupdecision.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarhinge::tests
{

/** Size of a world of turn stores. */
struct WorldSize
{
    std::size_t toleratedLosses = 1;
    /** Stores that run from the beginning. */
    std::size_t stores = 3;
    /** Stores that may be added later. */
    std::size_t spares = 1;
    std::size_t maxRecords = 2;
};

/**
 * Turn stores, their disks, the group in the key-value service and the records that entries were told to be durable,
 * as a state machine without network and clock around the decisions of `turns::proposeGroup()` and `turns::copyTask()`.
 */
class StoreGroupWorld
{
public:
    /** One possible step. */
    struct Step
    {
        enum class Kind : std::uint8_t {
            Observe,
            Decide,
            Copy,
            Complete,
            Write,
            Kill,
            Start,
            LoseDisk,
            Remove,
            Retire,
            CancelRetirement,
        };

        Kind kind = Kind::Observe;
        std::size_t store = 0;
        /** Decide, copy: disks wrongly suspected; write: stores that the write reaches. */
        std::uint32_t mask = 0;
        /** Write: how many epochs the entry's group is old. */
        std::size_t age = 0;
    };

    explicit StoreGroupWorld(const WorldSize &size);

    /** Makes the first @p count stores the group, as another version of this program may have done. */
    void setFirstGroup(std::size_t count);

    /** @return the steps that are possible now, at most one for each kind, store and mask */
    std::vector<Step> possibleSteps() const;

    /** Takes a step; one that isn't possible changes nothing. */
    void take(const Step &step);

    /** @return what is broken, or an empty string */
    std::string violation() const;

    /** Starts all stores that were not removed, and lets them work without faults until nothing changes. */
    void settle();

    /** @return what a settled world lacks, or an empty string */
    std::string missingAfterSettling() const;

    /** @return a text that is equal for worlds that behave the same */
    std::string key() const;

    std::string describe() const;

private:
    struct Store
    {
        bool isUp = false;
        bool isRemoved = false;
        bool isRetiring = false;
        std::size_t diskNumber = 1;
        /** Epoch of the group that the store has adopted. */
        std::size_t epoch = 0;
        /** Epoch of the change for which the store has copied the state. */
        std::size_t copiedEpoch = 0;
        std::set<int> records;
    };

    const turns::StoreGroup &groupOf(std::size_t epoch) const;
    const turns::StoreGroup &latest() const;
    turns::StoreMember memberOf(std::size_t store) const;
    std::optional<std::size_t> storeWithDisk(const turns::DiskId &disk) const;
    std::size_t lostDisks(const std::vector<turns::StoreMember> &members) const;
    bool canLoseDisk(std::size_t store) const;
    turns::GroupView viewOf(std::size_t store, std::uint32_t suspected) const;
    bool reach(const Store &from, const turns::StoreMember &member, std::size_t &found);
    void append(const turns::StoreGroup &group);
    void decide(std::size_t store, std::uint32_t suspected);
    void copy(std::size_t store, std::uint32_t suspected);
    bool fetch(Store &store);
    bool push(Store &store);
    void complete(std::size_t store);
    void write(std::uint32_t reached, std::size_t age);
    void loseDisk(std::size_t store);

    turns::QuorumRule m_rule;
    WorldSize m_size;
    std::vector<Store> m_stores;
    /** Every value that the key has had; the epoch is the position. */
    std::vector<turns::StoreGroup> m_history;
    std::set<int> m_acknowledged;
    int m_recordCount = 0;
    std::string m_badAcknowledgement;
};

}
