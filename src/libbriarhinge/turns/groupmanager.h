#pragma once

#include "keyvalue/asynckeyvalue.h"
#include "logging/eventlog.h"
#include "turns/groupdecision.h"
#include "turns/groupkeys.h"
#include "turns/statetransfer.h"
#include "turns/turnserver.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

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
        if (!group) {
            m_log.write(logging::events::badEntry, {{"key", std::string(groupKey)}});
            return;
        }
        m_isGroupKnown = true;
        if (group->epoch < m_group.epoch) {
            return;
        }
        m_group = *group;
        m_version = version;
        if (m_store.adopt(*group)) {
            m_server.requestSync();
            m_log.write(
                logging::events::groupAdopted,
                {{"epoch", group->epoch.value()}, {"members", group->current.size()}, {"next", group->next.size()}});
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
        if (isCopyOwner()) {
            copyState();
            return;
        }
        propose();
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

    void pingMembers()
    {
        const auto now = std::chrono::steady_clock::now();
        // A serving member of a stable group learns everything relevant from the key-value service.
        if (m_group.next.empty() && containsDisk(m_group.current, m_self.disk)) {
            m_lastResponse.clear();
            return;
        }
        for (const StoreMember &member : m_group.members()) {
            if (member.name == m_self.name) {
                continue;
            }
            m_lastResponse.try_emplace(member.name, now);
            wire::BeginTurnT ping;
            ping.epoch = m_group.epoch.value();
            wire::MessageUnion message;
            message.Set(std::move(ping));
            m_peers.sendRequest(member.address, std::move(message), m_timings.pingTimeout,
                                [this, name = member.name](const wire::ChannelReply &reply) {
                                    if (std::holds_alternative<wire::FrameT>(reply)) {
                                        m_lastResponse[name] = std::chrono::steady_clock::now();
                                    }
                                });
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
        for (const auto &[name, last] : m_lastResponse) {
            if (now - last > m_timings.suspicionTimeout) {
                view.unreachable.insert(name);
            }
        }
        for (const auto &[name, since] : m_retiring) {
            view.retiring.insert(name);
            view.canShrink = view.canShrink || (name == m_self.name && now - since > m_timings.shrinkDelay);
        }
        view.canBootstrap = now - m_started > m_timings.bootstrapDelay;
        return view;
    }

    void propose()
    {
        if (const auto proposal = proposeGroup(view(), m_rule)) {
            writeGroup(*proposal);
        }
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

    /** Whether this store has to copy the state for the change in progress. */
    bool isCopyOwner() const
    {
        if (m_group.next.empty()) {
            return false;
        }
        const bool isInCurrent = containsDisk(m_group.current, m_self.disk);
        const bool isInNext = containsDisk(m_group.next, m_self.disk);
        const bool isShrinking = m_group.next.size() < m_group.current.size();
        return isInNext ? !isInCurrent : isInCurrent && isShrinking;
    }

    void copyState()
    {
        if (m_isCopying) {
            return;
        }
        m_isCopying = true;
        const GroupEpoch epoch = m_group.epoch;
        auto transfer = std::make_shared<StateTransfer>(m_peers, m_store, m_rule, m_log);
        auto onDone = [this, epoch](bool isComplete) {
            // Leaving members may lose their disks once the change is complete, so the copy has to be durable first.
            m_server.whenWritten([this, epoch, isComplete](bool isDurable) {
                m_isCopying = false;
                if (isComplete && isDurable && !m_isStopped && m_group.epoch == epoch && !m_isWriting) {
                    writeGroup(completedGroup(m_group));
                }
            });
        };
        if (containsDisk(m_group.next, m_self.disk)) {
            transfer->fetch(std::move(onDone));
        } else {
            transfer->push(std::move(onDone));
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
    std::map<StoreName, Time> m_lastResponse;
    bool m_isGroupKnown = false;
    bool m_isRegistered = false;
    bool m_isWriting = false;
    bool m_isCopying = false;
    bool m_isRetirementReported = false;
    bool m_isCompletionReported = false;
    bool m_isStopped = false;
};

}
