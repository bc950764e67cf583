#include "core/invariants.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;
using namespace briarhinge::core;

namespace
{

const base::Timestamp start{base::Milliseconds(1'000)};

const std::vector<std::string> programNames{"a", "a.b", "a.c", "a.b.d"};

enum class Command {
    Open,
    Start,
    StartDifferentCall,
    StartWrongNumber,
    StartWrongHistory,
    RepeatCall,
    Flush,
    Refuse,
    EndCall,
    EndProgram,
    StrayStoreResult,
    Crash,
};

/**
 * One random command. The numbers select among the operations that are possible in the current state, so that shrinking
 * yields valid command sequences.
 */
struct RandomCommand
{
    Command command = Command::Open;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

void showValue(const RandomCommand &randomCommand, std::ostream &out)
{
    static const char *const names[] = {"Open",
                                        "Start",
                                        "StartDifferentCall",
                                        "StartWrongNumber",
                                        "StartWrongHistory",
                                        "RepeatCall",
                                        "Flush",
                                        "Refuse",
                                        "EndCall",
                                        "EndProgram",
                                        "StrayStoreResult",
                                        "Crash"};
    out << names[static_cast<int>(randomCommand.command)] << ' ' << randomCommand.first << ' ' << randomCommand.second;
}

rc::Gen<RandomCommand> anyCommand()
{
    const auto command = rc::gen::weightedElement<Command>({{3, Command::Open},
                                                            {8, Command::Start},
                                                            {2, Command::StartDifferentCall},
                                                            {1, Command::StartWrongNumber},
                                                            {1, Command::StartWrongHistory},
                                                            {2, Command::RepeatCall},
                                                            {8, Command::Flush},
                                                            {1, Command::Refuse},
                                                            {8, Command::EndCall},
                                                            {1, Command::EndProgram},
                                                            {1, Command::StrayStoreResult},
                                                            {1, Command::Crash}});
    return rc::gen::build<RandomCommand>(
        rc::gen::set(&RandomCommand::command, command),
        rc::gen::set(&RandomCommand::first, rc::gen::inRange<std::uint32_t>(0, 1000)),
        rc::gen::set(&RandomCommand::second, rc::gen::inRange<std::uint32_t>(0, 1000)));
}

using CallKey = std::pair<std::string, std::uint32_t>;

/** What actually happened under one call number, over all owners. */
struct GroundTruth
{
    /** Number of dispatches of a non-idempotent call that the upstream did not refuse. */
    std::uint32_t executions = 0;
    std::optional<Outcome> committed;
};

/** A call that the dispatcher is running. */
struct Running
{
    Amounts reserved;
    bool idempotent = true;
};

/** Simulates a log, a dispatcher and successive owners, and compares them with the ground truth. */
class OwnerSimulation
{
public:
    void execute(const RandomCommand &randomCommand)
    {
        m_command = randomCommand;
        switch (randomCommand.command) {
        case Command::Open:
            open();
            break;
        case Command::Start:
        case Command::StartDifferentCall:
        case Command::StartWrongNumber:
        case Command::StartWrongHistory:
            startCall();
            break;
        case Command::RepeatCall:
            repeatCall();
            break;
        case Command::Flush:
            flush();
            break;
        case Command::Refuse:
            refuseAppend();
            break;
        case Command::EndCall:
            endCall();
            break;
        case Command::EndProgram:
            processEvent(EndProgram{program()});
            break;
        case Command::StrayStoreResult:
            deliverStrayStoreResult();
            break;
        case Command::Crash:
            crash();
            break;
        }
        checkState();
    }

private:
    struct Append
    {
        std::vector<Record> records;
        /** The call that waits for the records, if any. */
        std::optional<CallKey> waiting;
    };

    base::ProgramId program() const
    {
        return base::ProgramId(programNames[m_command.first % programNames.size()]);
    }

    static KindPolicy policy()
    {
        KindPolicy kind;
        kind.budget = {base::Tokens(3'000), base::MicroMoney(60), 14};
        kind.wallTime = base::Milliseconds(60'000);
        return kind;
    }

    void open()
    {
        const base::ProgramId id = program();
        processEvent(OpenProgram{{id, base::KindName("chat"), base::AccountId("huye"), parentProgramId(id)}, policy()});
    }

    static CallRequest request(std::uint32_t number, std::uint32_t body)
    {
        CallRequest request;
        request.number = base::CallNumber(number);
        request.kind = body % 2 == 0 ? CallKind::Tool : CallKind::Model;
        request.target = base::TargetName(body % 2 == 0 ? "charge" : "small");
        request.input = "body " + std::to_string(body);
        request.idempotent = body % 4 != 0;
        request.maxTokens = base::Tokens(request.kind == CallKind::Model ? 50 + body : 0);
        request.maxCost = base::MicroMoney(body % 7);
        return request;
    }

    void startCall()
    {
        const base::ProgramId id = program();
        const auto found = m_tree.programs.find(id);
        const std::uint32_t next = found == m_tree.programs.end() ? 1 : found->second.nextCall.value();
        const bool isWrongNumber = m_command.command == Command::StartWrongNumber;
        const std::uint32_t body = m_command.command == Command::StartDifferentCall ? m_command.second % 40 : next % 5;
        CallRequest call = request(isWrongNumber ? next + 1 + m_command.second % 2 : next, body);
        if (found != m_tree.programs.end() && next > 1) {
            call.extends = found->second.head;
        }
        if (m_command.command == Command::StartWrongHistory) {
            call.extends = emptyHistory(base::ProgramId("another"));
        }
        const auto actions = processEvent(StartCall{id, call});
        const bool isRefused = !actions.empty() && std::holds_alternative<Refuse>(actions.front());
        const bool isNew = found != m_tree.programs.end() && !found->second.calls.contains(call.number);
        if (isWrongNumber) {
            RC_ASSERT(isRefused);
        }
        if (m_command.command == Command::StartWrongHistory && isNew) {
            RC_ASSERT(isRefused);
        }
    }

    void repeatCall()
    {
        const auto found = m_tree.programs.find(program());
        if (found == m_tree.programs.end() || found->second.calls.empty()) {
            return;
        }
        auto call = found->second.calls.begin();
        std::advance(call, m_command.second % found->second.calls.size());
        const CallState before = call->second;
        const auto actions = processEvent(StartCall{found->first, before.request});
        RC_ASSERT(actions.size() == 1U);
        if (before.outcome) {
            RC_ASSERT(std::get<AnswerNow>(actions.front()).outcome == *before.outcome);
        } else {
            RC_ASSERT(std::holds_alternative<JoinCall>(actions.front()));
        }
    }

    /** Makes some of the appended records durable, in order. */
    void flush()
    {
        const std::size_t count = 1 + m_command.first % 3;
        for (std::size_t i = 0; i < count && !m_appends.empty(); ++i) {
            const Append append = makeFirstDurable();
            if (append.waiting) {
                processEvent(
                    CallStored{base::ProgramId(append.waiting->first), base::CallNumber(append.waiting->second)});
            }
            for (const Record &record : append.records) {
                if (const auto *turn = std::get_if<TurnFinished>(&record)) {
                    processEvent(TurnCommitted{turn->program, turn->request.number});
                } else if (const auto *opened = std::get_if<ProgramOpened>(&record)) {
                    processEvent(OpeningStored{opened->spec.id});
                }
            }
        }
    }

    Append makeFirstDurable()
    {
        Append append = std::move(m_appends.front());
        m_appends.pop_front();
        for (const Record &record : append.records) {
            m_durableRecords.push_back(record);
            recordDurable(record);
        }
        return append;
    }

    void recordDurable(const Record &record)
    {
        if (const auto *claim = std::get_if<CallClaimed>(&record)) {
            m_durableClaims.insert(callKey(claim->program, claim->request.number));
        } else if (const auto *withdrawn = std::get_if<ClaimWithdrawn>(&record)) {
            m_durableClaims.erase(callKey(withdrawn->program, withdrawn->number));
        } else if (const auto *turn = std::get_if<TurnFinished>(&record)) {
            GroundTruth &groundTruth = m_groundTruth[callKey(turn->program, turn->request.number)];
            RC_ASSERT(!groundTruth.committed || *groundTruth.committed == turn->outcome);
            groundTruth.committed = turn->outcome;
        }
    }

    /** Checks that a store result for a call that waits for none has no effect. */
    void deliverStrayStoreResult()
    {
        const base::CallNumber number(1 + m_command.second % 3);
        const CallKey key = callKey(program(), number);
        const bool isAwaited = std::any_of(m_appends.begin(), m_appends.end(), [&](const Append &append) {
            return append.waiting == key;
        });
        if (!isAwaited) {
            RC_ASSERT(processEvent(CallStored{program(), number}).empty());
            RC_ASSERT(processEvent(CallNotStored{program(), number, "late", base::Milliseconds(1)}).empty());
        }
    }

    /** Refuses the first append that a call waits for. */
    void refuseAppend()
    {
        for (auto append = m_appends.begin(); append != m_appends.end(); ++append) {
            if (append->waiting) {
                const CallKey key = *append->waiting;
                m_appends.erase(append);
                processEvent(CallNotStored{base::ProgramId(key.first), base::CallNumber(key.second), "outage",
                                           base::Milliseconds(500)});
                return;
            }
        }
    }

    void endCall()
    {
        if (m_running.empty()) {
            return;
        }
        auto selected = m_running.begin();
        std::advance(selected, m_command.first % m_running.size());
        const auto [key, running] = *selected;
        const Amounts reserved = running.reserved;
        m_running.erase(selected);
        const base::ProgramId id(key.first);
        const base::CallNumber number(key.second);
        Outcome outcome = Unknown{"lost"};
        switch (m_command.second % 6) {
        case 0:
            outcome = NotRun{"refused", base::Milliseconds(1)};
            m_groundTruth[key].executions -= running.idempotent ? 0 : 1;
            break;
        case 1:
            outcome = Failed{"error"};
            m_chargedAmounts = m_chargedAmounts + reserved;
            break;
        case 2:
            m_chargedAmounts = m_chargedAmounts + reserved;
            break;
        default: {
            const Usage usage{base::Tokens(reserved.tokens.value() / 2),
                              {},
                              base::Tokens(reserved.tokens.value() / 3),
                              base::MicroMoney(reserved.money.value() / 2)};
            m_chargedAmounts = m_chargedAmounts
                + Amounts{base::Tokens(usage.prompt.value() + usage.completion.value()), usage.money, 1};
            outcome = Completed{"answer " + std::to_string(m_command.second), usage};
        }
        }
        processEvent(CallEnded{id, number, outcome});
    }

    /** Crashes the owner: some of its appends are durable, and its dispatched calls may or may not run. */
    void crash()
    {
        const std::size_t durableCount = m_command.second % (m_appends.size() + 1);
        for (std::size_t i = 0; i < durableCount; ++i) {
            makeFirstDurable();
        }
        m_appends.clear();
        for (const auto &[key, running] : m_running) {
            m_chargedAmounts = m_chargedAmounts + running.reserved;
        }
        m_running.clear();
        m_answered.clear();
        m_tree = ProgramTree{};
        for (const Record &record : m_durableRecords) {
            RC_ASSERT(replay(m_tree, record));
        }
        std::vector<Record> closingRecords = finishReplay(m_tree);
        if (!closingRecords.empty()) {
            m_appends.push_back({std::move(closingRecords), std::nullopt});
        }
    }

    std::vector<Action> processEvent(const Event &event)
    {
        std::vector<Action> actions = step(m_tree, event, start);
        const auto violations = checkStep(m_tree, event, actions);
        if (!violations.empty()) {
            RC_FAIL(violations.front());
        }
        for (const Action &action : actions) {
            performAction(action);
        }
        return actions;
    }

    void performAction(const Action &action)
    {
        if (const auto *store = std::get_if<StoreBeforeDispatch>(&action)) {
            m_appends.push_back({store->records, callKey(store->program, store->number)});
        } else if (const auto *later = std::get_if<StoreDeferred>(&action)) {
            m_appends.push_back({{later->record}, std::nullopt});
        } else if (const auto *dispatch = std::get_if<DispatchCall>(&action)) {
            recordDispatch(*dispatch);
        } else if (const auto *answer = std::get_if<AnswerNow>(&action)) {
            recordAnswer(callKey(answer->program, answer->number), answer->outcome);
        } else if (const auto *finish = std::get_if<FinishCall>(&action)) {
            recordAnswer(callKey(finish->program, finish->number), finish->outcome);
        }
    }

    void recordDispatch(const DispatchCall &dispatch)
    {
        const CallKey key = callKey(dispatch.program, dispatch.request.number);
        GroundTruth &groundTruth = m_groundTruth[key];
        RC_ASSERT(!groundTruth.committed);
        if (!dispatch.request.idempotent) {
            RC_ASSERT(m_durableClaims.contains(key));
            RC_ASSERT(groundTruth.executions == 0U);
            ++groundTruth.executions;
        }
        RC_ASSERT(!m_running.contains(key));
        const CallState &call = m_tree.programs.at(dispatch.program).calls.at(dispatch.request.number);
        m_running[key] = {call.reserved, dispatch.request.idempotent};
    }

    void recordAnswer(const CallKey &key, const Outcome &outcome)
    {
        const GroundTruth &groundTruth = m_groundTruth[key];
        if (groundTruth.committed) {
            RC_ASSERT(outcome == *groundTruth.committed);
        }
        if (std::holds_alternative<NotRun>(outcome)) {
            // An idempotent call run by a crashed owner leaves no record, so NotRun refers to the new attempt only.
            RC_ASSERT(!m_running.contains(key));
            RC_ASSERT(groundTruth.executions == 0U);
            return;
        }
        const auto before = m_answered.find(key);
        RC_ASSERT(before == m_answered.end() || before->second == outcome);
        m_answered[key] = outcome;
    }

    void checkState() const
    {
        const auto violations = checkInvariants(m_tree);
        if (!violations.empty()) {
            RC_FAIL(violations.front());
        }
        RC_ASSERT(fitsIn(m_chargedAmounts, policy().budget));
        for (const auto &[key, groundTruth] : m_groundTruth) {
            if (groundTruth.committed) {
                const CallState &call =
                    m_tree.programs.at(base::ProgramId(key.first)).calls.at(base::CallNumber(key.second));
                RC_ASSERT(call.outcome == groundTruth.committed);
            }
        }
    }

    static CallKey callKey(const base::ProgramId &program, base::CallNumber number)
    {
        return {program.value(), number.value()};
    }

    RandomCommand m_command;
    ProgramTree m_tree;
    std::vector<Record> m_durableRecords;
    std::deque<Append> m_appends;
    std::map<CallKey, Running> m_running;
    /** Outcomes that the current owner returned to callers. */
    std::map<CallKey, Outcome> m_answered;
    std::map<CallKey, GroundTruth> m_groundTruth;
    std::set<CallKey> m_durableClaims;
    /** Amounts that upstreams charged, over all owners. */
    Amounts m_chargedAmounts;
};

}

TEST_GROUP(StepProperties){};

TEST(StepProperties, HoldUnderEveryInterleavingAndOwnerCrash)
{
    constexpr std::uint64_t minSteps = 10'000;
    constexpr double lengthScale = 12.0;
    std::uint64_t steps = 0;
    const bool held = rc::check("order, history, budget, at most once and answers", [&] {
        const auto commands = *rc::gen::scale(
            lengthScale, rc::gen::container<std::vector<RandomCommand>>(rc::gen::resize(100, anyCommand())));
        OwnerSimulation simulation;
        for (const RandomCommand &randomCommand : commands) {
            simulation.execute(randomCommand);
            ++steps;
        }
    });
    CHECK(held);
    CHECK(steps >= minSteps);
}
