#include "operators/operatorservice.h"

#include "api/json.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace briarhinge::operators
{

namespace
{

using nlohmann::json;

constexpr base::Milliseconds replyTimeout{2000};
constexpr std::uint16_t statusOk = 200;

json describe(const membership::Vm &vm)
{
    json object{{"name", vm.name}, {"role", vm.role}, {"zone", vm.zone.value()}, {"leaving", vm.leaving}};
    if (!vm.pool.value().empty()) {
        object["pool"] = vm.pool.value();
    }
    return object;
}

/** Collects the replies of several processes. Replies to the operator once, with the last of them or at the timeout. */
class ReplyCollector
{
public:
    ReplyCollector(const std::vector<membership::Vm> &vms, std::function<void(const api::ClientReply &)> reply)
        : m_pending(vms.size())
        , m_reply(std::move(reply))
    {
        for (const membership::Vm &vm : vms) {
            m_processes[vm.name] = describe(vm);
            m_processes[vm.name]["reachable"] = false;
        }
    }

    void addReply(const std::string &name, const wire::ChannelReply &reply)
    {
        const auto *frame = std::get_if<wire::FrameT>(&reply);
        const auto *answer = frame == nullptr ? nullptr : frame->message.AsOperatorReply();
        const json body = answer == nullptr ? json() : json::parse(answer->body, nullptr, false);
        std::unique_lock lock(m_mutex);
        if (body.is_object()) {
            m_processes[name].update(body);
            m_processes[name]["reachable"] = true;
        } else if (const auto *error = std::get_if<wire::ChannelError>(&reply)) {
            m_processes[name]["reason"] = error->reason;
        }
        if (--m_pending == 0) {
            finish(lock);
        }
    }

    void expire()
    {
        std::unique_lock lock(m_mutex);
        finish(lock);
    }

private:
    void finish(std::unique_lock<std::mutex> &lock)
    {
        if (!m_reply) {
            return;
        }
        json list = json::array();
        for (const auto &[name, process] : m_processes) {
            list.push_back(process);
        }
        const auto reply = std::exchange(m_reply, nullptr);
        lock.unlock();
        reply({statusOk, json{{"processes", list}}.dump(-1, ' ', false, json::error_handler_t::replace), {}});
    }

    std::mutex m_mutex;
    std::size_t m_pending;
    std::function<void(const api::ClientReply &)> m_reply;
    std::map<std::string, json> m_processes;
};

bool isEntry(const membership::Vm &vm)
{
    return vm.role == "entry";
}

}

OperatorService::OperatorService(boost::asio::io_context &context, ChannelFactory makeChannel)
    : m_context(context)
    , m_makeChannel(std::move(makeChannel))
{
}

void OperatorService::update(const std::vector<membership::Vm> &vms)
{
    const std::lock_guard lock(m_mutex);
    m_vms = vms;
    std::erase_if(m_channels, [&](const auto &channel) {
        return std::none_of(vms.begin(), vms.end(), [&](const membership::Vm &vm) {
            return vm.address == channel.first;
        });
    });
}

void OperatorService::handle(const http::OperatorRequest &request, const Reply &reply)
{
    const std::vector<std::string> &path = request.path;
    if (!request.isPost && path == std::vector<std::string>{"status"}) {
        queryAll(vmsWhere([](const membership::Vm &) {
                     return true;
                 }),
                 wire::OperatorVerb::Status, reply);
        return;
    }
    if (!request.isPost && path == std::vector<std::string>{"programs"}) {
        queryAll(vmsWhere(isEntry), wire::OperatorVerb::Programs, reply);
        return;
    }
    if (request.isPost && path.size() == 2 && path[0] == "drain") {
        const auto named = vmsWhere([&](const membership::Vm &vm) {
            return vm.name == path[1];
        });
        if (named.empty()) {
            reply(api::toReply(
                api::BadRequest{"process-unknown", fmt::format("\"{}\" is not a VM of the VM list", path[1])}));
            return;
        }
        queryAll(named, wire::OperatorVerb::Drain, reply);
        return;
    }
    reply(api::toReply(api::BadRequest{"path-unknown", "operators may GET status or programs and POST drain/NAME"}));
}

void OperatorService::queryAll(const std::vector<membership::Vm> &vms, wire::OperatorVerb verb, const Reply &reply)
{
    auto collector = std::make_shared<ReplyCollector>(vms, reply);
    if (vms.empty()) {
        collector->expire();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, replyTimeout);
    timer->async_wait([collector, timer](boost::system::error_code) {
        collector->expire();
    });
    for (const membership::Vm &vm : vms) {
        wire::OperatorRequestT request;
        request.verb = verb;
        wire::MessageUnion message;
        message.Set(request);
        channelTo(vm.address)
            ->sendRequest(std::move(message), [collector, name = vm.name](const wire::ChannelReply &answer) {
                collector->addReply(name, answer);
            });
    }
}

std::vector<membership::Vm>
OperatorService::vmsWhere(const std::function<bool(const membership::Vm &)> &predicate) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<membership::Vm> found;
    std::copy_if(m_vms.begin(), m_vms.end(), std::back_inserter(found), predicate);
    return found;
}

std::shared_ptr<wire::FrameChannel> OperatorService::channelTo(const wire::Address &address)
{
    const std::lock_guard lock(m_mutex);
    auto &channel = m_channels[address];
    if (!channel) {
        channel = m_makeChannel(address);
    }
    return channel;
}

bool handleOperatorRequest(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame,
                           const std::function<api::ClientReply(wire::OperatorVerb)> &local)
{
    const auto *request = frame.message.AsOperatorRequest();
    if (request == nullptr) {
        return false;
    }
    const api::ClientReply answer = local(request->verb);
    wire::OperatorReplyT reply;
    reply.status = answer.status;
    reply.body = answer.body;
    wire::FrameT out;
    out.request_id = frame.request_id;
    out.last = true;
    out.message.Set(std::move(reply));
    session->send(out);
    return true;
}

}
