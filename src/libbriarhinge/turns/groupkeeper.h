#pragma once

#include "keyvalue/asynckeyvalue.h"
#include "logging/eventlog.h"
#include "turns/groupdecision.h"
#include "turns/groupkeys.h"
#include "turns/statefetch.h"
#include "turns/turnserver.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::turns
{

/** How a turn store watches over the group. */
struct GroupTimes
{
    /** How often the group is looked at: a fraction of the seconds that a replacement may take. */
    base::Milliseconds interval{200};
    /** Silence after which a member counts as unreachable; longer than a restart of its process takes to answer. */
    base::Milliseconds suspicion{1200};
    /** Time for all stores of a new deployment to register before the group is founded. */
    base::Milliseconds founding{1500};
    /** Time that a retiring member leaves for a spare store to take its place. */
    base::Milliseconds shrinking{2000};
    /** Longest wait for the answer to a ping: a round trip between zones with a busy disk. */
    base::Milliseconds ping{500};
};

/**
 * Registers a turn store and changes the group when it has to change: founds it, takes this store in, completes a
 * change after the state was copied, answers operators that want this store emptied.
 *
 * The key-value service decides between stores that propose at once. While it is away the group stays as it is.
 *
 * @tparam Service the key-value service
 * @tparam Operators told how the retirement of this store goes: `retirementRunning()` and `retirementCompleted()`
 */
template <keyvalue::AsyncKeyValueService Service, class Operators>
class GroupKeeper
{
public:
    /**
     * @param context runs the timers
     * @param service holds the group
     * @param operators told of retirements
     * @param peers asks the other stores
     * @param store what this store keeps
     * @param server syncs what this class changes
     * @param self this store
     * @param rule how many losses the group bears
     * @param log gets the changes
     * @param times how often and after what time things are done
     */
    GroupKeeper(boost::asio::io_context &context, Service &service, Operators &operators, StorePeers &peers,
                TurnStore &store, TurnServer &server, StoreMember self, QuorumRule rule, logging::EventLog &log,
                GroupTimes times = {})
        : m_service(service)
        , m_operators(operators)
        , m_peers(peers)
        , m_store(store)
        , m_server(server)
        , m_self(std::move(self))
        , m_rule(rule)
        , m_log(log)
        , m_times(times)
        , m_timer(context)
    {
    }

    /** Registers this store and starts to watch over the group. */
    void start()
    {
        m_started = std::chrono::steady_clock::now();
        tick();
    }

    /** Stops watching. */
    void stop()
    {
        m_isStopped = true;
        m_timer.cancel();
    }

    /** The key-value service has told of the group. @param text the value @param version its version */
    void groupSeen(const std::string &text, keyvalue::KeyVersion version)
    {
        const auto group = parseStoreGroup(text);
        if (!group) {
            m_log.write(logging::events::badEntry, {{"key", std::string(groupKey)}});
            return;
        }
        m_isGroupKnown = true;
        if (group->epoch < m_seen.epoch) {
            return;
        }
        m_seen = *group;
        m_version = version;
        if (m_store.adopt(*group)) {
            m_server.requestSync();
            m_log.write(
                logging::events::groupAdopted,
                {{"epoch", group->epoch.value()}, {"members", group->current.size()}, {"next", group->next.size()}});
        }
    }

    /** The key-value service has answered for the first time; without a group, there is none. */
    void serviceSeen()
    {
        m_isGroupKnown = true;
    }

    /** A turn store has registered. @param text its registration */
    void registrationSeen(const std::string &text)
    {
        // A registration has the form of a group of one.
        const auto group = parseStoreGroup(text);
        if (group && group->current.size() == 1) {
            m_registered[group->current.front().name] = group->current.front();
        }
    }

    /** Operators want a turn store emptied, or no longer. @param name the store @param isWanted whether they do */
    void retirementSeen(const StoreName &name, bool isWanted)
    {
        if (isWanted) {
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
        m_timer.expires_after(m_times.interval);
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
        answerOperators();
        pingMembers();
        if (isCopyOurs()) {
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

    void answerOperators()
    {
        if (!m_retiring.contains(m_self.name)) {
            m_isRetirementTold = false;
            m_isCompletionTold = false;
            return;
        }
        const bool isMember = m_seen.find(m_self.name).has_value();
        if (isMember && !m_isRetirementTold) {
            m_isRetirementTold = true;
            m_log.write(logging::events::retirement, {{"state", "running"}});
            m_operators.retirementRunning();
        }
        if (!isMember && m_seen.epoch.value() > 0 && !m_isCompletionTold) {
            m_isCompletionTold = true;
            m_log.write(logging::events::retirement, {{"state", "completed"}});
            m_operators.retirementCompleted();
        }
    }

    void pingMembers()
    {
        const auto now = std::chrono::steady_clock::now();
        // Members that serve learn from the key-value service all that concerns them.
        if (m_seen.next.empty() && containsDisk(m_seen.current, m_self.disk)) {
            m_lastAnswer.clear();
            return;
        }
        for (const StoreMember &member : m_seen.members()) {
            if (member.name == m_self.name) {
                continue;
            }
            m_lastAnswer.try_emplace(member.name, now);
            wire::BeginTurnT ping;
            ping.epoch = m_seen.epoch.value();
            wire::MessageUnion message;
            message.Set(std::move(ping));
            m_peers.ask(member.address, std::move(message), m_times.ping,
                        [this, name = member.name](const wire::ChannelReply &reply) {
                            if (std::holds_alternative<wire::FrameT>(reply)) {
                                m_lastAnswer[name] = std::chrono::steady_clock::now();
                            }
                        });
        }
    }

    GroupView view() const
    {
        const auto now = std::chrono::steady_clock::now();
        GroupView view;
        view.group = m_seen;
        view.self = m_self;
        for (const auto &[name, member] : m_registered) {
            view.registered.push_back(member);
        }
        for (const auto &[name, last] : m_lastAnswer) {
            if (now - last > m_times.suspicion) {
                view.unreachable.insert(name);
            }
        }
        for (const auto &[name, since] : m_retiring) {
            view.retiring.insert(name);
            view.mayShrink = view.mayShrink || (name == m_self.name && now - since > m_times.shrinking);
        }
        view.mayFound = now - m_started > m_times.founding;
        return view;
    }

    void propose()
    {
        if (const auto proposal = proposeGroup(view(), m_rule)) {
            write(*proposal);
        }
    }

    void write(const StoreGroup &group)
    {
        m_isWriting = true;
        m_log.write(logging::events::groupProposed,
                    {{"epoch", group.epoch.value()}, {"members", group.current.size()}, {"next", group.next.size()}});
        const std::string text = toJson(group);
        m_service.write(std::string(groupKey), text, m_version, [this, text](const keyvalue::WriteResult &result) {
            m_isWriting = false;
            if (const auto *version = std::get_if<keyvalue::KeyVersion>(&result)) {
                groupSeen(text, *version);
            } else if (!std::holds_alternative<keyvalue::VersionConflict>(result)) {
                // The write may take effect later; the condition keeps it from replacing anything newer.
                m_log.write(logging::events::platformUnavailable, {{"reason", "the group could not be written"}});
            }
        });
    }

    /** Whether this store is the one that copies the state for the change under way. */
    bool isCopyOurs() const
    {
        if (m_seen.next.empty()) {
            return false;
        }
        const bool isInCurrent = containsDisk(m_seen.current, m_self.disk);
        const bool isInNext = containsDisk(m_seen.next, m_self.disk);
        const bool isShrinking = m_seen.next.size() < m_seen.current.size();
        return isInNext ? !isInCurrent : isInCurrent && isShrinking;
    }

    void copyState()
    {
        if (m_isCopying) {
            return;
        }
        m_isCopying = true;
        const GroupEpoch epoch = m_seen.epoch;
        auto copy = std::make_shared<StateFetch>(m_peers, m_store, m_rule, m_log);
        auto onDone = [this, epoch](bool isWhole) {
            // The members that leave may lose their disks as soon as the change is complete.
            m_server.whenWritten([this, epoch, isWhole](bool isWritten) {
                m_isCopying = false;
                if (isWhole && isWritten && !m_isStopped && m_seen.epoch == epoch && !m_isWriting) {
                    write(completedGroup(m_seen));
                }
            });
        };
        if (containsDisk(m_seen.next, m_self.disk)) {
            copy->fetch(std::move(onDone));
        } else {
            copy->push(std::move(onDone));
        }
    }

    Service &m_service;
    Operators &m_operators;
    StorePeers &m_peers;
    TurnStore &m_store;
    TurnServer &m_server;
    const StoreMember m_self;
    const QuorumRule m_rule;
    logging::EventLog &m_log;
    const GroupTimes m_times;
    boost::asio::steady_timer m_timer;
    Time m_started;
    StoreGroup m_seen;
    keyvalue::KeyVersion m_version;
    keyvalue::KeyVersion m_registrationVersion;
    std::map<StoreName, StoreMember> m_registered;
    std::map<StoreName, Time> m_retiring;
    std::map<StoreName, Time> m_lastAnswer;
    bool m_isGroupKnown = false;
    bool m_isRegistered = false;
    bool m_isWriting = false;
    bool m_isCopying = false;
    bool m_isRetirementTold = false;
    bool m_isCompletionTold = false;
    bool m_isStopped = false;
};

}
