#include "storegroupworld.h"

#include <algorithm>
#include <sstream>

namespace briarhinge::tests
{

using namespace turns;

namespace
{

using Members = std::vector<StoreMember>;
using Kind = StoreGroupWorld::Step::Kind;

constexpr std::size_t maxSettlingRounds = 60;

bool holds(std::uint32_t mask, std::size_t store)
{
    return (mask >> store & 1U) != 0;
}

}

StoreGroupWorld::StoreGroupWorld(const WorldSize &size)
    : m_rule{size.toleratedLosses}
    , m_size(size)
    , m_stores(size.stores + size.spares)
    , m_history(1)
{
    for (std::size_t i = 0; i < size.stores; ++i) {
        m_stores[i].isUp = true;
    }
}

void StoreGroupWorld::setFirstGroup(std::size_t count)
{
    StoreGroup group{GroupEpoch(1), {}, {}};
    for (std::size_t i = 0; i < count; ++i) {
        group.current.push_back(memberOf(i));
        m_stores[i].epoch = 1;
    }
    append(group);
}

const StoreGroup &StoreGroupWorld::groupOf(std::size_t epoch) const
{
    return m_history[epoch];
}

const StoreGroup &StoreGroupWorld::latest() const
{
    return m_history.back();
}

StoreMember StoreGroupWorld::memberOf(std::size_t store) const
{
    const std::string name(1, static_cast<char>('a' + store));
    return {StoreName(name),
            base::ZoneName("z"),
            {"127.0.0.1", static_cast<std::uint16_t>(7000 + store)},
            DiskId(name + std::to_string(m_stores[store].diskNumber))};
}

std::optional<std::size_t> StoreGroupWorld::storeWithDisk(const DiskId &disk) const
{
    for (std::size_t i = 0; i < m_stores.size(); ++i) {
        if (!m_stores[i].isRemoved && memberOf(i).disk == disk) {
            return i;
        }
    }
    return std::nullopt;
}

std::size_t StoreGroupWorld::lostDisks(const Members &members) const
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [this](const StoreMember &member) {
        return !storeWithDisk(member.disk);
    }));
}

bool StoreGroupWorld::canLoseDisk(std::size_t store) const
{
    if (latest().current.size() < m_rule.copies()) {
        return false;
    }
    const DiskId disk = memberOf(store).disk;
    for (const Members *set : {&latest().current, &latest().next}) {
        const std::size_t lost = lostDisks(*set) + (containsDisk(*set, disk) ? 1 : 0);
        if (lost > m_rule.toleratedLosses) {
            return false;
        }
    }
    return true;
}

GroupView StoreGroupWorld::viewOf(std::size_t store, std::uint32_t suspected) const
{
    GroupView view;
    view.group = groupOf(m_stores[store].epoch);
    view.self = memberOf(store);
    for (std::size_t i = 0; i < m_stores.size(); ++i) {
        if (m_stores[i].isUp) {
            view.registered.push_back(memberOf(i));
        }
        if (m_stores[i].isRetiring) {
            view.retiring.insert(memberOf(i).name);
        }
    }
    for (const Members *set : {&view.group.current, &view.group.next}) {
        for (const StoreMember &member : *set) {
            const auto found = storeWithDisk(member.disk);
            const bool isSuspected = found && *found != store && holds(suspected, *found);
            if (found && m_stores[*found].isUp && !isSuspected) {
                view.responding.insert(member.disk);
            } else {
                view.unreachable.insert(member.disk);
                view.lost.insert(member.disk);
            }
        }
    }
    view.responding.insert(view.self.disk);
    view.canBootstrap = true;
    view.canShrink = m_stores[store].isRetiring;
    return view;
}

std::vector<StoreGroupWorld::Step> StoreGroupWorld::possibleSteps() const
{
    std::vector<Step> steps;
    for (std::size_t i = 0; i < m_stores.size(); ++i) {
        const Store &store = m_stores[i];
        if (store.isRemoved) {
            continue;
        }
        if (!store.isUp) {
            steps.push_back({Kind::Start, i});
            continue;
        }
        steps.push_back({Kind::Kill, i});
        if (store.epoch + 1 < m_history.size()) {
            steps.push_back({Kind::Observe, i});
        } else {
            steps.push_back({Kind::Decide, i});
            for (std::size_t other = 0; other < m_stores.size(); ++other) {
                steps.push_back({Kind::Decide, i, 1U << other});
                if (m_rule.toleratedLosses > 1) {
                    steps.push_back({Kind::Decide, i, 1U << other | 1U << (other + 1) % m_stores.size()});
                }
            }
        }
        steps.push_back({Kind::Copy, i});
        steps.push_back({Kind::Copy, i, ~0U});
        steps.push_back({Kind::Complete, i});
        if (canLoseDisk(i)) {
            steps.push_back({Kind::LoseDisk, i});
            steps.push_back({Kind::Remove, i});
        }
        steps.push_back({store.isRetiring ? Kind::CancelRetirement : Kind::Retire, i});
    }
    if (m_recordCount < static_cast<int>(m_size.maxRecords) && m_history.size() > 1) {
        const std::uint32_t all = (1U << m_stores.size()) - 1;
        for (std::size_t age = 0; age < std::min<std::size_t>(3, m_history.size() - 1); ++age) {
            for (std::uint32_t mask = 1; mask <= all; ++mask) {
                steps.push_back({Kind::Write, 0, mask, age});
            }
        }
    }
    return steps;
}

void StoreGroupWorld::take(const Step &step)
{
    Store &store = m_stores[step.store];
    if (step.kind != Kind::Write && step.kind != Kind::Start && (store.isRemoved || !store.isUp)) {
        return;
    }
    switch (step.kind) {
    case Kind::Observe:
        store.epoch = m_history.size() - 1;
        break;
    case Kind::Decide:
        decide(step.store, step.mask);
        break;
    case Kind::Copy:
        copy(step.store, step.mask);
        break;
    case Kind::Complete:
        complete(step.store);
        break;
    case Kind::Write:
        write(step.mask, step.age);
        break;
    case Kind::Kill:
        store.isUp = false;
        store.copiedEpoch = 0;
        break;
    case Kind::Start:
        store.isUp = !store.isRemoved;
        break;
    case Kind::LoseDisk:
        if (canLoseDisk(step.store)) {
            loseDisk(step.store);
        }
        break;
    case Kind::Remove:
        if (canLoseDisk(step.store)) {
            loseDisk(step.store);
            store.isUp = false;
            store.isRemoved = true;
        }
        break;
    case Kind::Retire:
        store.isRetiring = true;
        break;
    case Kind::CancelRetirement:
        store.isRetiring = false;
        break;
    }
}

void StoreGroupWorld::loseDisk(std::size_t store)
{
    Store &lost = m_stores[store];
    ++lost.diskNumber;
    lost.epoch = 0;
    lost.copiedEpoch = 0;
    lost.records.clear();
}

void StoreGroupWorld::append(const StoreGroup &group)
{
    m_history.push_back(group);
}

void StoreGroupWorld::decide(std::size_t store, std::uint32_t suspected)
{
    const auto proposal = proposeGroup(viewOf(store, suspected), m_rule);
    // The write is conditional on the version that the store has seen.
    if (proposal && m_stores[store].epoch + 1 == m_history.size()) {
        append(*proposal);
        m_stores[store].epoch = m_history.size() - 1;
    }
}

/** Whether @p member answers a request with the epoch of @p from; the member adopts a newer group first. */
bool StoreGroupWorld::reach(const Store &from, const StoreMember &member, std::size_t &found)
{
    const auto target = storeWithDisk(member.disk);
    if (!target || !m_stores[*target].isUp || m_stores[*target].epoch > from.epoch) {
        return false;
    }
    found = *target;
    m_stores[found].epoch = from.epoch;
    return true;
}

bool StoreGroupWorld::fetch(Store &store)
{
    RespondingDisks copied;
    for (const StoreMember &member : groupOf(store.epoch).current) {
        std::size_t found = 0;
        if (reach(store, member, found)) {
            store.records.insert(m_stores[found].records.begin(), m_stores[found].records.end());
            copied.insert(member.disk);
        }
    }
    return hasReadQuorum(m_rule, groupOf(store.epoch), copied);
}

bool StoreGroupWorld::push(Store &store)
{
    bool isComplete = true;
    for (const StoreMember &member : groupOf(store.epoch).next) {
        std::size_t found = 0;
        if (reach(store, member, found)) {
            m_stores[found].records.insert(store.records.begin(), store.records.end());
        } else {
            isComplete = false;
        }
    }
    return isComplete;
}

void StoreGroupWorld::copy(std::size_t index, std::uint32_t suspected)
{
    Store &store = m_stores[index];
    bool isComplete = false;
    switch (copyTask(viewOf(index, suspected))) {
    case CopyTask::None:
        return;
    case CopyTask::Fetch:
        isComplete = fetch(store);
        break;
    case CopyTask::Push:
        isComplete = push(store);
        break;
    case CopyTask::Spread:
        isComplete = fetch(store) && push(store);
        break;
    }
    if (isComplete) {
        store.copiedEpoch = store.epoch;
    }
}

void StoreGroupWorld::complete(std::size_t index)
{
    Store &store = m_stores[index];
    const bool isDue = store.copiedEpoch > 0 && store.copiedEpoch == store.epoch;
    if (isDue && store.epoch + 1 == m_history.size() && !latest().next.empty()) {
        append(completedGroup(latest()));
        store.epoch = m_history.size() - 1;
    }
}

void StoreGroupWorld::write(std::uint32_t reached, std::size_t age)
{
    const std::size_t newest = m_history.size() - 1;
    if (newest == 0 || age >= newest || m_recordCount >= static_cast<int>(m_size.maxRecords)) {
        return;
    }
    const std::size_t epoch = newest - age;
    const StoreGroup &group = groupOf(epoch);
    const int record = m_recordCount++;
    RespondingDisks acknowledged;
    for (std::size_t i = 0; i < m_stores.size(); ++i) {
        Store &store = m_stores[i];
        const bool isListed = group.find(memberOf(i).name).has_value();
        if (!isListed || !store.isUp || !holds(reached, i) || store.epoch > epoch) {
            continue;
        }
        store.epoch = epoch;
        store.records.insert(record);
        acknowledged.insert(memberOf(i).disk);
    }
    if (!hasWriteQuorum(m_rule, group, acknowledged)) {
        return;
    }
    m_acknowledged.insert(record);
    if (acknowledged.size() < m_rule.copies()) {
        m_badAcknowledgement = "record " + std::to_string(record) + " was acknowledged on too few disks";
    }
}

std::string StoreGroupWorld::violation() const
{
    if (!m_badAcknowledgement.empty()) {
        return m_badAcknowledgement;
    }
    const Members &current = latest().current;
    const std::size_t lost = lostDisks(current);
    for (const int record : m_acknowledged) {
        std::size_t holding = 0;
        std::size_t lacking = 0;
        for (const StoreMember &member : current) {
            if (const auto store = storeWithDisk(member.disk)) {
                ++(m_stores[*store].records.contains(record) ? holding : lacking);
            }
        }
        if (lacking >= m_rule.readQuorum(current.size())) {
            return "a read quorum lacks record " + std::to_string(record);
        }
        if (holding + lost < m_rule.copies()) {
            return "record " + std::to_string(record) + " is on too few disks";
        }
    }
    return {};
}

void StoreGroupWorld::settle()
{
    for (Store &store : m_stores) {
        store.isUp = store.isUp || !store.isRemoved;
    }
    for (std::size_t round = 0; round < maxSettlingRounds; ++round) {
        const std::size_t before = m_history.size();
        bool isCopying = false;
        for (std::size_t i = 0; i < m_stores.size(); ++i) {
            for (const Kind kind : {Kind::Observe, Kind::Decide, Kind::Copy, Kind::Complete}) {
                const std::size_t copied = m_stores[i].copiedEpoch;
                take({kind, i});
                isCopying = isCopying || m_stores[i].copiedEpoch != copied;
            }
        }
        if (m_history.size() == before && !isCopying) {
            return;
        }
    }
}

std::string StoreGroupWorld::missingAfterSettling() const
{
    std::size_t available = 0;
    bool isEachRetiringOut = true;
    for (std::size_t i = 0; i < m_stores.size(); ++i) {
        available += m_stores[i].isUp && !m_stores[i].isRetiring ? 1 : 0;
        isEachRetiringOut = isEachRetiringOut && !(m_stores[i].isRetiring && latest().find(memberOf(i).name));
    }
    if (available < m_rule.copies()) {
        return {};
    }
    const Members &current = latest().current;
    if (!latest().next.empty()) {
        return "a change never ends";
    }
    if (current.size() - lostDisks(current) < m_rule.writeQuorum(current.size())) {
        return "the group acknowledges nothing";
    }
    if (current.size() < std::min(available, m_rule.groupSize())) {
        return "a spare store does not join";
    }
    if (lostDisks(current) > 0) {
        return "a lost disk stays in the group";
    }
    return isEachRetiringOut ? std::string() : "a retiring store does not leave";
}

std::string StoreGroupWorld::key() const
{
    std::ostringstream text;
    std::set<std::size_t> epochs{m_history.size() - 1};
    for (std::size_t age = 1; age < std::min<std::size_t>(3, m_history.size()); ++age) {
        epochs.insert(m_history.size() - 1 - age);
    }
    for (const Store &store : m_stores) {
        text << store.isUp << store.isRemoved << store.isRetiring << store.diskNumber << ','
             << m_history.size() - store.epoch << ',' << (store.copiedEpoch > 0 && store.copiedEpoch == store.epoch)
             << ',';
        for (const int record : store.records) {
            text << record << ' ';
        }
        text << ';';
        epochs.insert(store.epoch);
    }
    for (const std::size_t epoch : epochs) {
        text << m_history.size() - epoch << ':';
        for (const Members *set : {&groupOf(epoch).current, &groupOf(epoch).next}) {
            for (const StoreMember &member : *set) {
                text << member.disk.value();
            }
            text << '/';
        }
    }
    for (const int record : m_acknowledged) {
        text << record << ' ';
    }
    text << m_recordCount;
    return text.str();
}

std::string StoreGroupWorld::describe() const
{
    return violation() + " | " + missingAfterSettling() + " | " + key();
}

}
