#pragma once

#include "config/activeconfiguration.h"
#include "config/peerorder.h"
#include "config/revisionstore.h"
#include "logging/eventlog.h"
#include "wire/framechannel.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace briarhinge::config
{

/** Timeouts, delays and watcher count of a distributor. */
struct DistributionOptions
{
    /** Number of processes in each zone that watch the key-value service; the others request from their peers. */
    std::size_t watchersPerZone = 2;
    /** How long a watch, or a request at a peer, waits for a change. */
    base::Milliseconds watchTimeout{2000};
    /** Additional time to wait for the reply of a peer before the request fails. */
    base::Milliseconds replyTimeout{1000};
    /** How long a peer that did not reply is skipped. */
    base::Milliseconds peerRetryDelay{10'000};
    /** Delay before the next attempt when neither a peer nor the service replied. */
    base::Milliseconds retryDelay{250};
    /** How long to wait for a revision seen on a frame to be distributed normally before it is requested. */
    base::Milliseconds gapDelay{500};
};

/**
 * Distributes accepted configurations to this process.
 *
 * A few processes in each zone watch the key-value service. Every other process sends a long-poll request to the first
 * reachable peer on its priority list, which replies when it has a higher revision (the coordinator tree of
 * Garcia-Molina and Kogan, CS-TR-170-88, section 4). Revisions are consecutive, so a higher revision stamped on any
 * frame reveals a missed update. A process that reaches no peer on its list is the root of its network partition and
 * watches the service itself.
 */
template <keyvalue::KeyValueService KeyValueT>
class Distributor
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /**
     * @param self this process
     * @param keyValue the platform's key-value service; used only by the thread of the distributor
     * @param activeConfiguration the active configuration, updated by the distributor
     * @param makeChannel creates the channel to a peer
     * @param log receives events about configuration changes
     * @param options timeouts and delays
     */
    Distributor(Peer self, KeyValueT &keyValue, ActiveConfiguration &activeConfiguration, ChannelFactory makeChannel,
                logging::EventLog &log, DistributionOptions options = {})
        : m_self(std::move(self))
        , m_keyValue(keyValue)
        , m_activeConfiguration(activeConfiguration)
        , m_makeChannel(std::move(makeChannel))
        , m_log(log)
        , m_options(options)
    {
    }

    ~Distributor()
    {
        stop();
    }

    Distributor(const Distributor &) = delete;
    Distributor &operator=(const Distributor &) = delete;

    /** Starts the distribution thread. */
    void start()
    {
        m_thread = std::jthread([this](const std::stop_token &stop) {
            run(stop);
        });
    }

    /** Stops the distribution thread; blocks until a watch in progress returns. */
    void stop()
    {
        m_thread.request_stop();
        m_changed.notify_all();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /** Replaces the list of peers. @param peers all processes on the VM list; this process is ignored */
    void updatePeers(std::vector<Peer> peers)
    {
        std::erase_if(peers, [this](const Peer &peer) {
            return peer.name == m_self.name;
        });
        const std::lock_guard lock(m_mutex);
        m_peers = std::move(peers);
    }

    /**
     * Records a revision that was seen on a frame. If it does not arrive within the gap delay, it is requested.
     *
     * @param revision the revision stamped on the frame
     * @param holder address of a process that has seen it, if known
     */
    void recordRevision(base::Revision revision, const std::optional<wire::Address> &holder = std::nullopt)
    {
        if (revision <= m_activeConfiguration.highestSeen()) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (!m_gap || m_gap->revision < revision) {
            m_gap = Gap{revision, holder, m_gap ? m_gap->due : std::chrono::steady_clock::now() + m_options.gapDelay};
            m_changed.notify_all();
        }
    }

private:
    struct Gap
    {
        base::Revision revision;
        std::optional<wire::Address> holder;
        std::chrono::steady_clock::time_point due;
    };

    /** Reply of a peer; shared with the channel, which may deliver it after the request has timed out. */
    struct PendingReply
    {
        std::optional<wire::ChannelReply> reply;
    };

    void run(const std::stop_token &stop)
    {
        while (!stop.stop_requested() && !m_activeConfiguration.current()) {
            loadInitial(stop);
        }
        while (!stop.stop_requested()) {
            fetchMissedRevision(stop);
            waitForUpdate(stop);
        }
    }

    /** Loads the initial configuration from the service, or the highest of several peers while the service is down. */
    void loadInitial(const std::stop_token &stop)
    {
        constexpr std::size_t peersToCompare = 5;
        if (readHead()) {
            return;
        }
        std::size_t replies = 0;
        std::optional<wire::ConfigurationT> highest;
        for (const Peer &peer : sortedByProximity(m_self, peers())) {
            if (replies == peersToCompare || stop.stop_requested()) {
                break;
            }
            const auto configuration = requestFrom(peer.address, base::Milliseconds(0), stop);
            if (!configuration || !configuration->known) {
                continue;
            }
            ++replies;
            if (!highest || highest->revision < configuration->revision) {
                highest = configuration;
            }
        }
        if (highest) {
            m_log.write(logging::events::configurationFromPeers, {{"revision", highest->revision}, {"peers", replies}});
            applyReply(*highest);
            return;
        }
        pause(m_options.retryDelay, stop);
    }

    void waitForUpdate(const std::stop_token &stop)
    {
        const std::vector<Peer> others = peers();
        closeStaleChannels(others);
        const std::vector<Peer> list = priorityList(m_self, others);
        const bool isWatching = isWatcher(m_self, others, m_options.watchersPerZone);
        if (isWatching && watch()) {
            // The preceding peer may be cut off from the service; this request tells it which revision exists.
            requestFromFirst(list, base::Milliseconds(0), stop);
            return;
        }
        if (requestFromFirst(list, m_options.watchTimeout, stop)) {
            return;
        }
        if (isWatching || !watch()) {
            pause(m_options.retryDelay, stop);
        }
    }

    /** Closes the channels to processes that are no longer on the VM list. */
    void closeStaleChannels(const std::vector<Peer> &others)
    {
        std::set<wire::Address> present;
        for (const Peer &peer : others) {
            present.insert(peer.address);
        }
        const auto isStale = [&](const auto &item) {
            return !present.contains(item.first);
        };
        std::erase_if(m_channels, isStale);
        std::erase_if(m_retryAfter, isStale);
    }

    /**
     * Requests the configuration from the first peer of a list that replies.
     *
     * @return whether a peer replied, or the request was interrupted by a due gap or a stop
     */
    bool requestFromFirst(const std::vector<Peer> &list, base::Milliseconds wait, const std::stop_token &stop)
    {
        for (const Peer &peer : list) {
            const auto retryAfter = m_retryAfter.find(peer.address);
            if (retryAfter != m_retryAfter.end() && retryAfter->second > std::chrono::steady_clock::now()) {
                continue;
            }
            if (const auto configuration = requestFrom(peer.address, wait, stop)) {
                applyReply(*configuration);
                return true;
            }
            if (stop.stop_requested() || isGapDue()) {
                return true;
            }
            m_retryAfter[peer.address] = std::chrono::steady_clock::now() + m_options.peerRetryDelay;
        }
        return false;
    }

    /** Requests a revision that was seen on a frame but has not been distributed to this process. */
    void fetchMissedRevision(const std::stop_token &stop)
    {
        if (!isGapDue()) {
            return;
        }
        Gap gap;
        {
            const std::lock_guard lock(m_mutex);
            gap = *m_gap;
            m_gap.reset();
        }
        if (m_activeConfiguration.highestSeen() >= gap.revision) {
            return;
        }
        m_log.write(logging::events::configurationGap,
                    {{"seen", gap.revision.value()}, {"inForce", m_activeConfiguration.revision().value()}});
        if (gap.holder) {
            if (const auto configuration = requestFrom(*gap.holder, base::Milliseconds(0), stop)) {
                applyReply(*configuration);
            }
        }
        for (const Peer &peer : priorityList(m_self, peers())) {
            if (m_activeConfiguration.highestSeen() >= gap.revision || stop.stop_requested()) {
                return;
            }
            if (const auto configuration = requestFrom(peer.address, base::Milliseconds(0), stop)) {
                applyReply(*configuration);
            }
        }
    }

    bool isGapDue()
    {
        const std::lock_guard lock(m_mutex);
        return m_gap && m_gap->due <= std::chrono::steady_clock::now();
    }

    /** @return the reply of a peer; no value on failure or timeout, when a gap became due or the process stops */
    std::optional<wire::ConfigurationT> requestFrom(const wire::Address &address, base::Milliseconds wait,
                                                    const std::stop_token &stop)
    {
        wire::FetchConfigurationT fetch;
        fetch.revision = m_activeConfiguration.highestSeen().value();
        fetch.wait_ms = static_cast<std::uint32_t>(wait.count());
        fetch.from = wire::toString(m_self.address);
        wire::MessageUnion message;
        message.Set(std::move(fetch));
        auto pending = std::make_shared<PendingReply>();
        const auto deadline = std::chrono::steady_clock::now() + wait + m_options.replyTimeout;
        channelTo(address)->sendRequest(std::move(message), [shared = m_shared, pending](wire::ChannelReply reply) {
            const std::lock_guard lock(shared->mutex);
            pending->reply = std::move(reply);
            shared->changed.notify_all();
        });
        std::unique_lock lock(m_mutex);
        while (!pending->reply && !stop.stop_requested() && std::chrono::steady_clock::now() < deadline) {
            const auto now = std::chrono::steady_clock::now();
            if (wait > base::Milliseconds(0) && m_gap && m_gap->due <= now) {
                break;
            }
            m_changed.wait_until(lock,
                                 wait > base::Milliseconds(0) && m_gap ? std::min(deadline, m_gap->due) : deadline);
        }
        const auto *frame = pending->reply ? std::get_if<wire::FrameT>(&*pending->reply) : nullptr;
        const auto *configuration = frame == nullptr ? nullptr : frame->message.AsConfiguration();
        return configuration == nullptr ? std::nullopt : std::optional(*configuration);
    }

    std::shared_ptr<wire::FrameChannel> channelTo(const wire::Address &address)
    {
        auto &channel = m_channels[address];
        if (!channel) {
            channel = m_makeChannel(address);
        }
        return channel;
    }

    void applyReply(const wire::ConfigurationT &configuration)
    {
        if (!configuration.known) {
            return;
        }
        if (configuration.revision == 0) {
            m_activeConfiguration.confirmEmpty();
            return;
        }
        if (!configuration.document.empty()) {
            applyRevision(base::Revision(configuration.revision), configuration.document);
        }
    }

    void applyRevision(base::Revision revision, const std::string &document)
    {
        const base::Revision before = m_activeConfiguration.revision();
        const ApplyResult result = m_activeConfiguration.apply(revision, document);
        if (std::holds_alternative<Applied>(result)) {
            m_log.write(logging::events::configurationInForce,
                        {{"revision", revision.value()}, {"before", before.value()}});
        } else if (const auto *errors = std::get_if<DeclarationErrors>(&result)) {
            m_log.write(logging::events::configurationRefused,
                        {{"revision", revision.value()},
                         {"inForce", before.value()},
                         {"fault", toString(errors->errors.front())}});
        }
    }

    /** Reads the latest revision from the service. @return whether a configuration is active now */
    bool readHead()
    {
        RevisionStore<KeyValueT> store(m_keyValue);
        const HeadResult read = store.head();
        if (const auto *head = std::get_if<Head>(&read)) {
            m_headVersion = head->version;
            applyRevision(head->record.audit.to, head->record.declaration);
            return m_activeConfiguration.current() != nullptr;
        }
        if (std::holds_alternative<NoConfiguration>(read)) {
            m_activeConfiguration.confirmEmpty();
            return true;
        }
        return false;
    }

    /** Waits for a change of the head key. @return whether the service responded */
    bool watch()
    {
        const keyvalue::WatchResult result = m_keyValue.watch(headKey, m_headVersion, m_options.watchTimeout);
        const auto *changes = std::get_if<keyvalue::Changes>(&result);
        if (changes == nullptr) {
            return false;
        }
        if (changes->version < m_headVersion) {
            m_headVersion = keyvalue::KeyVersion(0);
        }
        for (const keyvalue::KeyValue &change : changes->changed) {
            const auto record = decodeRecord(change.value);
            if (change.key == headKey && record) {
                applyRevision(record->audit.to, record->declaration);
                m_headVersion = std::max(m_headVersion, change.version);
            }
        }
        return true;
    }

    std::vector<Peer> peers()
    {
        const std::lock_guard lock(m_mutex);
        return m_peers;
    }

    void pause(base::Milliseconds time, const std::stop_token &stop)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, time, [&] {
            return stop.stop_requested();
        });
    }

    /** Outlives the distributor while a channel still has a pending request. */
    struct Shared
    {
        std::mutex mutex;
        std::condition_variable changed;
    };

    const Peer m_self;
    KeyValueT &m_keyValue;
    ActiveConfiguration &m_activeConfiguration;
    ChannelFactory m_makeChannel;
    logging::EventLog &m_log;
    const DistributionOptions m_options;
    const std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
    std::mutex &m_mutex = m_shared->mutex;
    std::condition_variable &m_changed = m_shared->changed;
    std::vector<Peer> m_peers;
    std::optional<Gap> m_gap;
    /** The following members are used only by the distribution thread. */
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
    std::map<wire::Address, std::chrono::steady_clock::time_point> m_retryAfter;
    keyvalue::KeyVersion m_headVersion;
    std::jthread m_thread;
};

}
