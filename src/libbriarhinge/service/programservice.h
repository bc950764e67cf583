#pragma once

#include "api/json.h"
#include "base/clock.h"
#include "base/invariant.h"
#include "core/invariants.h"
#include "core/retention.h"
#include "service/callstream.h"
#include "service/concepts.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace briarhinge::service
{

/**
 * Holds the programs that this process owns, feeds events to the decision core and carries out its actions.
 *
 * Program trees are distributed over shards, each with its own mutex.
 */
template <base::Clock ClockT, RecordLog LogT, CallDispatcher DispatcherT, KindPolicies PoliciesT>
class ProgramService
{
public:
    /**
     * @param clock provides the time of each event
     * @param log stores the records
     * @param dispatcher runs the calls
     * @param policies provides the policy of each kind of program
     * @param invariants receives violated invariants
     * @param isServed returns whether this process may currently serve a root program; if empty, it serves all programs
     */
    ProgramService(const ClockT &clock, LogT &log, DispatcherT &dispatcher, const PoliciesT &policies,
                   base::InvariantMonitor &invariants, std::function<bool(const base::ProgramId &root)> isServed = {})
        : m_clock(clock)
        , m_log(log)
        , m_dispatcher(dispatcher)
        , m_policies(policies)
        , m_invariants(invariants)
        , m_isServed(std::move(isServed))
    {
    }

    /**
     * Handles a request of a caller.
     *
     * @param request the request
     * @param sink receives the answer
     */
    void handle(const api::ClientRequest &request, const api::ClientSink &sink)
    {
        if (m_isServed && !m_isServed(core::rootProgramId(request.program))) {
            sink.reply(misdirectedReply());
            return;
        }
        switch (request.verb) {
        case api::Verb::OpenProgram:
            openProgram(request, sink);
            return;
        case api::Verb::MakeCall:
            makeCall(request, sink);
            return;
        case api::Verb::ReadCall:
            readCall(request, sink);
            return;
        case api::Verb::ReadProgram:
            readProgram(request.program, sink);
            return;
        case api::Verb::EndProgram:
            processEvent(request.program, core::EndProgram{request.program}, &sink, 0);
            return;
        }
        // A forwarded request may come from a newer version, with a verb that this version does not support.
        sink.reply(api::toReply(api::BadRequest{"verb-unknown", "the request asks for nothing that is known here"}));
    }

    /**
     * Adopts a tree that was replayed from a log.
     *
     * @param root the root program of the tree
     * @param tree the state
     */
    void adopt(const base::ProgramId &root, core::ProgramTree tree)
    {
        Shard &shard = shardFor(root);
        const std::lock_guard lock(shard.mutex);
        OwnedTree &owned = shard.trees[root];
        owned.tree = std::move(tree);
        owned.generation = ++m_generations;
    }

    /**
     * Removes trees and replies to the callers that wait for their calls.
     *
     * @param shouldRemove called with the id of each root program; returns whether to remove its tree
     */
    template <class Predicate>
    void removeTrees(Predicate shouldRemove)
    {
        for (Shard &shard : m_shards) {
            DeferredWork deferred;
            {
                const std::lock_guard lock(shard.mutex);
                for (auto owned = shard.trees.begin(); owned != shard.trees.end();) {
                    if (!shouldRemove(owned->first)) {
                        ++owned;
                        continue;
                    }
                    abandonStreams(owned->second, deferred);
                    owned = shard.trees.erase(owned);
                }
            }
            for (const auto &work : deferred) {
                work();
            }
        }
    }

    /** Calls @p visitor with the id and state of each tree, while the mutex of its shard is locked. */
    template <class Visitor>
    void visit(Visitor visitor) const
    {
        for (const Shard &shard : m_shards) {
            const std::lock_guard lock(shard.mutex);
            for (const auto &[root, owned] : shard.trees) {
                visitor(root, owned.tree);
            }
        }
    }

    /**
     * Ends trees that have exceeded their wall time and discards expired data of ended trees.
     *
     * @param policy the retention periods
     */
    void sweep(const core::RetentionPolicy &policy)
    {
        for (Shard &shard : m_shards) {
            DeferredWork deferred;
            {
                const std::lock_guard lock(shard.mutex);
                for (auto item = shard.trees.begin(); item != shard.trees.end();) {
                    const bool isExpired = sweepTree(item->first, item->second, policy, deferred);
                    item = isExpired ? shard.trees.erase(item) : std::next(item);
                }
            }
            for (const auto &work : deferred) {
                work();
            }
        }
    }

private:
    static constexpr std::size_t shardCount = 64;

    using CallKey = std::pair<base::ProgramId, base::CallNumber>;

    struct OwnedTree
    {
        core::ProgramTree tree;
        std::map<CallKey, std::shared_ptr<CallStream>> streams;
        /** Distinguishes this period of ownership from earlier ones of the same tree. */
        std::uint64_t generation = 0;
    };

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<base::ProgramId, OwnedTree> trees;
    };

    /** Functions to run after the mutex of the shard has been unlocked. */
    using DeferredWork = std::vector<std::function<void()>>;

    /** Replies to all callers that wait for a call of a tree, which another process owns from now on. */
    static void abandonStreams(OwnedTree &owned, DeferredWork &deferred)
    {
        for (auto &[key, stream] : owned.streams) {
            const core::Unknown outcome{"another entry owns the program now; ask again with the same call number"};
            deferred.emplace_back([stream = std::move(stream),
                                   reply = api::toReply(api::CallView{key.first, key.second, outcome, {}, false})] {
                stream->finish(reply);
            });
        }
    }

    /** @return the reply to an entry that forwarded a request for a program that this process may not serve */
    static api::ClientReply misdirectedReply()
    {
        return {api::statusMisdirected, {}, std::nullopt};
    }

    Shard &shardFor(const base::ProgramId &root)
    {
        return m_shards[base::stableHash(root.value()) % shardCount];
    }

    void openProgram(const api::ClientRequest &request, const api::ClientSink &sink)
    {
        const auto parsed = api::parseProgram(request.body);
        if (const auto *error = std::get_if<api::BadRequest>(&parsed)) {
            sink.reply(api::toReply(*error));
            return;
        }
        const auto &spec = std::get<core::ProgramSpec>(parsed);
        const auto policy = m_policies.policyForKind(spec.kind);
        if (!policy) {
            sink.reply(api::toReply(api::BadRequest{
                "kind-unknown", "field \"kind\" must name a declared kind, is \"" + spec.kind.value() + "\""}));
            return;
        }
        processEvent(spec.id, core::OpenProgram{spec, *policy}, &sink, 0);
    }

    void makeCall(const api::ClientRequest &request, const api::ClientSink &sink)
    {
        const auto parsed = api::parseCall(request.number, request.body);
        if (const auto *error = std::get_if<api::BadRequest>(&parsed)) {
            sink.reply(api::toReply(*error));
            return;
        }
        processEvent(request.program, core::StartCall{request.program, std::get<core::CallRequest>(parsed)}, &sink,
                     request.offset);
    }

    void readCall(const api::ClientRequest &request, const api::ClientSink &sink)
    {
        const base::ProgramId root = core::rootProgramId(request.program);
        Shard &shard = shardFor(root);
        std::shared_ptr<CallStream> stream;
        api::ClientReply reply = unknownProgramReply(request.program);
        {
            const std::lock_guard lock(shard.mutex);
            const auto owned = shard.trees.find(root);
            if (owned != shard.trees.end()) {
                const auto running = owned->second.streams.find({request.program, request.number});
                if (running != owned->second.streams.end()) {
                    stream = running->second;
                } else {
                    reply = finishedCallReply(owned->second.tree, request);
                }
            }
        }
        if (stream) {
            stream->join(sink, request.offset);
        } else {
            sink.reply(reply);
        }
    }

    void readProgram(const base::ProgramId &id, const api::ClientSink &sink)
    {
        Shard &shard = shardFor(core::rootProgramId(id));
        api::ClientReply reply;
        {
            const std::lock_guard lock(shard.mutex);
            const auto owned = shard.trees.find(core::rootProgramId(id));
            reply = owned == shard.trees.end() ? unknownProgramReply(id) : programReply(owned->second.tree, id);
        }
        sink.reply(reply);
    }

    static api::ClientReply unknownProgramReply(const base::ProgramId &id)
    {
        return api::toReply(
            core::Refuse{core::RefusalCode::ProgramUnknown, "program \"" + id.value() + "\" is not open"});
    }

    static api::ClientReply finishedCallReply(const core::ProgramTree &tree, const api::ClientRequest &request)
    {
        const auto program = tree.programs.find(request.program);
        if (program == tree.programs.end()) {
            return unknownProgramReply(request.program);
        }
        const auto found = program->second.calls.find(request.number);
        if (found == program->second.calls.end() || !found->second.outcome) {
            return api::toReply(core::Refuse{core::RefusalCode::ProgramUnknown,
                                             "call " + std::to_string(request.number.value()) + " of program \""
                                                 + request.program.value() + "\" was not made"});
        }
        return callReply(tree, request.program, request.number, *found->second.outcome);
    }

    static api::ClientReply programReply(const core::ProgramTree &tree, const base::ProgramId &id)
    {
        const auto found = tree.programs.find(id);
        if (found == tree.programs.end()) {
            return unknownProgramReply(id);
        }
        const core::ProgramState &program = found->second;
        return api::toReply(api::ProgramView{program.spec, program.nextCall, program.head, program.ended,
                                             tree.budget.spent(), tree.budget.limit()});
    }

    static api::ClientReply callReply(const core::ProgramTree &tree, const base::ProgramId &id, base::CallNumber number,
                                      const core::Outcome &outcome)
    {
        api::CallView view{id, number, outcome, {}, false};
        const auto program = tree.programs.find(id);
        if (program != tree.programs.end()) {
            const auto found = program->second.calls.find(number);
            if (found != program->second.calls.end()) {
                view.digest = found->second.digest;
                view.committed = found->second.committed;
            }
        }
        return api::toReply(view);
    }

    /**
     * Feeds an event to the decision core and carries out the resulting actions.
     *
     * @param program the program that the event concerns
     * @param event the event
     * @param sink the caller that caused the event, or nullptr
     * @param offset the first byte of the answer that the caller needs
     * @param generation the generation of the tree to which the event belongs; 0 matches any
     */
    void processEvent(const base::ProgramId &program, const core::Event &event, const api::ClientSink *sink,
                      std::uint64_t offset, std::uint64_t generation = 0)
    {
        const base::ProgramId root = core::rootProgramId(program);
        Shard &shard = shardFor(root);
        DeferredWork deferred;
        {
            const std::lock_guard lock(shard.mutex);
            // Checked while locked, so that a handover that blocks a program sees every request accepted before it.
            if (sink != nullptr && m_isServed && !m_isServed(root)) {
                deferReply(sink, misdirectedReply(), deferred);
            } else {
                applyEvent(shard.trees[root], event, sink, offset, generation, deferred);
            }
            const OwnedTree &owned = shard.trees[root];
            if (owned.tree.programs.empty()) {
                shard.trees.erase(root);
            }
        }
        for (const auto &work : deferred) {
            work();
        }
    }

    /** @return whether the tree can be removed */
    bool sweepTree(const base::ProgramId &root, OwnedTree &owned, const core::RetentionPolicy &policy,
                   DeferredWork &deferred)
    {
        if (m_isServed && !m_isServed(root)) {
            return false;
        }
        core::SweepResult result = core::sweep(owned.tree, policy, m_clock.now());
        performAll(owned, result.actions, nullptr, 0, deferred);
        return result.isExpired;
    }

    void applyEvent(OwnedTree &owned, const core::Event &event, const api::ClientSink *sink, std::uint64_t offset,
                    std::uint64_t generation, DeferredWork &deferred)
    {
        if (owned.generation == 0) {
            owned.generation = ++m_generations;
        }
        if (generation != 0 && owned.generation != generation) {
            return;
        }
        std::vector<core::Action> actions = core::step(owned.tree, event, m_clock.now());
        m_invariants.report(core::checkStep(owned.tree, event, actions));
        performAll(owned, actions, sink, offset, deferred);
    }

    void performAll(OwnedTree &owned, std::vector<core::Action> &actions, const api::ClientSink *sink,
                    std::uint64_t offset, DeferredWork &deferred)
    {
        for (core::Action &action : actions) {
            std::visit(
                [&](auto &concreteAction) {
                    perform(owned, concreteAction, sink, offset, deferred);
                },
                action);
        }
    }

    void perform(OwnedTree &, const core::Refuse &action, const api::ClientSink *sink, std::uint64_t,
                 DeferredWork &deferred)
    {
        deferReply(sink, api::toReply(action), deferred);
    }

    void perform(OwnedTree &owned, const core::ShowProgram &action, const api::ClientSink *sink, std::uint64_t,
                 DeferredWork &deferred)
    {
        deferReply(sink, programReply(owned.tree, action.program), deferred);
    }

    void perform(OwnedTree &owned, const core::AnswerNow &action, const api::ClientSink *sink, std::uint64_t,
                 DeferredWork &deferred)
    {
        deferReply(sink, callReply(owned.tree, action.program, action.number, action.outcome), deferred);
    }

    void perform(OwnedTree &owned, const core::JoinCall &action, const api::ClientSink *sink, std::uint64_t offset,
                 DeferredWork &deferred)
    {
        auto &stream = owned.streams[{action.program, action.number}];
        if (!stream) {
            stream = std::make_shared<CallStream>(m_invariants);
        }
        if (sink != nullptr) {
            deferred.emplace_back([stream, sink = *sink, offset] {
                stream->join(sink, offset);
            });
        }
    }

    void perform(OwnedTree &owned, core::StoreBeforeDispatch &action, const api::ClientSink *, std::uint64_t,
                 DeferredWork &)
    {
        m_log.appendRequired(std::move(action.records),
                             [this, program = action.program, number = action.number,
                              generation = owned.generation](const StoreResult &result) {
                                 handleStoreResult(program, number, generation, result);
                             });
    }

    void perform(OwnedTree &owned, core::StoreDeferred &action, const api::ClientSink *, std::uint64_t, DeferredWork &)
    {
        StoreHandler handler = [](const StoreResult &) {};
        if (const auto *turn = std::get_if<core::TurnFinished>(&action.record)) {
            handler = makeStoredHandler(owned, turn->program, core::TurnCommitted{turn->program, turn->request.number});
        } else if (const auto *opened = std::get_if<core::ProgramOpened>(&action.record)) {
            handler = makeStoredHandler(owned, opened->spec.id, core::OpeningStored{opened->spec.id});
        }
        m_log.appendDeferred({std::move(action.record)}, std::move(handler));
    }

    /** @return a handler that processes @p event once the records are durable */
    StoreHandler makeStoredHandler(const OwnedTree &owned, const base::ProgramId &program, const core::Event &event)
    {
        return [this, generation = owned.generation, program, event](const StoreResult &result) {
            if (std::holds_alternative<Stored>(result)) {
                processEvent(program, event, nullptr, 0, generation);
            }
        };
    }

    void perform(OwnedTree &owned, core::DispatchCall &action, const api::ClientSink *, std::uint64_t,
                 DeferredWork &deferred)
    {
        const auto stream = owned.streams[{action.program, action.request.number}];
        DispatchObserver observer;
        observer.chunk = [stream](std::uint64_t offset, const std::string &text) {
            stream->append(offset, text);
        };
        observer.ended = [this, program = action.program, number = action.request.number,
                          generation = owned.generation](const core::Outcome &outcome) {
            processEvent(program, core::CallEnded{program, number, outcome}, nullptr, 0, generation);
        };
        deferred.emplace_back([this, call = std::move(action), observer = std::move(observer)] {
            m_dispatcher.dispatch(call, observer);
        });
    }

    void perform(OwnedTree &, const core::CancelCall &action, const api::ClientSink *, std::uint64_t,
                 DeferredWork &deferred)
    {
        deferred.emplace_back([this, action] {
            m_dispatcher.cancel(action.program, action.number);
        });
    }

    void perform(OwnedTree &owned, const core::FinishCall &action, const api::ClientSink *, std::uint64_t,
                 DeferredWork &deferred)
    {
        auto stream = owned.streams.extract({action.program, action.number});
        if (stream.empty()) {
            return;
        }
        if (const auto *completed = std::get_if<core::Completed>(&action.outcome)) {
            m_invariants.require(completed->answer.starts_with(stream.mapped()->text()),
                                 "an answer does not begin with its streamed chunks");
        }
        deferred.emplace_back(
            [stream = stream.mapped(), reply = callReply(owned.tree, action.program, action.number, action.outcome)] {
                stream->finish(reply);
            });
    }

    void perform(OwnedTree &, const core::ReleaseProgram &action, const api::ClientSink *, std::uint64_t,
                 DeferredWork &deferred)
    {
        deferred.emplace_back([this, action] {
            m_dispatcher.release(action.program);
        });
    }

    static void deferReply(const api::ClientSink *sink, api::ClientReply reply, DeferredWork &deferred)
    {
        if (sink != nullptr) {
            deferred.emplace_back([sink = *sink, reply = std::move(reply)] {
                sink.reply(reply);
            });
        }
    }

    void handleStoreResult(const base::ProgramId &program, base::CallNumber number, std::uint64_t generation,
                           const StoreResult &result)
    {
        if (const auto *refused = std::get_if<NotStored>(&result)) {
            processEvent(program, core::CallNotStored{program, number, refused->reason, refused->retryAfter}, nullptr,
                         0, generation);
            return;
        }
        if (m_isServed && !m_isServed(core::rootProgramId(program))) {
            // The claim is stored, but a new owner may have replayed it since, so the call must not be dispatched here.
            constexpr base::Milliseconds retryAfter{200};
            processEvent(program, core::CallNotStored{program, number, "the program changes its owner", retryAfter},
                         nullptr, 0, generation);
            return;
        }
        processEvent(program, core::CallStored{program, number}, nullptr, 0, generation);
    }

    const ClockT &m_clock;
    LogT &m_log;
    DispatcherT &m_dispatcher;
    const PoliciesT &m_policies;
    base::InvariantMonitor &m_invariants;
    std::function<bool(const base::ProgramId &root)> m_isServed;
    std::atomic<std::uint64_t> m_generations{0};
    std::array<Shard, shardCount> m_shards;
};

}
