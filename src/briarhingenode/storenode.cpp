#include "storenode.h"

#include "platform/documents.h"
#include "wire/framecodec.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>

namespace briarhinge::node
{

namespace
{

constexpr std::string_view diskIdFile = "disk-id";
constexpr std::string_view deploymentFile = "deployment";
/**
 * Batches changes of the deployment into one write. Changes lost in a power failure are read again from the platform's
 * store.
 */
constexpr base::Milliseconds saveDelay{500};
/** Part of the memory for turns and budgets, in eighths. */
constexpr std::size_t keptEighths = 5;

std::string newDiskId(const std::string &name)
{
    std::random_device random;
    const auto time = std::chrono::system_clock::now().time_since_epoch().count();
    return name + '-' + std::to_string(time) + '-' + std::to_string(random());
}

}

StoreNode::StoreNode(boost::asio::io_context &context, const platform::NodeSettings &settings, logging::EventLog &log)
    : m_context(context)
    , m_settings(settings)
    , m_log(log)
    , m_platformStore(context, settings.storeAddress)
    , m_watch(context, m_platformStore, log, settings.changeTimeLimit)
    , m_retirementReport(m_platformStore, settings.name, log)
    , m_peers(context)
    , m_journal(settings.dataFolder)
    , m_permitServer([this] {
        return permitKeepers();
    })
    , m_usageServer(
          settings.usageTolerance,
          [this] {
              return permitKeepers();
          },
          [this](const base::ProgramId &program) {
              return m_store->isProgramUnderWay(program);
          })
    , m_saveTimer(context)
{
}

std::variant<turns::DiskId, turns::DiskError> StoreNode::openDisk() const
{
    std::ifstream file(m_settings.dataFolder + '/' + std::string(diskIdFile));
    const std::string known{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!known.empty()) {
        return turns::DiskId(known);
    }
    const std::string id = newDiskId(m_settings.name);
    const auto result = turns::writeFileDurably(m_settings.dataFolder, std::string(diskIdFile), id);
    if (const auto *error = std::get_if<turns::DiskError>(&result)) {
        return *error;
    }
    return turns::DiskId(id);
}

std::string StoreNode::start()
{
    if (m_settings.dataFolder.empty()) {
        return "a turn store needs data_dir";
    }
    const auto disk = openDisk();
    if (const auto *error = std::get_if<turns::DiskError>(&disk)) {
        return error->reason;
    }
    m_store = std::make_unique<turns::TurnStore>(std::get<turns::DiskId>(disk), m_journal,
                                                 turns::storeRetention(base::Milliseconds(0)),
                                                 m_settings.machine.memoryBytes / 8 * keptEighths);
    // The journal is read with the retention of the last known configuration.
    loadDeployment();
    const auto now = std::chrono::steady_clock::now();
    const auto opened = m_journal.open([this, now](std::span<const std::uint8_t> record) {
        m_store->replay(record, now);
    });
    if (const auto *error = std::get_if<turns::DiskError>(&opened)) {
        // Not fatal: the journal starts a segment with the first record that can be written.
        m_log.write(logging::events::diskFailing, {{"reason", error->reason}});
    }
    const auto deployment = [this] {
        std::vector<keyvalue::KeyValue> items;
        for (const auto &[key, item] : m_deployment) {
            items.push_back(item);
        }
        return items;
    };
    m_server = std::make_unique<turns::TurnServer>(m_context, *m_store, m_journal, m_log, deployment,
                                                   [this](const wire::MessageUnion &message) {
                                                       auto answer = m_permitServer.handleMessage(message);
                                                       return answer ? answer : m_usageServer.handleMessage(message);
                                                   });
    const wire::Address address{m_settings.ip, m_settings.firstInternalPort};
    const auto listening = m_server->listen(address);
    if (const auto *error = std::get_if<wire::ListenError>(&listening)) {
        return error->reason;
    }
    if (m_settings.seedListenAddress) {
        const auto seedListening = m_server->listen(*m_settings.seedListenAddress);
        if (const auto *error = std::get_if<wire::ListenError>(&seedListening)) {
            return error->reason;
        }
    }
    const turns::StoreMember self{turns::StoreName(m_settings.name), m_settings.zone, address, m_store->disk()};
    m_groupManager =
        std::make_unique<Manager>(m_context, m_platformStore, m_retirementReport, m_peers, *m_store, *m_server, self,
                                  turns::QuorumRule{m_settings.toleratedDiskLosses}, m_log);
    m_chainRepair = std::make_unique<turns::ChainRepair>(m_context, m_peers, *m_store, *m_server, m_log);
    watchGroup();
    watchOperators();
    watchRunners();
    m_watch.start();
    m_groupManager->start();
    m_chainRepair->start();
    return {};
}

std::size_t StoreNode::permitKeepers() const
{
    const auto members = m_store->group().members();
    const bool isMember = std::any_of(members.begin(), members.end(), [this](const turns::StoreMember &member) {
        return member.disk == m_store->disk();
    });
    return isMember ? members.size() : 0;
}

void StoreNode::loadDeployment()
{
    std::ifstream file(m_settings.dataFolder + '/' + std::string(deploymentFile), std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    const std::vector<std::uint8_t> bytes(text.begin(), text.end());
    const auto decoded = wire::decodeFrame(bytes);
    const auto *frame = std::get_if<wire::FrameT>(&decoded);
    const auto *state = frame == nullptr ? nullptr : frame->message.AsDeploymentState();
    if (state == nullptr) {
        return;
    }
    for (const auto &item : state->items) {
        m_deployment[item->key] = {item->key, item->value, {}};
        m_unconfirmedKeys.insert(item->key);
        if (item->key == platform::routingKey) {
            updateRetention(item->value);
        }
    }
}

void StoreNode::updateRetention(const std::string &routingText)
{
    if (const auto routing = platform::parseRouting(routingText)) {
        m_store->setRetention(turns::storeRetention(routing->longestRetention()));
    }
}

void StoreNode::updateDeployment(const keyvalue::KeyValue &item)
{
    m_deployment[item.key] = item;
    m_unconfirmedKeys.erase(item.key);
    scheduleSave();
}

void StoreNode::scheduleSave()
{
    if (m_isSaveScheduled) {
        return;
    }
    m_isSaveScheduled = true;
    m_saveTimer.expires_after(saveDelay);
    m_saveTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_isSaveScheduled = false;
        wire::FrameT frame;
        frame.message.Set(m_server->deploymentState());
        const auto bytes = wire::encodeFrame(frame);
        const std::string text(bytes.begin() + wire::lengthPrefixBytes, bytes.end());
        m_server->postToDiskThread([this, text] {
            const auto result = turns::writeFileDurably(m_settings.dataFolder, std::string(deploymentFile), text);
            if (const auto *failure = std::get_if<turns::DiskError>(&result)) {
                m_log.write(logging::events::diskFailing, {{"reason", failure->reason}});
            }
        });
    });
}

void StoreNode::watchGroup()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        if (item.key == turns::groupKey) {
            m_groupManager->updateGroup(item.value, item.version);
        } else if (item.key.starts_with(turns::registrationPrefix)) {
            m_groupManager->addRegistration(item.value);
        } else if (item.key.starts_with(turns::relayPrefix)) {
            updateDeployment(item);
        }
    };
    handlers.onListed = [this] {
        m_groupManager->markServiceAvailable();
    };
    m_watch.subscribe(std::string(turns::keyPrefix), std::move(handlers));
}

void StoreNode::watchOperators()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        if (item.key.starts_with(platform::retirementPrefix)) {
            m_groupManager->setRetirement(turns::StoreName(item.key.substr(platform::retirementPrefix.size())), true);
        } else if (item.key == platform::routingKey) {
            updateDeployment({item.key, platform::withoutKeys(item.value), item.version});
            updateRetention(item.value);
        }
    };
    handlers.onRemoved = [this](const std::string &key, base::Milliseconds) {
        if (key.starts_with(platform::retirementPrefix)) {
            m_groupManager->setRetirement(turns::StoreName(key.substr(platform::retirementPrefix.size())), false);
        }
    };
    m_watch.subscribe(std::string(platform::operatorPrefix), std::move(handlers));
}

void StoreNode::watchRunners()
{
    platform::ItemHandlers handlers;
    handlers.onItem = [this](const keyvalue::KeyValue &item) {
        updateDeployment(item);
    };
    handlers.onRemoved = [this](const std::string &key, base::Milliseconds) {
        m_deployment.erase(key);
        scheduleSave();
    };
    handlers.onListed = [this] {
        for (const std::string &key : std::exchange(m_unconfirmedKeys, {})) {
            if (key.starts_with(platform::runnerPrefix)) {
                m_deployment.erase(key);
            }
        }
    };
    m_watch.subscribe(std::string(platform::runnerPrefix), std::move(handlers));
}

void StoreNode::abort()
{
    m_watch.stop();
    m_saveTimer.cancel();
    m_groupManager->stop();
    m_chainRepair->stop();
    m_platformStore.close();
    m_server->stop();
}

void StoreNode::reload(const platform::NodeSettings &)
{
}

void StoreNode::stop(const std::function<void()> &onDone)
{
    m_saveTimer.cancel();
    m_groupManager->stop();
    m_chainRepair->stop();
    m_server->stop();
    onDone();
}

}
