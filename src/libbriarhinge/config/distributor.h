#pragma once

#include "config/inforce.h"
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

/** How often a distributor asks, and whom. */
struct DistributionTimes
{
    /** Processes of each zone that watch the key-value service; the others ask their peers. */
    std::size_t watchersPerZone = 2;
    /** How long a watch, or a request to a peer, waits for a change. */
    base::Milliseconds hold{2000};
    /** Longest wait for an answer beyond the hold. */
    base::Milliseconds answerLimit{1000};
    /** How long a peer that did not answer is passed over. */
    base::Milliseconds avoid{10'000};
    /** Pause after nobody could be asked. */
    base::Milliseconds retry{250};
    /** How long a revision seen on a frame may take to come by itself before it is asked for. */
    base::Milliseconds gapDelay{500};
};

/**
 * Brings every accepted configuration to this process.
 *
 * A few processes in each zone watch the key-value service. Each other one asks the first live peer of its priority
 * list, and the request waits there until that peer has a higher revision (the coordinator tree of Garcia-Molina and
 * Kogan, CS-TR-170-88, section 4). Revisions number the stream, so a higher one on any frame shows a gap. A process
 * that reaches nobody on its list is the root of its part of the network and watches the service itself.
 */
template <keyvalue::KeyValueService KeyValueT>
class Distributor
{
public:
    using ChannelFactory = std::function<std::shared_ptr<wire::FrameChannel>(const wire::Address &)>;

    /**
     * @param self this process
     * @param keyValue the platform's service; used by the thread of the distributor only
     * @param inForce gets the configurations
     * @param makeChannel makes the connection to a peer
     * @param log gets the events
     * @param times how often to ask
     */
    Distributor(Peer self, KeyValueT &keyValue, InForce &inForce, ChannelFactory makeChannel, logging::EventLog &log,
                DistributionTimes times = {})
        : m_self(std::move(self))
        , m_keyValue(keyValue)
        , m_inForce(inForce)
        , m_makeChannel(std::move(makeChannel))
        , m_log(log)
        , m_times(times)
    {
    }

    ~Distributor()
    {
        stop();
    }

    Distributor(const Distributor &) = delete;
    Distributor &operator=(const Distributor &) = delete;

    /** Starts to ask. */
    void start()
    {
        m_thread = std::jthread([this](const std::stop_token &stop) {
            run(stop);
        });
    }

    /** Stops asking; waits for a watch under way. */
    void stop()
    {
        m_thread.request_stop();
        m_changed.notify_all();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /** Takes in the other processes. @param peers as the VM list names them; this process is passed over */
    void updatePeers(std::vector<Peer> peers)
    {
        std::erase_if(peers, [this](const Peer &peer) {
            return peer.name == m_self.name;
        });
        const std::lock_guard lock(m_mutex);
        m_peers = std::move(peers);
    }

    /** Notes a revision that a frame carried. @param revision it @param holder who has it, when that is known */
    void seen(base::Revision revision, const std::optional<wire::Address> &holder = std::nullopt)
    {
        if (revision <= m_inForce.highestSeen()) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (!m_gap || m_gap->revision < revision) {
            m_gap = Gap{revision, holder, m_gap ? m_gap->due : std::chrono::steady_clock::now() + m_times.gapDelay};
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

    /** What a peer answered; shared with the connection, which may answer after the wait was given up. */
    struct Answer
    {
        std::optional<wire::ChannelReply> reply;
    };

    void run(const std::stop_token &stop)
    {
        while (!stop.stop_requested() && !m_inForce.current()) {
            learnFirst(stop);
        }
        while (!stop.stop_requested()) {
            fillGap(stop);
            follow(stop);
        }
    }

    /** Learns a first configuration: from the service, or from several peers while the service is down. */
    void learnFirst(const std::stop_token &stop)
    {
        constexpr std::size_t peersToCompare = 5;
        if (readHead()) {
            return;
        }
        std::size_t answers = 0;
        std::optional<wire::ConfigurationT> highest;
        for (const Peer &peer : nearestFirst(m_self, peers())) {
            if (answers == peersToCompare || stop.stop_requested()) {
                break;
            }
            const auto configuration = ask(peer.address, base::Milliseconds(0), stop);
            if (!configuration || !configuration->known) {
                continue;
            }
            ++answers;
            if (!highest || highest->revision < configuration->revision) {
                highest = configuration;
            }
        }
        if (highest) {
            m_log.write(logging::events::configurationFromPeers, {{"revision", highest->revision}, {"peers", answers}});
            take(*highest);
            return;
        }
        pause(m_times.retry, stop);
    }

    void follow(const std::stop_token &stop)
    {
        const std::vector<Peer> others = peers();
        forgetLost(others);
        const std::vector<Peer> list = priorityList(m_self, others);
        const bool watches = isWatcher(m_self, others, m_times.watchersPerZone);
        if (watches && watch()) {
            // The peer before this one may be cut off from the service: the request shows it what this one has.
            askFirst(list, base::Milliseconds(0), stop);
            return;
        }
        if (askFirst(list, m_times.hold, stop)) {
            return;
        }
        if (watches || !watch()) {
            pause(m_times.retry, stop);
        }
    }

    /** Closes the connections to processes that the VM list no longer names. */
    void forgetLost(const std::vector<Peer> &others)
    {
        std::set<wire::Address> present;
        for (const Peer &peer : others) {
            present.insert(peer.address);
        }
        const auto isLost = [&](const auto &item) {
            return !present.contains(item.first);
        };
        std::erase_if(m_channels, isLost);
        std::erase_if(m_avoidUntil, isLost);
    }

    /** Asks the first of a list that answers. @return whether any did */
    bool askFirst(const std::vector<Peer> &list, base::Milliseconds wait, const std::stop_token &stop)
    {
        for (const Peer &peer : list) {
            const auto avoided = m_avoidUntil.find(peer.address);
            if (avoided != m_avoidUntil.end() && avoided->second > std::chrono::steady_clock::now()) {
                continue;
            }
            if (const auto configuration = ask(peer.address, wait, stop)) {
                take(*configuration);
                return true;
            }
            if (stop.stop_requested() || isGapDue()) {
                return true;
            }
            m_avoidUntil[peer.address] = std::chrono::steady_clock::now() + m_times.avoid;
        }
        return false;
    }

    /** Fetches a revision that was seen on a frame and did not come by itself. */
    void fillGap(const std::stop_token &stop)
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
        if (m_inForce.highestSeen() >= gap.revision) {
            return;
        }
        m_log.write(logging::events::configurationGap,
                    {{"seen", gap.revision.value()}, {"inForce", m_inForce.revision().value()}});
        if (gap.holder) {
            if (const auto configuration = ask(*gap.holder, base::Milliseconds(0), stop)) {
                take(*configuration);
            }
        }
        for (const Peer &peer : priorityList(m_self, peers())) {
            if (m_inForce.highestSeen() >= gap.revision || stop.stop_requested()) {
                return;
            }
            if (const auto configuration = ask(peer.address, base::Milliseconds(0), stop)) {
                take(*configuration);
            }
        }
    }

    bool isGapDue()
    {
        const std::lock_guard lock(m_mutex);
        return m_gap && m_gap->due <= std::chrono::steady_clock::now();
    }

    /** @return the answer of a peer; nothing when it gave none, a gap became due or the process stops */
    std::optional<wire::ConfigurationT> ask(const wire::Address &address, base::Milliseconds wait,
                                            const std::stop_token &stop)
    {
        wire::FetchConfigurationT fetch;
        fetch.revision = m_inForce.highestSeen().value();
        fetch.wait_ms = static_cast<std::uint32_t>(wait.count());
        fetch.from = wire::toString(m_self.address);
        wire::MessageUnion message;
        message.Set(std::move(fetch));
        auto answer = std::make_shared<Answer>();
        const auto end = std::chrono::steady_clock::now() + wait + m_times.answerLimit;
        channelTo(address)->sendRequest(std::move(message), [shared = m_shared, answer](wire::ChannelReply reply) {
            const std::lock_guard lock(shared->mutex);
            answer->reply = std::move(reply);
            shared->changed.notify_all();
        });
        std::unique_lock lock(m_mutex);
        while (!answer->reply && !stop.stop_requested() && std::chrono::steady_clock::now() < end) {
            const auto now = std::chrono::steady_clock::now();
            if (wait > base::Milliseconds(0) && m_gap && m_gap->due <= now) {
                break;
            }
            m_changed.wait_until(lock, wait > base::Milliseconds(0) && m_gap ? std::min(end, m_gap->due) : end);
        }
        const auto *frame = answer->reply ? std::get_if<wire::FrameT>(&*answer->reply) : nullptr;
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

    void take(const wire::ConfigurationT &configuration)
    {
        if (!configuration.known) {
            return;
        }
        if (configuration.revision == 0) {
            m_inForce.confirmEmpty();
            return;
        }
        if (!configuration.document.empty()) {
            offer(base::Revision(configuration.revision), configuration.document);
        }
    }

    void offer(base::Revision revision, const std::string &document)
    {
        const base::Revision before = m_inForce.revision();
        const OfferResult result = m_inForce.offer(revision, document);
        if (std::holds_alternative<Taken>(result)) {
            m_log.write(logging::events::configurationInForce,
                        {{"revision", revision.value()}, {"before", before.value()}});
        } else if (const auto *faults = std::get_if<DeclarationFaults>(&result)) {
            m_log.write(logging::events::configurationRefused,
                        {{"revision", revision.value()},
                         {"inForce", before.value()},
                         {"fault", toString(faults->faults.front())}});
        }
    }

    /** @return whether the service answered */
    bool readHead()
    {
        RevisionStore<KeyValueT> store(m_keyValue);
        const HeadResult read = store.head();
        if (const auto *head = std::get_if<Head>(&read)) {
            m_watched = head->version;
            offer(head->record.audit.to, head->record.declaration);
            return m_inForce.current() != nullptr;
        }
        if (std::holds_alternative<NoConfiguration>(read)) {
            m_inForce.confirmEmpty();
            return true;
        }
        return false;
    }

    /** Waits for a change of the head. @return whether the service answered */
    bool watch()
    {
        const keyvalue::WatchResult result = m_keyValue.watch(headKey, m_watched, m_times.hold);
        const auto *changes = std::get_if<keyvalue::Changes>(&result);
        if (changes == nullptr) {
            return false;
        }
        if (changes->seen < m_watched) {
            m_watched = keyvalue::KeyVersion(0);
        }
        for (const keyvalue::KeyValue &change : changes->changed) {
            const auto record = decodeRecord(change.value);
            if (change.key == headKey && record) {
                offer(record->audit.to, record->declaration);
                m_watched = std::max(m_watched, change.version);
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

    /** Outlives the distributor while a connection holds on to a request. */
    struct Shared
    {
        std::mutex mutex;
        std::condition_variable changed;
    };

    const Peer m_self;
    KeyValueT &m_keyValue;
    InForce &m_inForce;
    ChannelFactory m_makeChannel;
    logging::EventLog &m_log;
    const DistributionTimes m_times;
    const std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
    std::mutex &m_mutex = m_shared->mutex;
    std::condition_variable &m_changed = m_shared->changed;
    std::vector<Peer> m_peers;
    std::optional<Gap> m_gap;
    /** The rest is used by the thread only. */
    std::map<wire::Address, std::shared_ptr<wire::FrameChannel>> m_channels;
    std::map<wire::Address, std::chrono::steady_clock::time_point> m_avoidUntil;
    keyvalue::KeyVersion m_watched;
    std::jthread m_thread;
};

}
