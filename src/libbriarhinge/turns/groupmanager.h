#pragma once

#include "keyvalue/asynckeyvalue.h"
#include "logging/eventlog.h"
#include "turns/groupdecision.h"
#include "turns/groupkeys.h"
#include "turns/statetransfer.h"
#include "turns/turnserver.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::turns
{

/** Intervals and timeouts of the group management. */
struct GroupTimings
{
    /** Interval between checks of the group; a fraction of the seconds that a replacement may take. */
    base::Milliseconds checkInterval{200};
    /** Time without a response after which a member counts as unreachable; longer than its process takes to restart. */
    base::Milliseconds suspicionTimeout{1200};
    /** Time without a response after which a member is removed without a successor; longer than a planned restart. */
    base::Milliseconds removalTimeout{10'000};
    /** Interval at which the members of a stable group ping each other. */
    base::Milliseconds stablePingInterval{1000};
    /** Time for all stores of a new deployment to register before the first group is created. */
    base::Milliseconds bootstrapDelay{1500};
    /** Time that a retiring member waits for a spare store to replace it before the group shrinks. */
    base::Milliseconds shrinkDelay{2000};
    /** Timeout of a ping; covers a round trip between zones and a busy disk. */
    base::Milliseconds pingTimeout{500};
};

/**
 * Registers a turn store and manages the membership of the group: creates the group, adds this store, completes a
 * change after the state was copied, and reports the progress of this store's retirement to operators.
 *
 * Concurrent proposals are resolved by the key-value service's conditional writes. While the service is unavailable the
 * group does not change.
 *
 * @tparam Service the key-value service
 * @tparam RetirementReporter receives the progress of this store's retirement: `reportRetirementRunning()` and
 * `reportRetirementCompleted()`
 */
template <keyvalue::AsyncKeyValueService Service, class RetirementReporter>
class GroupManager
{
public:
    /**
     * @param context runs the timers
     * @param service stores the group and the registrations
     * @param retirementReporter receives the progress of this store's retirement
     * @param peers connections to the other turn stores
     * @param store state of this turn store
     * @param server syncs the journal records of adopted groups and copied state
     * @param self this store as a member
     * @param rule quorum sizes
     * @param log receives group changes and errors
     * @param timings intervals and timeouts
     */
    GroupManager(boost::asio::io_context &context, Service &service, RetirementReporter &retirementReporter,
                 StorePeers &peers, TurnStore &store, TurnServer &server, StoreMember self, QuorumRule rule,
                 logging::EventLog &log, GroupTimings timings = {})
        : m_service(service)
        , m_retirementReporter(retirementReporter)
        , m_peers(peers)
        , m_store(store)
        , m_server(server)
        , m_self(std::move(self))
        , m_rule(rule)
        , m_log(log)
        , m_timings(timings)
        , m_timer(context)
    {
    }

    /** Starts the regular checks, the first of which registers this store. */
    void start()
    {
        m_started = std::chrono::steady_clock::now();
        tick();
    }

    /** Stops the regular checks. */
    void stop()
    {
        m_isStopped = true;
        m_timer.cancel();
    }

    /**
     * Processes a value of the group key; a malformed or older group is ignored.
     *
     * @param text the value
     * @param version version of the key, used as the condition of the next write
     */
    void updateGroup(const std::string &text, keyvalue::KeyVersion version)
    {
        const auto group = parseStoreGroup(text);
        if (!group || group->epoch.value() == 0) {
            m_log.write(logging::events::badEntry, {{"key", std::string(groupKey)}});
            return;
        }
        m_isGroupKnown = true;
        if (group->epoch < m_group.epoch) {
            return;
        }
        if (group->epoch > m_group.epoch) {
            resetContacts(*group);
        }
        m_group = *group;
        m_version = version;
        if (m_store.adopt(*group)) {
            m_server.requestSync();
            m_log.write(
                logging::events::groupAdopted,
                {{"epoch", group->epoch.value()}, {"members", group->current.size()}, {"next", group->next.size()}});
            if (group->current.size() < m_rule.copies()) {
                reportTooSmall(group->current.size());
            }
        }
    }

    /** Records that the key-value service has responded; if it sent no group, none exists. */
    void markServiceAvailable()
    {
        m_isGroupKnown = true;
    }

    /** Processes the registration @p text of a turn store; a malformed one is ignored. */
    void addRegistration(const std::string &text)
    {
        // A registration is encoded as a group with a single member.
        const auto group = parseStoreGroup(text);
        if (group && group->current.size() == 1) {
            m_registered[group->current.front().name] = group->current.front();
        }
    }

    /**
     * Starts or cancels the retirement of a turn store.
     *
     * @param name the store
     * @param isRequested whether operators want the store to retire
     */
    void setRetirement(const StoreName &name, bool isRequested)
    {
        if (isRequested) {
            m_retiring.emplace(name, std::chrono::steady_clock::now());
        } else {
            m_retiring.erase(name);
        }
    }

private:
    using Time = std::chrono::steady_clock::time_point;

    /** What is known of a member's disk. */
    struct Contact
    {
        /** The last response, or the beginning of the wait for one. */
        Time silentSince;
        std::optional<Time> lastResponse;
    };

    void tick()
    {
        if (m_isStopped) {
            return;
        }
        m_timer.expires_after(m_timings.checkInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                tick();
            }
        });
        if (!m_isGroupKnown || m_isWriting) {
            return;
        }
        if (!m_isRegistered) {
            registerSelf();
            return;
        }
        reportRetirement();
        pingMembers();
        const GroupView current = view();
        reportObstacle(current);
        reportMissingStores(current);
        if (const auto proposal = proposeGroup(current, m_rule)) {
            writeGroup(*proposal);
        } else if (const CopyTask task = copyTask(current); task != CopyTask::None) {
            copyState(task);
        }
    }

    void registerSelf()
    {
        m_isWriting = true;
        const StoreGroup registration{GroupEpoch(0), {m_self}, {}};
        const std::string key = std::string(registrationPrefix) + m_self.name.value();
        m_service.write(key, toJson(registration), m_registrationVersion, [this](const keyvalue::WriteResult &result) {
            m_isWriting = false;
            if (const auto *conflict = std::get_if<keyvalue::VersionConflict>(&result)) {
                m_registrationVersion = conflict->currentVersion;
                return;
            }
            m_isRegistered = std::holds_alternative<keyvalue::KeyVersion>(result);
            if (m_isRegistered) {
                m_registered[m_self.name] = m_self;
            }
        });
    }

    void reportRetirement()
    {
        if (!m_retiring.contains(m_self.name)) {
            m_isRetirementReported = false;
            m_isCompletionReported = false;
            return;
        }
        const bool isMember = m_group.find(m_self.name).has_value();
        if (isMember && !m_isRetirementReported) {
            m_isRetirementReported = true;
            m_log.write(logging::events::retirement, {{"state", "running"}});
            m_retirementReporter.reportRetirementRunning();
        }
        if (!isMember && m_group.epoch.value() > 0 && !m_isCompletionReported) {
            m_isCompletionReported = true;
            m_log.write(logging::events::retirement, {{"state", "completed"}});
            m_retirementReporter.reportRetirementCompleted();
        }
    }

    /** Logs what keeps this store from leaving the group, whenever that changes. */
    void reportObstacle(const GroupView &view)
    {
        const bool isLeaving = view.canShrink && containsDisk(m_group.current, m_self.disk);
        const auto obstacle = isLeaving ? retirementObstacle(view, m_rule) : RetirementObstacle::None;
        if (obstacle == std::exchange(m_reportedObstacle, obstacle) || obstacle == RetirementObstacle::None) {
            return;
        }
        const bool isAnyMissing = obstacle == RetirementObstacle::TooFewStores;
        m_log.write(logging::events::retirement,
                    {{"state", "waiting"},
                     {"reason", isAnyMissing ? "too few stores would remain" : "a member does not respond"}});
    }

    /** Logs once that too few stores are registered for a first group. */
    void reportMissingStores(const GroupView &view)
    {
        const bool isWaiting =
            m_group.epoch.value() == 0 && view.canBootstrap && view.registered.size() < m_rule.copies();
        if (isWaiting && !std::exchange(m_isMissingReported, true)) {
            reportTooSmall(view.registered.size());
        }
    }

    void reportTooSmall(std::size_t members)
    {
        m_log.write(logging::events::groupTooSmall, {{"members", members}, {"needed", m_rule.copies()}});
    }

    /** Members of both sets; a store whose disk is replaced occurs with either disk. */
    std::map<DiskId, StoreMember> contactedMembers(const StoreGroup &group) const
    {
        std::map<DiskId, StoreMember> members;
        for (const auto *set : {&group.current, &group.next}) {
            for (const StoreMember &member : *set) {
                if (member.disk != m_self.disk) {
                    members.emplace(member.disk, member);
                }
            }
        }
        return members;
    }

    /** Whether a disk has not responded for longer than the pause between two pings explains. */
    bool isSilent(const Contact &contact, Time now) const
    {
        return now - contact.silentSince > m_timings.suspicionTimeout + m_timings.stablePingInterval;
    }

    /** Forgets the disks that are not in @p group; the others are not suspected for a silence between two pings. */
    void resetContacts(const StoreGroup &group)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto members = contactedMembers(group);
        std::erase_if(m_contacts, [&members](const auto &item) {
            return !members.contains(item.first);
        });
        for (auto &[disk, contact] : m_contacts) {
            if (!isSilent(contact, now)) {
                contact.silentSince = now;
            }
        }
    }

    void pingMembers()
    {
        const auto now = std::chrono::steady_clock::now();
        const bool isStableMember =
            m_group.next.empty() && containsDisk(m_group.current, m_self.disk) && !m_retiring.contains(m_self.name);
        const bool isAnySilent = std::any_of(m_contacts.begin(), m_contacts.end(), [this, now](const auto &item) {
            return isSilent(item.second, now);
        });
        if (isStableMember && !isAnySilent && now - m_lastPing < m_timings.stablePingInterval) {
            return;
        }
        m_lastPing = now;
        for (const auto &[disk, member] : contactedMembers(m_group)) {
            m_contacts.try_emplace(disk, Contact{now, std::nullopt});
            wire::BeginTurnT ping;
            ping.epoch = m_group.epoch.value();
            wire::MessageUnion message;
            message.Set(std::move(ping));
            m_peers.sendRequest(member.address, std::move(message), m_timings.pingTimeout,
                                [this](const wire::ChannelReply &reply) {
                                    recordResponse(reply);
                                });
        }
    }

    void recordResponse(const wire::ChannelReply &reply)
    {
        const auto *frame = std::get_if<wire::FrameT>(&reply);
        const auto *begun = frame == nullptr ? nullptr : frame->message.AsTurnBegun();
        // A member that came back with an empty disk responds for another disk than the listed one.
        const auto contact = begun == nullptr ? m_contacts.end() : m_contacts.find(DiskId(begun->disk));
        if (contact != m_contacts.end()) {
            contact->second.silentSince = std::chrono::steady_clock::now();
            contact->second.lastResponse = contact->second.silentSince;
        }
    }

    GroupView view() const
    {
        const auto now = std::chrono::steady_clock::now();
        GroupView view;
        view.group = m_group;
        view.self = m_self;
        for (const auto &[name, member] : m_registered) {
            view.registered.push_back(member);
        }
        view.responding.insert(m_self.disk);
        for (const auto &[disk, contact] : m_contacts) {
            const auto silence = now - contact.silentSince;
            if (contact.lastResponse && now - *contact.lastResponse <= m_timings.suspicionTimeout) {
                view.responding.insert(disk);
            }
            if (silence > m_timings.suspicionTimeout) {
                view.unreachable.insert(disk);
            }
            if (silence > m_timings.removalTimeout) {
                view.lost.insert(disk);
            }
        }
        for (const auto &[name, since] : m_retiring) {
            view.retiring.insert(name);
            view.canShrink = view.canShrink || (name == m_self.name && now - since > m_timings.shrinkDelay);
        }
        view.canBootstrap = now - m_started > m_timings.bootstrapDelay;
        return view;
    }

    void writeGroup(const StoreGroup &group)
    {
        m_isWriting = true;
        m_log.write(logging::events::groupProposed,
                    {{"epoch", group.epoch.value()}, {"members", group.current.size()}, {"next", group.next.size()}});
        const std::string text = toJson(group);
        m_service.write(std::string(groupKey), text, m_version, [this, text](const keyvalue::WriteResult &result) {
            m_isWriting = false;
            if (const auto *version = std::get_if<keyvalue::KeyVersion>(&result)) {
                updateGroup(text, *version);
            } else if (!std::holds_alternative<keyvalue::VersionConflict>(result)) {
                // The write may take effect later, but its version condition keeps it from replacing a newer group.
                m_log.write(logging::events::platformUnavailable, {{"reason", "the group could not be written"}});
            }
        });
    }

    void copyState(CopyTask task)
    {
        const GroupEpoch epoch = m_group.epoch;
        if (m_copyingEpoch == epoch) {
            return;
        }
        m_copyingEpoch = epoch;
        auto transfer = std::make_shared<StateTransfer>(m_peers, m_store, m_rule, m_log);
        auto onDone = [this, epoch](bool isComplete) {
            // Leaving members may lose their disks once the change is complete, so the copy has to be durable first.
            m_server.whenWritten([this, epoch, isComplete](bool isDurable) {
                if (m_copyingEpoch == epoch) {
                    m_copyingEpoch.reset();
                }
                if (isComplete && isDurable && !m_isStopped && m_group.epoch == epoch && !m_isWriting) {
                    writeGroup(completedGroup(m_group));
                }
            });
        };
        switch (task) {
        case CopyTask::Fetch:
            transfer->fetch(std::move(onDone));
            return;
        case CopyTask::Push:
            transfer->push(std::move(onDone));
            return;
        case CopyTask::Spread:
            transfer->spread(std::move(onDone));
            return;
        case CopyTask::None:
            return;
        }
    }

    Service &m_service;
    RetirementReporter &m_retirementReporter;
    StorePeers &m_peers;
    TurnStore &m_store;
    TurnServer &m_server;
    const StoreMember m_self;
    const QuorumRule m_rule;
    logging::EventLog &m_log;
    const GroupTimings m_timings;
    boost::asio::steady_timer m_timer;
    Time m_started;
    StoreGroup m_group;
    keyvalue::KeyVersion m_version;
    keyvalue::KeyVersion m_registrationVersion;
    std::map<StoreName, StoreMember> m_registered;
    std::map<StoreName, Time> m_retiring;
    std::map<DiskId, Contact> m_contacts;
    Time m_lastPing;
    /** Epoch of the change for which the state is being copied. */
    std::optional<GroupEpoch> m_copyingEpoch;
    RetirementObstacle m_reportedObstacle = RetirementObstacle::None;
    bool m_isGroupKnown = false;
    bool m_isRegistered = false;
    bool m_isWriting = false;
    bool m_isMissingReported = false;
    bool m_isRetirementReported = false;
    bool m_isCompletionReported = false;
    bool m_isStopped = false;
};

}
