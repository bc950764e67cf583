#include "turns/statetransfer.h"

#include <chrono>
#include <utility>

namespace briarhinge::turns
{

namespace
{

/** A page of half a megabyte takes 140 ms over the slowest link of 30 Mbit/s; a busy disk adds to that. */
constexpr base::Milliseconds pageTimeout{1500};

std::chrono::steady_clock::time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

}

StateTransfer::StateTransfer(StorePeers &peers, TurnStore &store, QuorumRule rule, logging::EventLog &log)
    : m_peers(peers)
    , m_store(store)
    , m_rule(rule)
    , m_log(log)
{
}

void StateTransfer::fetch(DoneHandler onDone)
{
    m_group = m_store.group();
    begin(m_group.current, false, std::move(onDone));
}

void StateTransfer::push(DoneHandler onDone)
{
    m_group = m_store.group();
    begin(m_group.next, true, std::move(onDone));
}

void StateTransfer::spread(DoneHandler onDone)
{
    fetch([self = shared_from_this(), onDone = std::move(onDone)](bool isComplete) mutable {
        if (!isComplete) {
            onDone(false);
            return;
        }
        self->begin(self->m_group.next, true, std::move(onDone));
    });
}

void StateTransfer::begin(const std::vector<StoreMember> &members, bool isPush, DoneHandler onDone)
{
    m_onDone = std::move(onDone);
    m_isPush = isPush;
    m_copiedDisks.clear();
    std::vector<StoreMember> others;
    for (const StoreMember &member : members) {
        if (member.disk == m_store.disk()) {
            m_copiedDisks.insert(member.disk);
        } else {
            others.push_back(member);
        }
    }
    m_pendingMembers = others.size();
    if (others.empty()) {
        finish();
        return;
    }
    for (const StoreMember &member : others) {
        if (isPush) {
            pushPage(member, {});
        } else {
            fetchPage(member, {});
        }
    }
}

StateTransfer::PagePosition StateTransfer::lastOf(const wire::StatePageT &page)
{
    if (!page.turns.empty()) {
        return {{}, page.turns.back()->id};
    }
    return page.budgets.empty() ? PagePosition{} : PagePosition{page.budgets.back()->program, {}};
}

void StateTransfer::fetchPage(const StoreMember &member, const PagePosition &after)
{
    wire::FetchStateT request;
    request.epoch = m_group.epoch.value();
    request.group = toJson(m_group);
    request.after = after.turn;
    request.after_program = after.program;
    wire::MessageUnion message;
    message.Set(std::move(request));
    m_peers.sendRequest(member.address, std::move(message), pageTimeout,
                        [self = shared_from_this(), member](wire::ChannelReply reply) {
                            const auto *frame = std::get_if<wire::FrameT>(&reply);
                            const auto *page = frame == nullptr ? nullptr : frame->message.AsStatePage();
                            // A member that came back with an empty disk no longer has the state of its old one.
                            const bool isUsable = page != nullptr && page->status == wire::StoreStatus::Done
                                && page->disk == member.disk.value();
                            if (!isUsable) {
                                self->finishMember(member, false);
                                return;
                            }
                            const bool hasRoom = self->m_store.mergePage(*page, steadyNow());
                            self->m_turnCount += page->turns.size();
                            const bool isEmpty = page->turns.empty() && page->budgets.empty();
                            if (hasRoom && page->more && !isEmpty) {
                                self->fetchPage(member, lastOf(*page));
                                return;
                            }
                            self->finishMember(member, hasRoom);
                        });
}

void StateTransfer::pushPage(const StoreMember &member, const PagePosition &after)
{
    wire::FetchStateT own;
    own.epoch = m_group.epoch.value();
    own.after = after.turn;
    own.after_program = after.program;
    wire::StatePageT page = m_store.fetch(own, steadyNow());
    if (page.status != wire::StoreStatus::Done) {
        finishMember(member, false);
        return;
    }
    const bool isLast = !page.more;
    const PagePosition last = lastOf(page);
    m_turnCount += page.turns.size();
    wire::StoreStateT request;
    request.epoch = m_group.epoch.value();
    request.group = toJson(m_group);
    request.turns = std::move(page.turns);
    request.budgets = std::move(page.budgets);
    wire::MessageUnion message;
    message.Set(std::move(request));
    m_peers.sendRequest(member.address, std::move(message), pageTimeout,
                        [self = shared_from_this(), member, last, isLast](wire::ChannelReply reply) {
                            const auto *frame = std::get_if<wire::FrameT>(&reply);
                            const auto *ended = frame == nullptr ? nullptr : frame->message.AsTurnEnded();
                            const bool isStored = ended != nullptr && ended->status == wire::StoreStatus::Done
                                && ended->disk == member.disk.value();
                            if (isStored && !isLast) {
                                self->pushPage(member, last);
                                return;
                            }
                            self->finishMember(member, isStored);
                        });
}

void StateTransfer::finishMember(const StoreMember &member, bool isComplete)
{
    if (isComplete) {
        m_copiedDisks.insert(member.disk);
    }
    // Waits for all members even with a quorum: a slow member may lack records that another one has.
    if (--m_pendingMembers == 0) {
        finish();
    }
}

void StateTransfer::finish()
{
    const bool isComplete =
        m_isPush ? m_copiedDisks.size() == m_group.next.size() : hasReadQuorum(m_rule, m_group, m_copiedDisks);
    m_log.write(logging::events::stateFetched,
                {{"epoch", m_group.epoch.value()},
                 {"members", m_copiedDisks.size()},
                 {"turns", m_turnCount},
                 {"whole", isComplete ? "yes" : "no"}});
    std::exchange(m_onDone, nullptr)(isComplete);
}

}
